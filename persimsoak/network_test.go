package persimsoak

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestNetworkIsClaimedOnce(t *testing.T) {
	first, releaseFirst, err := claimNetwork()
	require.NoError(t, err)
	second, releaseSecond, err := claimNetwork()
	require.NoError(t, err)
	defer releaseSecond()
	require.NotEqual(t, first.prefix, second.prefix)
	releaseFirst()
	again, releaseAgain, err := claimNetwork()
	require.NoError(t, err)
	defer releaseAgain()
	require.Equal(t, first.prefix, again.prefix)
}
