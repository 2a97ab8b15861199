package persimentry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	pollBound     = 3 * time.Second
	pollStep      = 100 * time.Millisecond
	simulatedTime = 60 * time.Second
	// storeLatency is how long a slow store takes to reply.
	storeLatency = 240 * time.Millisecond
)

// pollSimulation simulates hosts that read the store when their copy is too old and
// that start exchanges with the hubs in turn. The first unreachableHubs hosts are hubs
// that are cut off from the store and from the other hosts.
type pollSimulation struct {
	ages    []time.Duration
	maxAges []time.Duration
	reads   int
}

func simulatePolls(hosts, unreachableHubs int) *pollSimulation {
	s := &pollSimulation{ages: make([]time.Duration, hosts), maxAges: make([]time.Duration, hosts)}
	for at := time.Duration(0); at < simulatedTime; at += pollStep {
		for i := range s.ages {
			s.step(i, at, unreachableHubs)
		}
	}
	return s
}

func (s *pollSimulation) step(host int, at time.Duration, unreachableHubs int) {
	s.ages[host] += pollStep
	if hub := int(at/hubExchangeInterval) % hubCount; at%hubExchangeInterval == 0 && hub >= unreachableHubs && host >= hubCount {
		s.ages[host] = min(s.ages[host], s.ages[hub])
	}
	s.maxAges[host] = max(s.maxAges[host], s.ages[host])
	if host < unreachableHubs {
		return
	}
	if s.ages[host] >= pollAge(fmt.Sprint("host-", host), host < hubCount, pollBound) {
		s.ages[host] = storeLatency
		s.reads++
	}
}

func TestPolls(t *testing.T) {
	tests := []struct {
		name               string
		hosts, unreachable int
		maxReads           float64 // per second
		maxAge             time.Duration
	}{
		// Two hubs read every 0.9 s, and no other host needs to.
		{name: "full mesh", hosts: 6, maxReads: 4, maxAge: pollBound / 2},
		{name: "a large deployment", hosts: 70, maxReads: 4, maxAge: pollBound / 2},
		{name: "one hub cut off", hosts: 70, unreachable: 1, maxReads: 4, maxAge: pollBound},
		{name: "all hubs cut off", hosts: 70, unreachable: hubCount, maxReads: 70, maxAge: pollBound},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := simulatePolls(tt.hosts, tt.unreachable)
			require.LessOrEqual(t, float64(s.reads)/simulatedTime.Seconds(), tt.maxReads)
			for host := tt.unreachable; host < tt.hosts; host++ {
				require.Less(t, s.maxAges[host], tt.maxAge)
			}
		})
	}
}
