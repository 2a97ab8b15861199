package persimupstream

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimbroken"
)

// longUploadBytes is the size of a request that is still being written when an early response ends.
const longUploadBytes = 8 << 20

func startBroken(t *testing.T, respond func(req *http.Request) persimbroken.Response) *persimbroken.Server {
	t.Helper()
	server, stop, err := persimbroken.New(respond)
	require.NoError(t, err)
	t.Cleanup(stop)
	return server
}

// TestOnlyWholeResponsesAreTaken guards against a part of a response that is taken for all of it,
// also while a long call is still being written, and against a whole one that is dropped since the
// service reads no more of the call.
func TestOnlyWholeResponsesAreTaken(t *testing.T) {
	for _, c := range persimbroken.Bodies() {
		for ending, end := range persimbroken.Ends() {
			for upload, size := range map[string]int{"short upload": 100, "long upload": longUploadBytes} {
				t.Run(fmt.Sprintf("%s/%s/%s", c.Name, ending, upload), func(t *testing.T) {
					for _, delay := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
						server := startBroken(t, func(*http.Request) persimbroken.Response {
							return persimbroken.Response{Text: c.Text(""), End: end, Delay: delay, Early: true}
						})
						for range end.Runs() {
							service, cleanup := NewService()
							body, err := service.Do(t.Context(), server.Address(), Call{Method: "m", Body: bytes.Repeat([]byte("x"), size)})
							cleanup()
							if !c.Whole(end) {
								require.ErrorIs(t, err, ErrBroken, "delay %v, taken: %q", delay, body)
								continue
							}
							// The client may drop a whole response to a call that it could not send.
							if err != nil && size == longUploadBytes && end != persimbroken.EndFIN {
								require.ErrorIs(t, err, ErrBroken)
								continue
							}
							require.NoError(t, err, "delay %v", delay)
							require.Equal(t, persimbroken.Body, string(body))
						}
					}
				})
			}
		}
	}
}

// calls are the ways in which this package reads responses that are no streams.
var calls = map[string]func(ctx context.Context, address string) error{
	"service": func(ctx context.Context, address string) error {
		service, cleanup := NewService()
		defer cleanup()
		_, err := service.Do(ctx, address, Call{Method: "m"})
		return err
	},
	"load": func(ctx context.Context, address string) error {
		engine, cleanup := NewEngine()
		defer cleanup()
		_, err := engine.Load(ctx, address)
		return err
	},
	"cancel": func(ctx context.Context, address string) error {
		engine, cleanup := NewEngine()
		defer cleanup()
		return engine.Cancel(ctx, address, "s")
	},
	"export": func(ctx context.Context, address string) error {
		engine, cleanup := NewEngine()
		defer cleanup()
		_, err := engine.Export(ctx, address, "s")
		return err
	},
	"import": func(ctx context.Context, address string) error {
		engine, cleanup := NewEngine()
		defer cleanup()
		return engine.Import(ctx, address, Cache{})
	},
	"events": func(ctx context.Context, address string) error {
		engine, cleanup := NewEngine()
		defer cleanup()
		_, err := engine.Generate(ctx, address, CompletionRequest{}, func(int, string) error { return nil })
		return err
	},
	"attach": func(ctx context.Context, address string) error {
		engine, cleanup := NewEngine()
		defer cleanup()
		_, err := engine.Attach(ctx, address, "s", 0, func(int, string) error { return nil })
		return err
	},
}

// wholeResponse is one that every call takes.
const wholeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 61\r\n\r\n" +
	`data: {"index":0,"choices":[{"finish_reason":"stop"}]}` + "\n\n    \n"

// TestMalformedHeadsAreErrors guards against bytes that are no response but look like one, and
// against a response that is read from what follows them on the connection.
func TestMalformedHeadsAreErrors(t *testing.T) {
	for _, c := range persimbroken.MalformedHeads() {
		for name, call := range calls {
			t.Run(c.Name+"/"+name, func(t *testing.T) {
				server := startBroken(t, func(*http.Request) persimbroken.Response {
					return persimbroken.Response{Text: c.Text("") + wholeResponse}
				})
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				began := time.Now()
				require.ErrorIs(t, call(ctx, server.Address()), ErrBroken)
				require.Less(t, time.Since(began), time.Second)
				require.Equal(t, 1, server.Requests())
			})
		}
	}
}

// TestNothingIsReadBehindAMalformedHead guards against a connection that serves another call after
// a malformed head, whose response would be what the upstream wrote behind it, or the next one
// that it writes.
func TestNothingIsReadBehindAMalformedHead(t *testing.T) {
	for _, c := range persimbroken.MalformedHeads() {
		t.Run(c.Name, func(t *testing.T) {
			sound := true
			server := startBroken(t, func(*http.Request) persimbroken.Response {
				if sound = !sound; sound {
					return persimbroken.Response{Text: c.Text("")}
				}
				return persimbroken.Response{Text: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine"}
			})
			service, cleanup := NewService()
			defer cleanup()
			for range 3 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				body, err := service.Do(ctx, server.Address(), Call{Method: "m"})
				require.NoError(t, err)
				require.Equal(t, "fine", string(body))
				_, err = service.Do(ctx, server.Address(), Call{Method: "m"})
				require.ErrorIs(t, err, ErrBroken)
				cancel()
			}
		})
	}
}

// TestRejectionThatBreaksOffDeniesNoRun guards against a call that counts as not run, and runs again,
// or as invalid, after a rejection of which only a part came.
func TestRejectionThatBreaksOffDeniesNoRun(t *testing.T) {
	for _, status := range []string{"503 Busy\r\n" + HeaderNotRun + ": true", "400 Bad Request", "404 Not Found"} {
		for rest, end := range map[string]persimbroken.End{
			"Content-Length: 30\r\n\r\nbad":                  persimbroken.EndFIN,
			"Transfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n": persimbroken.EndFIN,
			"\r\nbad": persimbroken.EndReset,
		} {
			for name, call := range calls {
				t.Run(strings.Join([]string{status[:3], rest, name}, "/"), func(t *testing.T) {
					server := startBroken(t, func(*http.Request) persimbroken.Response {
						return persimbroken.Response{Text: "HTTP/1.1 " + status + "\r\n" + rest, End: end, Delay: time.Millisecond}
					})
					require.ErrorIs(t, call(t.Context(), server.Address()), ErrBroken)
				})
			}
		}
	}
}

// TestPartOfAResponseIsNoResult guards against a result that is decoded from, or a call that counts
// as done after, a response of which only a part came.
func TestPartOfAResponseIsNoResult(t *testing.T) {
	for _, name := range []string{"load", "cancel", "export", "import", "service"} {
		for _, rest := range []string{"Content-Length: 30\r\n\r\n{}", "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"} {
			t.Run(name+"/"+rest, func(t *testing.T) {
				server := startBroken(t, func(*http.Request) persimbroken.Response {
					return persimbroken.Response{Text: "HTTP/1.1 200 OK\r\n" + rest, End: persimbroken.EndFIN}
				})
				require.ErrorIs(t, calls[name](t.Context(), server.Address()), ErrBroken)
			})
		}
	}
}
