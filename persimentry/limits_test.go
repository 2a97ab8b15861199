package persimentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimclock"
	"persimmonport.example/persimpressure"
	"persimmonport.example/persimsettings"
)

// newLoneEntry returns a host that reaches no store and knows two upstreams.
func newLoneEntry(t *testing.T, name string) *entry {
	t.Helper()
	built, cleanup, err := New(persimsettings.Deployment{
		Host: name, PeerAddress: name + ":1", StoreAddress: "127.0.0.1:1", DutiesAddress: "127.0.0.1:1", Bounds: testBounds(),
	})
	require.NoError(t, err)
	t.Cleanup(cleanup)
	e, ok := built.(*entry)
	require.True(t, ok)
	e.applyRoster(listOf(t, "u1", "u2"), numbered(1), readSpan(persimclock.Now()), "store")
	return e
}

// TestUpstreamThatSaysItLeavesIsKnownToOtherHosts guards against hosts that go on sending to
// an upstream that has told another host that it leaves, while no list says so.
func TestUpstreamThatSaysItLeavesIsKnownToOtherHosts(t *testing.T) {
	told, other := newLoneEntry(t, "host-0"), newLoneEntry(t, "host-1")
	told.markLeaving(persimcatalog.Incarnation{ID: "u1", Born: 1})
	require.Equal(t, []string{"u2"}, told.usable())
	other.applyExchange(told.exchangeState(nil, "host-1"))
	require.Equal(t, []string{"u2"}, other.usable())
	told.applyRoster(listOf(t, "u1", "u2"), numbered(2), readSpan(persimclock.Now()), "store")
	require.Equal(t, []string{"u2"}, told.usable(), "the list does not say so")
}

// TestLimitIsKnownToOtherHosts guards against a limit that only the hosts know that the
// upstream has told.
func TestLimitIsKnownToOtherHosts(t *testing.T) {
	upstream := persimcatalog.Upstream{Incarnation: persimcatalog.Incarnation{ID: "u1", Born: 1}}
	told, other := newLoneEntry(t, "host-0"), newLoneEntry(t, "host-1")
	news := persimpressure.News{Upstream: upstream.Hash(), Named: true, Limit: 1.4, Version: 3, Age: time.Second, Hops: 1}
	require.Equal(t, []persimpressure.News{news}, decodeLimits(encodeLimits([]persimpressure.News{news})))
	told.front.MergePressure("upstream", []persimpressure.News{news})
	other.applyExchange(told.exchangeState(nil, "host-1"))
	require.Equal(t, []float64{1.4}, other.front.Limits([]persimcatalog.Upstream{upstream}))
	news.Named, news.Version = false, 4
	told.front.MergePressure("upstream", []persimpressure.News{news})
	other.applyExchange(told.exchangeState(nil, "host-1"))
	require.Empty(t, other.front.Limits([]persimcatalog.Upstream{upstream}))
}

// requireLimitEverywhere lets one host hear of a limit and then of its end, and requires that
// all hosts know both in time.
func (d *testDeployment) requireLimitEverywhere() {
	d.t.Helper()
	first := d.hosts[0].entry
	first.mu.Lock()
	var upstreams []persimcatalog.Upstream
	for _, list := range first.roster.Upstreams() {
		upstreams = append(upstreams, list...)
	}
	first.mu.Unlock()
	require.NotEmpty(d.t, upstreams)
	upstreams = upstreams[:1]
	known := func(count int) func() bool {
		return func() bool {
			for _, h := range d.hosts {
				if len(h.entry.front.Limits(upstreams)) != count {
					return false
				}
			}
			return true
		}
	}
	news := persimpressure.News{Upstream: upstreams[0].Hash(), Named: true, Limit: 1.4, Version: 1}
	first.front.MergePressure("upstream", []persimpressure.News{news})
	d.eventually(contactBound, known(1), "limit at all hosts")
	news.Named, news.Version = false, 2
	first.front.MergePressure("upstream", []persimpressure.News{news})
	d.eventually(contactBound, known(0), "end of the limit at all hosts")
}

func TestLimitsReachAllHosts(t *testing.T) {
	d := newTestDeployment(t, 3)
	d.waitConnected()
	d.requireLimitEverywhere()
}
