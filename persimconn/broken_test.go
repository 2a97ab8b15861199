package persimconn

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimbroken"
)

// uploadBytes are the sizes of a request body that is written at once, and of one that the
// buffers of both sockets don't hold, so that it is still being written when an early response
// ends.
var uploadBytes = map[string]int{"short upload": 100, "long upload": 8 << 20}

// resetDelays are the times between an early response and the end of its connection.
var resetDelays = []time.Duration{0, time.Millisecond, 5 * time.Millisecond}

// serveBroken returns the address of a server that sends the same response to all requests.
func serveBroken(t *testing.T, response persimbroken.Response) *persimbroken.Server {
	t.Helper()
	server, stop, err := persimbroken.New(func(*http.Request) persimbroken.Response { return response })
	require.NoError(t, err)
	t.Cleanup(stop)
	return server
}

// receiveTimeout is far above the time that a response takes.
const receiveTimeout = 2 * time.Second

// receive sends a request with a body of a size and returns the body of its response.
func receive(t *testing.T, p Pool, address string, size int) (string, error) {
	t.Helper()
	conn, err := p.Get(t.Context(), address)
	require.NoError(t, err)
	require.NoError(t, conn.SetDeadline(time.Now().Add(receiveTimeout)))
	e, err := Send(t.Context(), conn, newRequest(address, strings.Repeat("x", size)))
	if err != nil {
		require.ErrorIs(t, err, ErrUnknown)
		return "", err
	}
	body, err := io.ReadAll(e)
	if err != nil {
		require.ErrorIs(t, err, ErrUnknown)
		e.Abandon()
		return "", err
	}
	e.Finish()
	return string(body), nil
}

// TestOnlyWholeResponsesAreTaken guards against a part of a response that is taken for all of it,
// above all one that ends with its connection, and against a whole response that is dropped since
// its upstream reads no more of the request.
func TestOnlyWholeResponsesAreTaken(t *testing.T) {
	for _, c := range persimbroken.Bodies() {
		for ending, end := range persimbroken.Ends() {
			for upload, size := range uploadBytes {
				t.Run(fmt.Sprintf("%s/%s/%s", c.Name, ending, upload), func(t *testing.T) {
					p, cleanup := New()
					defer cleanup()
					for _, delay := range resetDelays {
						server := serveBroken(t, persimbroken.Response{Text: c.Text(""), End: end, Delay: delay, Early: true})
						for range end.Runs() {
							p.CloseIdle(server.Address())
							body, err := receive(t, p, server.Address(), size)
							if !c.Whole(end) {
								require.Error(t, err, "delay %v, taken: %q", delay, body)
								continue
							}
							require.NoError(t, err)
							require.Equal(t, persimbroken.Body, body)
						}
					}
				})
			}
		}
	}
}

// TestMalformedHeadsAreErrors guards against bytes that are no response but look like one, and
// against a response that is read from what follows them on the connection.
func TestMalformedHeadsAreErrors(t *testing.T) {
	for _, c := range persimbroken.MalformedHeads() {
		for name, end := range map[string]persimbroken.End{"ends": persimbroken.EndFIN, "stays open": persimbroken.EndNone} {
			t.Run(c.Name+"/"+name, func(t *testing.T) {
				p, cleanup := New()
				defer cleanup()
				server := serveBroken(t, persimbroken.Response{Text: c.Text("") + okResponse, End: end})
				body, err := receive(t, p, server.Address(), 1)
				require.Error(t, err, "taken: %q", body)
				require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
				next, err := p.Get(t.Context(), server.Address())
				require.NoError(t, err)
				require.False(t, next.Reused())
				_ = next.Close()
			})
		}
	}
}
