package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimsettings"
	"persimmonport.example/persimstand"
	"persimmonport.example/platform"
)

const (
	hostMemory = 284 << 20
	longBody   = 4 << 20
	// bodyPiece is sent at once, piecePause is the time until the next piece.
	bodyPiece  = 64 << 10
	piecePause = 20 * time.Millisecond
)

// memoryHostIP returns the address of the entry host, whose metrics have a fixed port.
func memoryHostIP() string { return fmt.Sprintf("127.35.%d.2", os.Getpid()%250) }

// testHost is what a process of an entry host is given.
type testHost struct {
	memory      int64
	descriptors int
	limits      persimcatalog.Limits
	// timeout is that of the only route.
	timeout time.Duration
}

// startMemoryHost starts the process of an entry host that takes the longest bodies.
func startMemoryHost(t *testing.T) (int, string) {
	t.Helper()
	return testHost{
		memory: hostMemory, limits: persimcatalog.Limits{BodyBytes: longBody, IdleTimeout: time.Minute}, timeout: 30 * time.Second,
	}.start(t)
}

// start starts the process of an entry host with one upstream and returns its id and its
// address for callers.
func (h testHost) start(t *testing.T) (int, string) {
	t.Helper()
	dir := t.TempDir()
	binary := filepath.Join(dir, "persimmonport")
	output, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	require.NoError(t, err, string(output))
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(200 * time.Millisecond)
		w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
		w.Header().Set(platform.HeaderSignature, "s")
		_, _ = io.WriteString(w, "good")
	}))
	t.Cleanup(upstream.Close)
	store := persimstand.NewStore()
	spec, err := platform.EncodeCatalogue(persimcatalog.New(1, []persimcatalog.Route{{
		Name: "r", Host: "h", Prefix: "/x/", Timeout: h.timeout, MaxAttempts: 1, Splits: []persimcatalog.Split{{Service: "s", Weight: 1}},
	}}, []persimcatalog.Service{{Name: "s"}}, nil, h.limits))
	require.NoError(t, err)
	store.Put(platform.ConfigKind, platform.ConfigName, spec)
	require.NoError(t, store.PutUpstream(persimcatalog.Upstream{
		Incarnation: persimcatalog.Incarnation{ID: "u1", Born: 1}, Address: upstream.Listener.Addr().String(), Service: "s", Slots: 512,
	}))
	storeServer := httptest.NewServer(store.Handler("host"))
	t.Cleanup(storeServer.Close)
	port := func() string {
		_, port, err := net.SplitHostPort(freeAddress(t))
		require.NoError(t, err)
		return net.JoinHostPort(memoryHostIP(), port)
	}
	address := storeServer.Listener.Addr().String()
	deployment := persimsettings.Deployment{
		Host: "host", IP: memoryHostIP(), Centre: "centre", CallerAddress: port(), ReadyAddress: port(), PeerPort: 7600,
		StoreAddress: address, DutiesAddress: address, MemoryBytes: h.memory, Descriptors: h.descriptors,
		Bounds: persimsettings.Bounds{
			ShutdownGrace: 8 * time.Second, UpstreamDrain: 3 * time.Second, ConfigApply: 3 * time.Second, Contact: 3 * time.Second,
			KeyRevocation: time.Minute, Lease: 3 * time.Second, UsageWindow: 5 * time.Second, RetryWindow: 10 * time.Second, QuotaWindow: 8 * time.Second,
		},
	}
	data, err := platform.EncodeSettings(deployment)
	require.NoError(t, err)
	settings := filepath.Join(dir, "settings.json")
	require.NoError(t, os.WriteFile(settings, data, 0o600))
	process := exec.Command(binary, "entry", "--settings", settings)
	process.Stderr = os.Stderr
	require.NoError(t, process.Start())
	t.Cleanup(func() {
		_ = process.Process.Kill()
		_ = process.Wait()
	})
	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + deployment.ReadyAddress + "/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, 20*time.Second, 20*time.Millisecond)
	return process.Process.Pid, deployment.CallerAddress
}

// mostMemory returns the largest resident memory that a process has had, in bytes.
func mostMemory(t *testing.T, pid int) int64 {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if fields[0] == "VmHWM:" {
			kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
			require.NoError(t, err)
			return kilobytes << 10
		}
	}
	require.Fail(t, "no VmHWM")
	return 0
}

// sendLongBody sends a request with the longest body, slowly, and returns the status.
func sendLongBody(address string, id int) (int, error) {
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	if _, err := fmt.Fprintf(conn, "POST /x/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-%d\r\nContent-Length: %d\r\n\r\n", id, longBody); err != nil {
		return 0, err
	}
	piece := make([]byte, bodyPiece)
	for range longBody / bodyPiece {
		if _, err := conn.Write(piece); err != nil {
			return 0, err
		}
		time.Sleep(piecePause)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// TestLongBodiesStayWithinTheMemory sends the longest bodies from many slow callers at once to
// a process: it stays below the memory of its host, and every request is answered, as served
// or as not run.
func TestLongBodiesStayWithinTheMemory(t *testing.T) {
	pid, address := startMemoryHost(t)
	for _, callers := range []int{42, 200} {
		t.Run(strconv.Itoa(callers), func(t *testing.T) {
			statuses := make([]int, callers)
			errs := make([]error, callers)
			var wg sync.WaitGroup
			for i := range callers {
				wg.Go(func() { statuses[i], errs[i] = sendLongBody(address, i) })
			}
			wg.Wait()
			served := 0
			for i, status := range statuses {
				require.NoError(t, errs[i])
				require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, status)
				if status == http.StatusOK {
					served++
				}
			}
			require.Positive(t, served)
			require.Less(t, mostMemory(t, pid), int64(hostMemory))
			t.Logf("%d of %d served, at most %d MiB", served, callers, mostMemory(t, pid)>>20)
		})
	}
}
