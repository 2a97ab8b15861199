package persimfront

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimadmit"
	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimclock"
	"persimmonport.example/persimplace"
	"persimmonport.example/platform"
)

// rankedCatalogue returns a configuration of a service whose first priority has long prompts.
func rankedCatalogue() persimcatalog.Catalogue {
	splits := []persimcatalog.Split{{Service: "s", Weight: 1}}
	nine, seven := 9, 7
	return persimcatalog.New(1, []persimcatalog.Route{
		{Name: "long", Host: "h", Prefix: "/long/", Timeout: 30 * time.Second, Target: time.Second, MaxAttempts: 1, Splits: splits},
		{Name: "short", Host: "h", Prefix: "/short/", Timeout: 30 * time.Second, Target: 2 * time.Second, MaxAttempts: 1, Priority: 2, Splits: splits},
	}, []persimcatalog.Service{{Name: "s"}}, []persimcatalog.Organisation{
		{Name: "a", Keys: []string{"ka"}}, {Name: "b", Keys: []string{"kb"}, Priority: &nine}, {Name: "c", Keys: []string{"kc"}, Priority: &seven},
	}, persimcatalog.Limits{})
}

// newRankedFront returns a front with one upstream that has seen prompts of both routes.
func newRankedFront(t *testing.T) *front {
	t.Helper()
	f := New(WithBounds(testBounds)).(*front)
	f.SetCatalogue(rankedCatalogue())
	f.ConfirmCatalogue(persimclock.Now())
	f.SetUpstreams(map[string][]persimcatalog.Upstream{"s": {{Incarnation: persimcatalog.Incarnation{ID: "u", Born: 1}, Service: "s", Slots: 12}}})
	f.ConfirmUpstreams(persimclock.Now())
	for i := range 10 {
		newPrompt(t, f, fmt.Sprintf("long%d", i), "long", "ka", 12_000)
		newPrompt(t, f, fmt.Sprintf("short%d", i), "short", "ka", 2400)
	}
	return f
}

// newPrompt returns an admitted call.
func newPrompt(t *testing.T, f *front, id, route, key string, tokens int) *call {
	t.Helper()
	request := &http.Request{Host: "h", RequestURI: "/" + route + "/", Header: http.Header{}}
	request.Header.Set(platform.HeaderAPIKey, key)
	request.Header.Set(platform.HeaderTokenCount, fmt.Sprintf("%d,10", tokens))
	c := &call{front: f, id: id, arrived: time.Now(), request: request, requestTarget: request.RequestURI}
	require.Nil(t, c.admit(nil))
	return c
}

func requireOrder(t *testing.T, c *call, priority string, urgent bool) {
	t.Helper()
	require.Equal(t, priority, c.forwardHeader.Get(platform.HeaderPriority))
	require.Equal(t, urgent, c.placement.Urgent)
}

// TestPriorityDecidesTheOrder checks that upstreams of a ranked service are told the order of
// priorities, that of the organisation before that of the route, and that the placer counts with
// the same order. Before enough prompts were seen, the length decides.
func TestPriorityDecidesTheOrder(t *testing.T) {
	f := New(WithBounds(testBounds)).(*front)
	f.SetCatalogue(rankedCatalogue())
	f.ConfirmCatalogue(persimclock.Now())
	requireOrder(t, newPrompt(t, f, "1", "long", "ka", 12_000), "5", false)
	requireOrder(t, newPrompt(t, f, "2", "short", "ka", 2400), "3", true)

	f = newRankedFront(t)
	requireOrder(t, newPrompt(t, f, "3", "long", "ka", 12_000), "3", true)
	requireOrder(t, newPrompt(t, f, "4", "short", "ka", 2400), "5", false)
	requireOrder(t, newPrompt(t, f, "5", "long", "kc", 12_000), "7", false)
	requireOrder(t, newPrompt(t, f, "6", "short", "kb", 100), "9", false)
}

