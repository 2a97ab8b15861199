package persimentry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	pollBound = 3 * time.Second
	pollStep  = 100 * time.Millisecond
	pollDay   = 60 * time.Second
	// storeAnswer is how long a slow store takes to answer.
	storeAnswer = 240 * time.Millisecond
)

// A pollDeployment replays hosts that read the store when their knowledge is old and
// ask hubs in turn meanwhile.
type pollDeployment struct {
	ages   []time.Duration
	oldest []time.Duration
	reads  int
}

func playPolls(hosts, deafHubs int) *pollDeployment {
	d := &pollDeployment{ages: make([]time.Duration, hosts), oldest: make([]time.Duration, hosts)}
	for at := time.Duration(0); at < pollDay; at += pollStep {
		for i := range d.ages {
			d.step(i, at, deafHubs)
		}
	}
	return d
}

func (d *pollDeployment) step(host int, at time.Duration, deafHubs int) {
	d.ages[host] += pollStep
	if hub := int(at/hubInterval) % hubs; at%hubInterval == 0 && hub >= deafHubs && host >= hubs {
		d.ages[host] = min(d.ages[host], d.ages[hub])
	}
	d.oldest[host] = max(d.oldest[host], d.ages[host])
	if host < deafHubs {
		return
	}
	if d.ages[host] >= pollAge(fmt.Sprint("host-", host), host < hubs, pollBound) {
		d.ages[host] = storeAnswer
		d.reads++
	}
}

func TestPolls(t *testing.T) {
	tests := []struct {
		name         string
		hosts, deaf  int
		mostReads    float64 // for each second
		oldestOfHost time.Duration
	}{
		// Two hubs read every 0.9 s, and nobody else needs to.
		{name: "a mesh", hosts: 6, mostReads: 4, oldestOfHost: pollBound / 2},
		{name: "a large deployment", hosts: 70, mostReads: 4, oldestOfHost: pollBound / 2},
		{name: "one hub cut off", hosts: 70, deaf: 1, mostReads: 4, oldestOfHost: pollBound},
		{name: "all hubs cut off", hosts: 70, deaf: hubs, mostReads: 70, oldestOfHost: pollBound},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := playPolls(tt.hosts, tt.deaf)
			require.LessOrEqual(t, float64(d.reads)/pollDay.Seconds(), tt.mostReads)
			for host := tt.deaf; host < tt.hosts; host++ {
				require.Less(t, d.oldest[host], tt.oldestOfHost)
			}
		})
	}
}
