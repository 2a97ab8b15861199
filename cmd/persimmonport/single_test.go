package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimcatalog"
)

// statusOf sends a request on a connection of its own and returns the status of the answer.
func statusOf(t *testing.T, address, request string) int {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, request)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	return resp.StatusCode
}

// TestSingleRequestsInsideTheLimits guards against bounds that refuse a request of legal size
// at the smallest host when there is no overload.
func TestSingleRequestsInsideTheLimits(t *testing.T) {
	const smallestMemory, smallestDescriptors = 136 << 20, 2870
	limits := persimcatalog.Limits{HeaderBytes: headLimit, BodyBytes: longBody, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	pid, address := testHost{memory: smallestMemory, descriptors: smallestDescriptors, limits: limits, timeout: 30 * time.Second}.start(t)
	const ended = "Content-Length: 0"
	for name, request := range map[string]string{
		"longest head of short lines": inputHead(0, ended) + shortLines(2*(headLimit-200)) + "\r\n",
		"16 KiB of short lines":       inputHead(0, ended) + shortLines(headLimit) + "\r\n",
		"odd lines":                   inputHead(0, ended) + oddLines(headLimit) + "\r\n",
		"one long line":               inputHead(0, ended) + "A: " + strings.Repeat("x", headLimit-200) + "\r\n\r\n",
		"longest body":                inputHead(0, fmt.Sprintf("Content-Length: %d", longBody)) + "\r\n" + strings.Repeat("x", longBody),
		"longest body in chunks":      inputHead(0, "Transfer-Encoding: chunked") + "\r\n" + chunked(longBody, 1<<10, "") + "0\r\n\r\n",
		"trailers":                    inputHead(0, "Transfer-Encoding: chunked") + "\r\n" + chunked(16, 1, ";a=b") + "0\r\nA: b\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, 200, statusOf(t, address, request)) })
	}
	require.Less(t, mostMemory(t, pid), int64(smallestMemory))
}
