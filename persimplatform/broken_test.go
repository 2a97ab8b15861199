package persimplatform

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimbroken"
	"persimmonport.example/platform"
)

// longUploadBytes is the size of a request that is still being written when an early response ends.
const longUploadBytes = 8 << 20

func newBrokenClient(t *testing.T, respond func(req *http.Request) persimbroken.Response) (*client, *persimbroken.Server) {
	t.Helper()
	server, stop, err := persimbroken.New(respond)
	require.NoError(t, err)
	t.Cleanup(stop)
	c, cleanup := newClient("http://"+server.Address(), 2*time.Second, nil)
	t.Cleanup(cleanup)
	return c, server
}

// TestOnlyWholeResponsesAreTaken guards against a part of a response that is taken for all of it,
// also while a long request is still being written.
func TestOnlyWholeResponsesAreTaken(t *testing.T) {
	for _, c := range persimbroken.Bodies() {
		for ending, end := range persimbroken.Ends() {
			for upload, size := range map[string]int{"short upload": 100, "long upload": longUploadBytes} {
				t.Run(fmt.Sprintf("%s/%s/%s", c.Name, ending, upload), func(t *testing.T) {
					client, _ := newBrokenClient(t, func(*http.Request) persimbroken.Response {
						return persimbroken.Response{Text: c.Text(""), End: end, Delay: time.Millisecond, Early: true}
					})
					for range end.Runs() {
						client.http.CloseIdleConnections()
						received, err := client.call(t.Context(), http.MethodPost, "/p", bytes.Repeat([]byte("x"), size))
						if !c.Whole(end) {
							require.ErrorIs(t, err, ErrUncertain, "taken: %q", received.body)
							continue
						}
						// The client may drop a whole response to a request that it could not send.
						if err != nil && size == longUploadBytes && end != persimbroken.EndFIN {
							require.ErrorIs(t, err, ErrUncertain)
							continue
						}
						require.NoError(t, err)
						require.Equal(t, persimbroken.Body, string(received.body))
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
		for method, want := range map[string]error{http.MethodGet: ErrUnavailable, http.MethodPost: ErrUncertain} {
			t.Run(c.Name+"/"+method, func(t *testing.T) {
				client, server := newBrokenClient(t, func(*http.Request) persimbroken.Response {
					return persimbroken.Response{Text: c.Text("") + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"}
				})
				began := time.Now()
				received, err := client.call(t.Context(), method, "/p", nil)
				require.ErrorIs(t, err, want, "taken: %q", received.body)
				require.Less(t, time.Since(began), time.Second)
				require.Equal(t, 1, server.Requests())
			})
		}
	}
}

// TestStatusOfABrokenResponseSaysNothing guards against a write that counts as one without effect,
// and an object that counts as missing, after a response of which only a part came.
func TestStatusOfABrokenResponseSaysNothing(t *testing.T) {
	for _, status := range []string{"404 Not Found", "409 Conflict", "410 Gone", "413 Too Large", "429 Slow", "503 Busy", "507 Full"} {
		for rest, end := range map[string]persimbroken.End{
			"Content-Length: 30\r\n\r\n{}":                  persimbroken.EndFIN,
			"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n": persimbroken.EndFIN,
			"\r\n{}": persimbroken.EndReset,
		} {
			t.Run(strings.Join([]string{status, rest}, "/"), func(t *testing.T) {
				client, server := newBrokenClient(t, func(*http.Request) persimbroken.Response {
					return persimbroken.Response{Text: "HTTP/1.1 " + status + "\r\n" + rest, End: end, Delay: time.Millisecond}
				})
				_, err := client.call(t.Context(), http.MethodPost, "/p", nil)
				require.ErrorIs(t, err, ErrUncertain)
				objects, cleanup := NewObjects(server.Address())
				defer cleanup()
				_, err = objects.Write(t.Context(), "kind", platform.Object{Name: "n"})
				require.ErrorIs(t, err, ErrUncertain)
				_, err = objects.Get(t.Context(), "kind", "n")
				require.ErrorIs(t, err, ErrUnavailable)
			})
		}
	}
}
