package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimcatalog"
)

const (
	// uncontrolledCallers is the number of connections in each case: more than the sockets that
	// a host with smallDescriptors may have, and enough for bodies of twice its memory.
	uncontrolledCallers = 200
	smallMemory         = 96 << 20
	smallDescriptors    = 360
	// fileDescriptors is the number of descriptors that the platform sets aside for files.
	fileDescriptors = 200
	headLimit       = 16 << 10
	bodyLimit       = 1 << 20
	// endlessInput is what is sent of input without end, in bytes.
	endlessInput = 1 << 20
	// sendTimeout limits the time to send the input of a case, after which connections stay
	// open for openTime.
	sendTimeout = 6 * time.Second
	openTime    = time.Second
)

var smallLimits = persimcatalog.Limits{
	HeaderBytes: headLimit, BodyBytes: bodyLimit, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
}

// inputHead returns a request head without its last line.
func inputHead(id int, fields ...string) string {
	head := fmt.Sprintf("POST /x/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: in-%d\r\n", id)
	for _, field := range fields {
		head += field + "\r\n"
	}
	return head
}

const bodyPending = "Content-Length: 1"

// shortLines returns header lines of six bytes, all with different names.
func shortLines(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var lines strings.Builder
	for i := 0; lines.Len()+6 <= size; i++ {
		lines.Write([]byte{letters[i%26], letters[i/26%36], letters[i/26/36%36], ':', '\r', '\n'})
	}
	return lines.String()
}

// oddLines returns header lines that are repeated, folded, empty, padded and not ASCII.
func oddLines(size int) string {
	var lines strings.Builder
	for i := 0; ; i++ {
		line := []string{
			"Accept:\t \t\r\n", "accept:\x80\xff\r\n", "aCCEPT: a\r\n b\r\n\tc\r\n", fmt.Sprintf("!%d:\r\n", i), "~:" + strings.Repeat(" ", 20) + "\r\n",
		}[i%5]
		if lines.Len()+len(line) > size {
			return lines.String()
		}
		lines.WriteString(line)
	}
}

// chunked returns a body in chunks of a size, with an extension on each.
func chunked(size, chunk int, extension string) string {
	part := fmt.Sprintf("%x%s\r\n%s\r\n", chunk, extension, strings.Repeat("x", chunk))
	return strings.Repeat(part, size/chunk)
}

// longExtensions is a body in chunks of one byte with long extensions. All callers send the
// same one, since one for each would take gigabytes of the test's own memory.
var longExtensions = sync.OnceValue(func() string {
	return chunked(bodyLimit/8, 1, ";a="+strings.Repeat("x", 1000))
})

// oddRequests are requests that ask for an upgrade or carry trailers and chunk extensions, in
// parts that are written one after another.
func oddRequests(id int) []string {
	const inChunks = "Transfer-Encoding: chunked"
	switch id % 6 {
	case 0:
		return []string{inputHead(id, "Connection: Upgrade", "Upgrade: websocket", bodyPending) + "\r\n"}
	case 1:
		return []string{"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + strings.Repeat("\x00\x00\x00\x04\x00", endlessInput/5)}
	case 2:
		return []string{inputHead(id, inChunks, "Trailer: "+strings.Repeat("A,", 2000)) + "\r\n0\r\n" + strings.Repeat("A: b\r\n", endlessInput/6)}
	case 3:
		return []string{inputHead(id, inChunks) + "\r\n", longExtensions()}
	case 4:
		return []string{inputHead(id, inChunks) + "\r\n1;" + strings.Repeat("x", endlessInput)}
	default:
		return []string{inputHead(id, "Expect: 100-continue", "Connection: Upgrade", "Upgrade: h2c", "HTTP2-Settings: AAMAAABkAAQ", inChunks) + "\r\n" + chunked(bodyLimit, 64<<10, "")}
	}
}

// send writes the parts of an input and keeps the connection open until open is closed.
func send(address string, input []string, open <-chan struct{}) error {
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	if err := conn.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return err
	}
	for _, part := range input {
		if _, err = io.WriteString(conn, part); err != nil {
			break
		}
	}
	<-open
	return err
}

// sockets returns the number of open descriptors of a process and how many are sockets.
func sockets(pid int) (all, open int, err error) {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0, 0, err
	}
	for _, entry := range entries {
		target, err := os.Readlink(dir + "/" + entry.Name())
		if err == nil && strings.HasPrefix(target, "socket:") {
			open++
		}
	}
	return len(entries), open, nil
}

