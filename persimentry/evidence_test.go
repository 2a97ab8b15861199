package persimentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimquarantine"
)

const (
	crashingPart uint64 = 0xdead
	// contactBound is the time within which all hosts must know what one of them learned.
	contactBound = 3 * time.Second
)

// crashOf returns the evidence of a host that saw one upstream crash.
func crashOf(upstream uint64, age time.Duration) persimquarantine.Evidence {
	return persimquarantine.Evidence{Crashes: []persimquarantine.Crash{{
		Time: persimquarantine.Time{Age: age}, Upstream: upstream, Parts: []uint64{crashingPart, 100 + upstream},
	}}}
}

// quarantines reports whether the host refuses requests with a prompt part.
func (h *testHost) quarantines(part uint64) bool {
	for _, quarantined := range h.entry.front.SharedState().Crashes.Quarantined {
		if quarantined.Part == part {
			return true
		}
	}
	return false
}

// requireQuarantineEverywhere lets each of three hosts see one crash and requires that all
// hosts quarantine the part that the crashes share, and no other.
func (d *testDeployment) requireQuarantineEverywhere() {
	d.t.Helper()
	for i := range 3 {
		d.hosts[i].entry.front.MergeCrashes(crashOf(uint64(i), time.Duration(i)*time.Second))
	}
	d.eventually(contactBound, func() bool {
		for _, h := range d.hosts {
			if !h.quarantines(crashingPart) {
				return false
			}
		}
		return true
	}, "quarantine at all hosts")
	for _, h := range d.hosts {
		for i := range uint64(3) {
			require.False(d.t, h.quarantines(100+i))
		}
	}
}

// TestCrashesReachAllHosts guards against a host that goes on sending requests that crash
// upstreams because other hosts saw the crashes.
func TestCrashesReachAllHosts(t *testing.T) {
	d := newTestDeployment(t, 3)
	d.waitConnected()
	d.requireQuarantineEverywhere()
	d.hosts[2].stop()
	d.hosts[2] = d.start("host-2", "centre-0")
	restarted := d.hosts[2]
	d.waitServing()
	d.eventually(contactBound, func() bool { return restarted.quarantines(crashingPart) }, "quarantine at the restarted host")
}

func TestEvidenceIsSentWhole(t *testing.T) {
	past := persimquarantine.Time{Age: 1500 * time.Millisecond, Hops: 2}
	evidence := persimquarantine.Evidence{
		Crashes:     []persimquarantine.Crash{{Time: past, Upstream: 7, Begun: true, Parts: []uint64{1, 2}}},
		Successes:   []persimquarantine.Success{{Time: past, Part: 1}},
		Quarantined: []persimquarantine.Quarantined{{Time: past, Part: 2, Doublings: 1, Probe: &past}, {Time: past, Part: 3}},
	}
	require.Equal(t, evidence, decodeEvidence(encodeEvidence(evidence)))
	require.Nil(t, encodeEvidence(persimquarantine.Evidence{}))
	require.Equal(t, persimquarantine.Evidence{}, decodeEvidence(nil))
}
