package persimadmit

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func key(rank int, organisation string) Key { return Key{Rank: rank, Organisation: organisation} }

// requireFloors checks that each load gets at least its floor and at most what it asks for, and
// that together they get the capacity.
func requireFloors(t *testing.T, loads, allocation Loads, capacity, floor float64) {
	t.Helper()
	mean := min(1, capacity/loads.Total())
	for k, busy := range loads {
		require.GreaterOrEqual(t, allocation[k], floor*mean*busy-1e-6, "%v", k)
		require.LessOrEqual(t, allocation[k], busy+1e-6, "%v", k)
	}
	require.InDelta(t, min(capacity, loads.Total()), allocation.Total(), 1e-3)
}

// TestAllocate checks the order in which capacity is given away. A wrong one lets a lower
// priority or a large organisation take what others need, or starves somebody.
func TestAllocate(t *testing.T) {
	cases := map[string]struct {
		loads    Loads
		capacity float64
		want     Loads
	}{
		"enough for all": {
			Loads{key(0, "a"): 3, key(2, "b"): 4},
			10,
			Loads{key(0, "a"): 3, key(2, "b"): 4},
		},
		"the first priority is not cut": {
			Loads{key(0, "a"): 4, key(2, "b"): 8},
			9,
			Loads{key(0, "a"): 4, key(2, "b"): 5},
		},
		"a large organisation is cut first": {
			Loads{key(2, "a"): 1, key(2, "b"): 2, key(2, "c"): 9},
			8,
			Loads{key(2, "a"): 1, key(2, "b"): 2, key(2, "c"): 5},
		},
		"equal organisations get equal parts": {
			Loads{key(2, "a"): 5, key(2, "b"): 5},
			6,
			Loads{key(2, "a"): 3, key(2, "b"): 3},
		},
		"lower priorities keep their floor": {
			Loads{key(0, "a"): 15, key(2, "b"): 5},
			10,
			Loads{key(0, "a"): 9, key(2, "b"): 1},
		},
		"a large organisation keeps its floor": {
			Loads{key(2, "a"): 1, key(2, "b"): 1, key(2, "c"): 1, key(2, "d"): 1, key(2, "e"): 16},
			5,
			Loads{key(2, "a"): 0.85, key(2, "b"): 0.85, key(2, "c"): 0.85, key(2, "d"): 0.85, key(2, "e"): 1.6},
		},
		"no capacity": {
			Loads{key(0, "a"): 1, key(2, "b"): 1},
			0,
			Loads{key(0, "a"): 0, key(2, "b"): 0},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			allocation := allocate(tc.loads, tc.capacity, 0.4)
			require.InDeltaMapValues(t, tc.want, allocation, 1e-3)
			requireFloors(t, tc.loads, allocation, tc.capacity, 0.4)
		})
	}
}

// TestAllocateTheRest checks that organisations without names count as many: treated as one,
// they would all be cut in favour of those that have names.
func TestAllocateTheRest(t *testing.T) {
	loads := Loads{{Rank: 2, Rest: true}: 10, key(2, "a"): 1, key(2, "b"): 1}
	allocation := allocate(loads, 6, 0.4)
	require.InDelta(t, 0.5, allocation[key(2, "a")], 1e-3)
	require.InDelta(t, 5, allocation[Key{Rank: 2, Rest: true}], 1e-3)
}

// TestBounded checks that a message names only the largest loads and loses no work.
func TestBounded(t *testing.T) {
	loads := Loads{}
	for i := range 500 {
		loads[key(i%3, fmt.Sprint(i))] = float64(1 + i)
	}
	bounded := loads.Bounded(64)
	require.LessOrEqual(t, len(bounded), 64+3)
	require.InDelta(t, loads.Total(), bounded.Total(), 1e-6)
	require.Contains(t, bounded, key(1, "499"))
	require.NotContains(t, bounded, key(0, "0"))
}

// TestLoadsLeaveNothingBehind checks that sums from which all hosts have gone are empty.
func TestLoadsLeaveNothingBehind(t *testing.T) {
	sum := Loads{}
	for i := range 300 {
		sum.Add(Loads{key(0, "a"): 0.1 + float64(i)/7}, 1)
	}
	for i := range 300 {
		sum.Add(Loads{key(0, "a"): 0.1 + float64(i)/7}, -1)
	}
	require.Empty(t, sum)
}