// watchDescriptors returns a function that ends the watch and returns the most descriptors and
// sockets that the process has had open.
func watchDescriptors(pid int) func() (all, open int) {
	stop, done := make(chan struct{}), make(chan struct{})
	var mostAll, mostOpen int
	go func() {
		defer close(done)
		for {
			if all, open, err := sockets(pid); err == nil {
				mostAll, mostOpen = max(mostAll, all), max(mostOpen, open)
			}
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	return func() (int, int) {
		close(stop)
		<-done
		return mostAll, mostOpen
	}
}

// requireServed requires that an ordinary request is answered, which its caller sends again
// when it was refused as not run or its connection was closed.
func requireServed(t *testing.T, address string) {
	t.Helper()
	request := inputHead(-1, "Content-Length: 4", "Connection: close") + "\r\nbody"
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp4", address)
		if err != nil {
			return false
		}
		defer func() { _ = conn.Close() }()
		if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
			return false
		}
		if _, err := io.WriteString(conn, request); err != nil {
			return false
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return false
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode == http.StatusOK
	}, 60*time.Second, 50*time.Millisecond)
}

// TestUncontrolledCallers guards against callers that end the process, which the platform does
// once it is over its memory or descriptors: many connections at once that send one kind of
// input each. It checks nothing that depends on speed.
func TestUncontrolledCallers(t *testing.T) {
	cases := []struct {
		name  string
		input func(id int) []string
	}{
		{"many short header lines", func(id int) []string {
			// Separators and line ends, half of these lines, don't count towards the limit.
			return []string{inputHead(id, bodyPending) + shortLines(2*(headLimit-200)) + "\r\n"}
		}},
		{"odd header lines", func(id int) []string {
			head := inputHead(id, bodyPending)
			return []string{head + oddLines(headLimit-len(head)-2) + "\r\n"}
		}},
		{"head over the limit", func(id int) []string {
			return []string{inputHead(id, bodyPending) + shortLines(4*headLimit) + "\r\n"}
		}},
		{"head without end", func(id int) []string { return []string{inputHead(id) + shortLines(endlessInput)} }},
		{"head without end, in one line", func(id int) []string { return []string{inputHead(id) + "A: " + strings.Repeat("x", endlessInput)} }},
		{"empty lines without end", func(int) []string { return []string{strings.Repeat("\r\n", endlessInput/2)} }},
		{"whole bodies", func(id int) []string {
			return []string{inputHead(id, fmt.Sprintf("Content-Length: %d", bodyLimit)) + "\r\n" + strings.Repeat("x", bodyLimit)}
		}},
		{"whole bodies in chunks", func(id int) []string {
			return []string{inputHead(id, "Transfer-Encoding: chunked") + "\r\n" + chunked(bodyLimit, 1<<10, "") + "0\r\n\r\n"}
		}},
		{"bodies that stop short", func(id int) []string {
			return []string{inputHead(id, fmt.Sprintf("Content-Length: %d", bodyLimit)) + "\r\n" + strings.Repeat("x", bodyLimit-1)}
		}},
		{"bodies in chunks that stop short", func(id int) []string {
			return []string{inputHead(id, "Transfer-Encoding: chunked") + "\r\n" + chunked(bodyLimit, 1<<10, "")}
		}},
		{"upgrades and trailers", oddRequests},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			pid, address := testHost{memory: smallMemory, descriptors: smallDescriptors, limits: smallLimits, timeout: 10 * time.Second}.start(t)
			atStart := mostMemory(t, pid)
			endWatch := watchDescriptors(pid)
			open := make(chan struct{})
			var sent, left sync.WaitGroup
			for id := range uncontrolledCallers {
				sent.Add(1)
				left.Go(func() {
					input := tt.input(id)
					time.AfterFunc(sendTimeout, sent.Done)
					// Refused callers may find the connection closed.
					_ = send(address, input, open)
				})
			}
			sent.Wait()
			time.Sleep(openTime)
			close(open)
			left.Wait()
			all, most := endWatch()
			require.NoError(t, processLives(pid))
			t.Logf("VmHWM %d KiB at the start, %d KiB at the end of %d KiB; %d of %d descriptors, %d of %d sockets",
				atStart>>10, mostMemory(t, pid)>>10, smallMemory>>10, all, smallDescriptors, most, smallDescriptors-fileDescriptors)
			if mostMemory(t, pid) >= smallMemory {
				t.Errorf("VmHWM %d is not below %d", mostMemory(t, pid), smallMemory)
			}
			if all >= smallDescriptors || most >= smallDescriptors-fileDescriptors {
				t.Errorf("%d descriptors and %d sockets", all, most)
			}
			requireServed(t, address)
		})
	}
}

// processLives returns an error if the process has ended.
func processLives(pid int) error {
	if err := syscall.Kill(pid, 0); err != nil {
		return err
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err == nil && strings.Contains(string(data), ") Z ") {
		return errors.New("process has ended")
	}
	return err
}
