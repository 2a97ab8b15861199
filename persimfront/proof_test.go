package persimfront

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimclock"
)

// TestOldListIsNotUsed replays a host that comes back from a pause: its list of upstreams
// is older than the time in which a leaving one must be left alone.
func TestOldListIsNotUsed(t *testing.T) {
	upstream := newFakeUpstream(t, "w1", respondOK())
	h := newHarness(t, upstream)
	f, ok := h.front.(*front)
	require.True(t, ok)
	f.bounds.UpstreamDrain = 2 * time.Second
	requireStatus := func(t *testing.T, status int) {
		t.Helper()
		resp, _, err := h.get(t, "GET", "/safe/", "")
		require.NoError(t, err)
		require.Equal(t, status, resp.StatusCode)
		if status == http.StatusServiceUnavailable {
			require.NotEmpty(t, resp.Header.Get("Retry-After"))
		}
	}
	f.ConfirmUpstreams(persimclock.Now().Add(-3 * time.Second))
	requireStatus(t, http.StatusServiceUnavailable)
	require.Empty(t, upstream.requests())
	t.Run("while a read has just begun", func(t *testing.T) {
		f.BeginUpstreamsRead()
		requireStatus(t, http.StatusServiceUnavailable)
	})
	t.Run("it is used once the list is confirmed", func(t *testing.T) {
		f.EndUpstreamsRead(nil)
		f.ConfirmUpstreams(persimclock.Now())
		requireStatus(t, http.StatusOK)
	})
}

func TestRosterProof(t *testing.T) {
	const bound = 2 * time.Second
	start := persimclock.Now()
	at := func(d time.Duration) persimclock.Instant { return start.Add(d) }
	tests := map[string]struct {
		prepare func(p *rosterProof)
		now     time.Duration
		tooOld  bool
	}{
		"never confirmed":           {func(*rosterProof) {}, time.Hour, false},
		"fresh":                     {func(p *rosterProof) { p.confirm(at(0)) }, time.Second, false},
		"old":                       {func(p *rosterProof) { p.confirm(at(0)) }, bound, true},
		"an earlier proof is later": {func(p *rosterProof) { p.confirm(at(time.Second)); p.confirm(at(0)) }, bound, false},
		"the store fails": {func(p *rosterProof) {
			p.confirm(at(0))
			p.beginRead(at(time.Second))
			p.endRead(errors.New("away"))
		}, time.Minute, false},
		"another host read it after the store failed": {func(p *rosterProof) {
			p.confirm(at(0))
			p.beginRead(at(time.Second))
			p.endRead(errors.New("away"))
			p.confirm(at(2 * time.Second))
		}, 2*time.Second + bound, true},
		"the store fails again": {func(p *rosterProof) {
			p.confirm(at(2 * time.Second))
			p.beginRead(at(3 * time.Second))
			p.endRead(errors.New("away"))
		}, time.Minute, false},
		"the store is silent": {func(p *rosterProof) { p.confirm(at(0)); p.beginRead(at(time.Second)) }, bound, false},
		"the read has just begun": {func(p *rosterProof) {
			p.confirm(at(0))
			p.beginRead(at(bound - slowRead/2))
		}, bound, true},
		"the store is back": {func(p *rosterProof) {
			p.confirm(at(0))
			p.endRead(errors.New("away"))
			p.endRead(nil)
		}, bound, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var p rosterProof
			test.prepare(&p)
			require.Equal(t, test.tooOld, p.tooOld(at(test.now), bound))
			require.False(t, p.tooOld(at(test.now), 0), "without a bound")
		})
	}
}
