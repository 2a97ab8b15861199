package persimpeer

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"persimmonport.example/persimwire"
)

// serveHandler serves other hosts with a handler and returns its address and the client of it.
func serveHandler(t *testing.T, handler http.HandlerFunc) persimwire.PeerServiceClient {
	t.Helper()
	certificates := newSource(t, newAuthority(t), "entry-0")
	address := freeAddress(t)
	server, cleanup := New(certificates)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, address, handler) }()
	links, closeLinks := New(certificates)
	t.Cleanup(func() {
		closeLinks()
		cancel()
		require.NoError(t, <-served)
		cleanup()
	})
	return links.Client(address)
}

// writeBroken returns a handler that writes a part of a response and then resets its stream, or
// ends it where the part is shorter than announced.
func writeBroken(contentType string, status int, part []byte, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		if !reset {
			w.Header().Set("Content-Length", strconv.Itoa(len(part)+1))
		}
		w.WriteHeader(status)
		_, _ = w.Write(part)
		_ = http.NewResponseController(w).Flush()
		if reset {
			time.Sleep(20 * time.Millisecond)
			panic(http.ErrAbortHandler)
		}
	}
}

// TestBrokenResponsesOfHostsAreErrors guards against a part of another host's response that is taken
// for all of it, where the part can be decoded, and against invalid statuses.
func TestBrokenResponsesOfHostsAreErrors(t *testing.T) {
	message, err := proto.Marshal(&persimwire.ExchangeResponse{Generation: 7})
	require.NoError(t, err)
	event, err := proto.Marshal(&persimwire.StreamEvent{})
	require.NoError(t, err)
	// An envelope of Connect: flags, four bytes with the length of the message, the message.
	envelope := append([]byte{0, 0, 0, 0, byte(len(event))}, event...)
	for name, test := range map[string]struct {
		status int
		reset  bool
	}{
		"reset":                  {http.StatusOK, true},
		"shorter than announced": {http.StatusOK, false},
		"status 600":             {600, true},
		"status 999":             {999, true},
	} {
		t.Run(name+"/message", func(t *testing.T) {
			client := serveHandler(t, writeBroken("application/proto", test.status, message, test.reset))
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			response, err := client.Exchange(ctx, connect.NewRequest(&persimwire.ExchangeRequest{From: "entry-1"}))
			require.Error(t, err, "taken: %v", response)
			require.NoError(t, ctx.Err())
		})
		t.Run(name+"/stream", func(t *testing.T) {
			client := serveHandler(t, writeBroken("application/connect+proto", test.status, envelope, test.reset))
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			stream, err := client.Follow(ctx, connect.NewRequest(&persimwire.FollowRequest{Id: "r"}))
			for err == nil && stream.Receive() {
				continue
			}
			if err == nil {
				err = stream.Err()
			}
			require.Error(t, err, "the stream looks whole")
			require.NoError(t, ctx.Err())
		})
	}
}
