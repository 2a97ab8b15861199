package persimmonport

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimupstream"
	"persimmonport.example/persimwire"
)

// tokenFlood is an engine that generates more than it was asked for.
type tokenFlood struct {
	tokens int
	text   string
}

func (f tokenFlood) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(persimupstream.HeaderAttempt, r.Header.Get(persimupstream.HeaderAttempt))
	if r.Method != http.MethodPost || !strings.HasSuffix(r.URL.Path, "/completions") {
		_, _ = fmt.Fprint(w, `{"slots":8}`)
		return
	}
	for i := range f.tokens {
		if _, err := fmt.Fprintf(w, "data: {\"index\":%d,\"choices\":[{\"text\":%q}]}\n\n", i, f.text); err != nil {
			return
		}
	}
	<-r.Context().Done()
}

// TestTokensWithoutEndAreNotKept guards against a faulty engine that sends tokens, or text in
// them, without end: a host keeps no more than an answer of the requested length can have.
func TestTokensWithoutEndAreNotKept(t *testing.T) {
	const maxTokens = 10
	for _, c := range []struct {
		name      string
		maxTokens int32
		flood     tokenFlood
	}{
		{"tokens", maxTokens, tokenFlood{50 * maxTokens, "x "}},
		{"tokens, no number requested", 0, tokenFlood{20000, "x "}},
		{"text", maxTokens, tokenFlood{maxTokens, strings.Repeat("x", 1<<10)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				config := defaultDeploymentConfig()
				config.engines = 0
				d := newDeployment(t, config)
				defer d.close()
				d.registerUpstream(engineAddress(0), "oracolo", 0, c.flood)
				d.waitReady()
				time.Sleep(2 * time.Second)
				h := d.entries[0].host
				stream, err := d.callerClient(d.entries[0]).Generate(d.ctx, withToken(testToken, &persimwire.GenerateRequest{
					Service: "match", Prompt: "match", MaxTokens: c.maxTokens,
				}))
				require.NoError(t, err)
				go func() {
					for stream.Receive() {
						continue
					}
				}()
				time.Sleep(10 * time.Second)
				owned := h.flights.Owned()
				require.Len(t, owned, 1)
				tokens := owned[0].State(time.Now()).GetTokens()
				require.NotEmpty(t, tokens)
				limit := h.settings.Limits.MaxTokens
				if c.maxTokens > 0 {
					limit = int(c.maxTokens)
				}
				require.LessOrEqual(t, len(tokens), limit)
				require.LessOrEqual(t, len(strings.Join(tokens, "")), maxAnswerBytes(limit))
			})
		})
	}
}
