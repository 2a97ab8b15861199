package persimentry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimclock"
)

const (
	outageStart    = persimclock.Instant(time.Hour)
	outageDuration = 5500 * time.Millisecond
	// reregisterTime is the time within which upstreams register again once the store is
	// back, if they live.
	reregisterTime = 2 * time.Second
	// sendTime is the time from the choice of an upstream to the arrival of the request.
	sendTime = 50 * time.Millisecond
)

// at returns the instant a time after the start of the test.
func at(d time.Duration) persimclock.Instant { return outageStart.Add(d) }

// span returns a span between two times after the start of the test, before which the store
// may have returned at any time since the third.
func span(since, until, returned time.Duration) readableSpan {
	return readableSpan{since: at(since), until: at(until), returned: at(returned)}
}

func TestOutageRecord(t *testing.T) {
	const s = time.Second
	tests := []struct {
		name  string
		spans []readableSpan
		// failedAt is when the last read that failed began.
		failedAt time.Duration
		outage   bool
		// keeps is the time until which missing upstreams are kept.
		keeps time.Duration
	}{
		{name: "the first list", spans: []readableSpan{span(0, 0, 0)}},
		{name: "lists in short intervals", spans: []readableSpan{span(0, 0, 0), span(2*s, 2*s, 0), span(4*s, 4*s, 0)}},
		{name: "a gap", spans: []readableSpan{span(0, 0, 0), span(5*s, 5*s, 4800*time.Millisecond)}, outage: true, keeps: 5*s + reregisterGrace},
		{name: "a gap since an early return", spans: []readableSpan{span(0, 0, 0), span(5*s, 5*s, 4*s)}, outage: true, keeps: 4*s + testContact - contactMargin},
		{name: "a gap that another host fills", spans: []readableSpan{span(0, 0, 0), span(5*s, 5*s, 4*s), span(-9*s, 5*s, -9*s)}, outage: true},
		{name: "a gap that an older span of another host fills", spans: []readableSpan{span(0, 0, 0), span(5*s, 5*s, 4*s), span(-9*s, 4*s, -9*s)}, outage: true},
		{name: "a gap that two hosts fill", spans: []readableSpan{span(0, 0, 0), span(9*s, 9*s, 8*s), span(s, 4*s, s), span(5*s, 8*s, 5*s)}, outage: true},
		{name: "a gap that another host does not fill", spans: []readableSpan{span(0, 0, 0), span(9*s, 9*s, 8800*time.Millisecond), span(s, 4*s, s)}, outage: true, keeps: 9*s + reregisterGrace},
		{name: "another host read first", spans: []readableSpan{span(0, 0, 0), span(5*s, 5*s, 4800*time.Millisecond), span(4500*time.Millisecond, 5*s, 4400*time.Millisecond)}, outage: true, keeps: 4500*time.Millisecond + reregisterGrace},
		{name: "a second gap", spans: []readableSpan{span(0, 0, 0), span(5*s, 5*s, 4800*time.Millisecond), span(9*s, 9*s, 8800*time.Millisecond)}, outage: true, keeps: 9*s + reregisterGrace},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := outageRecord{contact: testContact}
			outage := false
			for _, confirmed := range tt.spans {
				outage = o.confirm(confirmed) || outage
			}
			require.Equal(t, tt.outage, outage)
			if tt.keeps > 0 {
				require.True(t, o.keepsMissing(at(tt.keeps-time.Millisecond)))
			}
			require.False(t, o.keepsMissing(at(tt.keeps)))
		})
	}
}

// TestGapOfAHostThatDidNotReadIsNoOutage guards against requests to upstreams that are gone, which
// a host keeps since it takes the loss of the hosts that read for it for an outage of the store.
func TestGapOfAHostThatDidNotReadIsNoOutage(t *testing.T) {
	const ms = time.Millisecond
	quiet := longestPollInterval(3 * time.Second)
	tests := map[string]struct {
		gap time.Duration
		// failed is when a read of this host failed, returned when the store came back as
		// another host knows; zero means neither.
		failed, returned time.Duration
		outage           bool
	}{
		"list of another host":                  {gap: 1500 * ms},
		"own first read":                        {gap: 2160 * ms},
		"own first read, late":                  {gap: quiet},
		"own read after one that failed":        {gap: 2160 * ms, failed: 1900 * ms, outage: true},
		"another host knows of a return":        {gap: 2160 * ms, returned: 2100 * ms, outage: true},
		"longer than any host leaves unread":    {gap: quiet + ms, outage: true},
		"a read that failed, in a short outage": {gap: 1900 * ms, failed: 1000 * ms},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			o := outageRecord{contact: testContact, quiet: quiet}
			o.confirm(span(-time.Minute, 0, -time.Minute))
			if tt.failed > 0 {
				o.recordFailure(at(tt.failed))
			}
			confirmed := readSpan(at(tt.gap))
			if tt.returned > 0 {
				confirmed.returned = at(tt.returned)
			}
			require.Equal(t, tt.outage, o.confirm(confirmed))
			require.Equal(t, tt.outage, o.keepsMissing(at(tt.gap+ms)))
		})
	}
}

// TestLongestPollInterval guards against a host whose own reads come later than the gap that is
// taken for none.
func TestLongestPollInterval(t *testing.T) {
	for _, bound := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second} {
		for role := range pollFractions {
			for host := range 300 {
				age := pollAge(fmt.Sprint("host-", host), role, bound)
				require.LessOrEqual(t, age+stalenessCheckInterval, longestPollInterval(bound))
			}
		}
	}
}

// partitionedHost is a host that reads the list alone, as the only reader or as one that
// no other host reaches.
type partitionedHost struct {
	outageRecord
	random   *rand.Rand
	failures int
	// next is when the next read begins.
	next persimclock.Instant
}

// readUntil reads the list from an instant on until another, while the store can't be
// reached from one instant to the next. A read that can't reach it ends without a result.
func (h *partitionedHost) readUntil(end, cut, healed persimclock.Instant) {
	for ; h.next < end; h.next = h.next.Add(stalenessCheckInterval - h.next.Sub(outageStart)%stalenessCheckInterval) {
		began := h.next
		if began < cut || began >= healed {
			h.failures = 0
			h.confirm(readSpan(began))
			h.next = began.Add(600 * time.Millisecond)
			continue
		}
		h.recordFailure(began)
		h.failures++
		hang := retryTimeout
		if h.failures == 1 {
			hang = 900 * time.Millisecond
		}
		h.next = began.Add(max(hang, retryDelay(h.failures, pollReader, 1, h.random.Float64())))
	}
}

// TestGraceTimeAfterAPartition replays a host that can't reach the store for a while, which
// may be an outage of the store or not: upstreams that are missing in the list are kept as
// long as living ones take to register again, and left before the host counts as healthy.
func TestGraceTimeAfterAPartition(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			h := &partitionedHost{
				outageRecord: outageRecord{contact: testContact},
				random:       rand.New(rand.NewPCG(seed, 1)),
				next:         outageStart,
			}
			cut := at(3*time.Second + time.Duration(seed)*3*time.Millisecond)
			healed := cut.Add(outageDuration + time.Duration(seed)*7*time.Millisecond)
			h.readUntil(healed.Add(testContact), cut, healed)
			require.True(t, h.keepsMissing(healed.Add(reregisterTime)), "living upstreams register again")
			require.False(t, h.keepsMissing(healed.Add(testContact-stalenessCheckInterval-sendTime)), "gone ones are left")
		})
	}
}
