package persimduty

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestUsageSumsOverHosts(t *testing.T) {
	u := NewUsage(5 * time.Second)
	at := time.Unix(1000, 0)
	u.Count(at, "o")
	u.Count(at.Add(4*time.Second), "o")
	u.Count(at.Add(5*time.Second), "o")
	u.ObserveRemote("b 1", map[int64]Counts{200: {"o": 3, "p": 1}})
	u.ObserveRemote("b 2", map[int64]Counts{200: {"o": 1}})
	u.ObserveRemote("b 2", map[int64]Counts{200: {"o": 2}})
	require.EqualValues(t, 200, u.Window(at))
	require.Equal(t, Counts{"o": 7, "p": 1}, u.Sum(200))
	require.Equal(t, Counts{"o": 1}, u.Sum(201))
}

func TestUsagePrunesOldWindows(t *testing.T) {
	u := NewUsage(time.Second)
	for second := range int64(100) {
		u.Count(time.Unix(second, 0), "o")
	}
	require.LessOrEqual(t, len(u.Local()), retainedWindows+1)
}