// TestLastCapacityGoesByPriority checks the refusal of a request for which no capacity is left:
// it says that nothing ran and when to come back, and a repetition before that is refused too.
func TestLastCapacityGoesByPriority(t *testing.T) {
	f := newRankedFront(t)
	// An upstream without requests would take one from anybody.
	busy := persimplace.Choice{Upstream: persimcatalog.Upstream{Incarnation: persimcatalog.Incarnation{ID: "u", Born: 1}}}
	f.dispatcher.placer("s").StartAttempt(time.Now().Add(time.Hour), persimplace.Request{Tokens: 1}, busy)
	// The work of the last second is three times what one upstream can do.
	now := time.Now()
	work := persimadmit.Work{Prefill: 3 / f.dispatcher.placer("s").Busy(1, 0) / 1000}
	for i := range 1000 {
		at := now.Add(time.Duration(i-1000) * time.Millisecond)
		f.dispatcher.admission.services["s"].tally.Add(at, persimadmit.Key{Rank: 9, Organisation: "b"}, work)
	}
	refused := 0
	for i := range 200 {
		c := newPrompt(t, f, fmt.Sprintf("r%d", i), "short", "kb", 2400)
		_, refusal := c.chooseUpstream()
		if refusal == nil {
			continue
		}
		refused++
		require.Equal(t, http.StatusServiceUnavailable, refusal.status)
		require.Equal(t, "capacity goes to others", refusal.cause)
		require.Positive(t, refusal.retryDelay)
		_, again := c.chooseUpstream()
		require.NotNil(t, again, "a repetition at once")
	}
	require.Positive(t, refused)
	first := newPrompt(t, f, "first", "long", "ka", 12_000)
	_, refusal := first.chooseUpstream()
	require.Nil(t, refusal, "the first priority")
}

// TestEarlyRepetitionsDoNotCount checks that a caller that repeats before it was asked to gains
// nothing, and that its repetitions do not make the work seem more than it is.
func TestEarlyRepetitionsDoNotCount(t *testing.T) {
	a, placer, now := newAdmission(), persimplace.New(), time.Unix(1_000_000, 0)
	a.setCatalogue(rankedCatalogue())
	for range 10 {
		a.order("s", "long", 0, 12_000, time.Second)
		a.order("s", "short", 2, 2400, time.Second)
	}
	r := arrival{service: "s", key: persimadmit.Key{Rank: 2, Organisation: "b"}, work: persimadmit.Work{Prefill: 2400}, maxWait: time.Second}
	cause := ""
	for ; cause == ""; r.hash++ {
		_, cause = a.admit(now, r, placer)
		now = now.Add(refreshInterval)
	}
	r.hash--
	before := a.ownLoads(now, "s", placer.Busy).Total()
	for range 500 {
		_, cause = a.admit(now, r, placer)
		require.Equal(t, causeOthers, cause)
	}
	require.InDelta(t, before, a.ownLoads(now, "s", placer.Busy).Total(), 1e-9)
	_, returned := a.returns.Check(now.Add(maxRetryAfter), r.hash)
	require.True(t, returned)
}

// TestTotalLoads checks what a host takes the work of all hosts for, by what it has heard.
func TestTotalLoads(t *testing.T) {
	now, key := time.Unix(1_000_000, 0), persimadmit.Key{Rank: 2, Organisation: "b"}
	told := map[string]persimadmit.Loads{"s": {key: 6}}
	placer := persimplace.New()
	cases := map[string]struct {
		observe func(a *admission)
		want    float64
		covered int
	}{
		"nothing is heard":     {func(*admission) {}, 10, 0},
		"all are heard":        {func(a *admission) { a.observe(now, allOthers, 9, told) }, 1 + 6, 9},
		"a part is heard":      {func(a *admission) { a.observe(now, allOthers, 3, told) }, 1 + 18, 3},
		"what is heard is old": {func(a *admission) { a.observe(now.Add(-othersTTL-time.Second), allOthers, 9, told) }, 10, 0},
		"hosts tell it one by one": {func(a *admission) {
			for i := range 9 {
				a.observe(now, fmt.Sprint(i), 1, told)
			}
		}, 1 + 54, 9},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a := newAdmission()
			a.hostCount = 10
			a.setCatalogue(rankedCatalogue())
			prefill := 1 / placer.Busy(1, 0)
			for i := range 10_000 {
				a.services["s"].tally.Add(now.Add(time.Duration(i-10_000)*time.Millisecond), key, persimadmit.Work{Prefill: prefill / 1000})
			}
			tc.observe(a)
			loads, covered := a.totalLoads(now, "s", placer)
			require.InEpsilon(t, tc.want, loads.Total(), 0.05)
			require.Equal(t, tc.covered, covered)
		})
	}
}
