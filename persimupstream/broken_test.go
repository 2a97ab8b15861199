package persimupstream

import (
	"bytes"
	"fmt"
	"net/http"
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
