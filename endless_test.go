package persimmonport

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimplatform"
	"persimmonport.example/persimsettings"
	"persimmonport.example/persimupstream"
	"persimmonport.example/persimwire"
)

// maxEndlessBytes is what a caller or another host can send before its request ends: the largest
// message, what is read of the rest so that the error arrives, and the buffers of both sockets.
const maxEndlessBytes = 32 << 20

// endlessBody is a request body without end.
type endlessBody struct {
	prefix []byte
	read   atomic.Int64
}

func (b *endlessBody) Read(p []byte) (int, error) {
	clear(p)
	if sent := b.read.Load(); sent < int64(len(b.prefix)) {
		copy(p, b.prefix[sent:])
	}
	b.read.Add(int64(len(p)))
	return len(p), nil
}

// TestMessagesWithoutEndAreRefused guards the memory of a host against callers, operators and other
// hosts that never end a message.
func TestMessagesWithoutEndAreRefused(t *testing.T) {
	settings := persimsettings.DefaultSettings()
	settings.Name = "entry-0"
	platform, _ := persimplatform.New("http://" + platformAddress)
	engine, _ := persimupstream.NewEngine()
	service, _ := persimupstream.NewService()
	host, cleanup, err := New(settings, WithLinks(memoryLinks{client: http.DefaultClient}),
		WithPlatform(platform), WithEngine(engine), WithService(service), WithMetrics(nullMetrics{}))
	require.NoError(t, err)
	defer cleanup()
	// The head of a message of 2 GB.
	envelope := []byte{0, 0x7f, 0xff, 0xff, 0xff}
	for name, c := range map[string]struct {
		handler     http.Handler
		procedure   string
		contentType string
		prefix      []byte
	}{
		"call of a caller":          {host.Callers(), persimwire.CallerServiceCallProcedure, "application/proto", nil},
		"call of a caller, JSON":    {host.Callers(), persimwire.CallerServiceCallProcedure, "application/json", nil},
		"stream of a caller":        {host.Callers(), persimwire.CallerServiceGenerateProcedure, "application/connect+proto", envelope},
		"call of an operator":       {host.Operators(), persimwire.OperatorServiceApplyChangeProcedure, "application/proto", nil},
		"exchange of another host":  {host.Peers(), persimwire.PeerServiceExchangeProcedure, "application/proto", nil},
		"replicas of another host":  {host.Peers(), persimwire.PeerServiceReplicateProcedure, "application/proto", nil},
		"follow-up of another host": {host.Peers(), persimwire.PeerServiceFollowProcedure, "application/connect+proto", envelope},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			body := &endlessBody{prefix: c.prefix}
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+c.procedure, body)
			require.NoError(t, err)
			req.Header.Set("Content-Type", c.contentType)
			req.Header.Set("Authorization", "Bearer "+testToken)
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
			resp, err := client.Do(req)
			if err == nil {
				require.NoError(t, resp.Body.Close())
			}
			require.Less(t, body.read.Load(), int64(maxEndlessBytes))
			t.Logf("%d KB, %v", body.read.Load()>>10, err)
		})
	}
}
