package persimentry

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimadmit"
	"persimmonport.example/persimfront"
	"persimmonport.example/persimhub"
	"persimmonport.example/persimwire"
)

// TestRankedDemandInMessages checks that the work by organisation and priority arrives as it was
// sent, with the demand of a host and with the sum of a hub.
func TestRankedDemandInMessages(t *testing.T) {
	loads := persimadmit.Loads{{Rank: 0, Organisation: "a"}: 1.5, {Rank: -2}: 2, {Rank: 2, Rest: true}: 0.25}
	demand := map[string]persimfront.Demand{"s": {Busy: 4, Ranked: loads}, "plain": {Busy: 1}}
	message := &persimwire.Exchange{Demand: encodeDemand(demand)}
	require.Equal(t, loads, decodeDemand(message.GetDemand())["s"].Ranked)
	require.Equal(t, persimhub.Ranked{"s": loads}, decodeReport(message).Ranked)
	sum := persimhub.Sum{Ranked: persimhub.Ranked{"s": loads}}
	require.Equal(t, sum.Ranked, decodeSum(encodeSum(sum)).Ranked)
	require.Empty(t, message.GetDemand()["plain"].GetRanked())
}

// TestOddRankedDemandIsLeftOut checks that a message of another host can't make the host keep any
// number of organisations, or work that is no number.
func TestOddRankedDemandIsLeftOut(t *testing.T) {
	var list []*persimwire.RankedLoad
	for _, busy := range []float64{math.NaN(), math.Inf(1), -1, 0} {
		list = append(list, &persimwire.RankedLoad{Organisation: fmt.Sprint(busy), Busy: busy})
	}
	require.Empty(t, decodeRanked(list))
	for i := range 10_000 {
		list = append(list, &persimwire.RankedLoad{Organisation: fmt.Sprint(i), Busy: 1})
	}
	require.LessOrEqual(t, len(decodeRanked(list)), maxRankedLoads)
}
