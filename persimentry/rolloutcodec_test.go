package persimentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"persimmonport.example/persimrollout"
	"persimmonport.example/persimwire"
)

func TestRolloutMessagesRoundTrip(t *testing.T) {
	news := []persimrollout.News{{
		Order: persimrollout.Order{Service: "s", Target: "v2", Revision: 7, Duration: 12 * time.Second},
		Phase: persimrollout.PhaseShifting, Fence: 3, Sequence: 4, Elapsed: 2 * time.Second, Age: 300 * time.Millisecond,
		Rate: 51.5, Closed: []string{"v0"},
	}}
	reports := []persimrollout.Report{{
		Service: "s", Target: "v2", Revision: 7, Phase: persimrollout.PhaseObserving, OnOld: 2,
		Counts: []persimrollout.Count{
			{Side: persimrollout.SideCurrent, Route: "r", Centre: "a", Begun: 5, Ended: 4, Failed: 1, First: persimrollout.Histogram{3: 4}},
			{Side: persimrollout.SideTarget, Route: "r", Centre: "a", Upstream: 1 << 63, Begun: 1, Pace: persimrollout.Histogram{15: 1}},
		},
	}}
	data, err := proto.Marshal(&persimwire.Exchange{Rollouts: encodeRolloutNews(news), RolloutReports: encodeRolloutReports(reports)})
	require.NoError(t, err)
	var received persimwire.Exchange
	require.NoError(t, proto.Unmarshal(data, &received))
	require.Equal(t, news, decodeRolloutNews(received.GetRollouts()))
	require.Equal(t, reports, decodeRolloutReports(received.GetRolloutReports()))
}

// TestOddRolloutMessages guards against a host that ends on a message of a later version.
func TestOddRolloutMessages(t *testing.T) {
	counts := []*persimwire.RolloutCount{nil, {First: make([]uint32, 3*persimrollout.Buckets)}}
	reports := decodeRolloutReports([]*persimwire.RolloutReport{nil, {Counts: counts}})
	require.Len(t, reports, 2)
	require.Len(t, reports[1].Counts, 2)
	require.Len(t, decodeRolloutNews(make([]*persimwire.RolloutNews, maxRolloutItems+1)), maxRolloutItems)
}
