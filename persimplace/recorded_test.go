package persimplace

import (
	"hash/fnv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// recordedChoices is the hash of the choices below, recorded with the code of commit 34d4658,
// which had no Request.Allow.
const recordedChoices uint64 = 0x55621ab7b7db9f70

// TestChoicesAreAsRecorded guards against requests that are placed differently in deployments
// without rollouts: no request says which upstreams it may use there.
func TestChoicesAreAsRecorded(t *testing.T) {
	p := newPlacer(7, 12)
	sum := fnv.New64a()
	now := start
	var running []*Ticket
	for i := range uint64(2000) {
		now = now.Add(7 * time.Millisecond)
		request := prompt(i%17, i)
		switch i % 3 {
		case 1:
			request = Request{}
		case 2:
			request.Exclude = []string{"u3"}
		}
		choice, ok := p.Choose(now, request)
		require.True(t, ok)
		_, _ = sum.Write([]byte(choice.Upstream.ID + " " + choice.Expected.String() + "\n"))
		running = append(running, p.StartAttempt(now, request, choice))
		if len(running) > 20 {
			ticket := running[0]
			running = running[1:]
			outcome := OutcomeSuccess
			if i%4 == 0 && choice.Upstream.ID < "u5" {
				outcome = OutcomeFailed
			} else {
				p.RecordResponse(now, ticket)
			}
			p.EndAttempt(now, ticket, outcome)
		}
	}
	require.Equal(t, recordedChoices, sum.Sum64())
}
