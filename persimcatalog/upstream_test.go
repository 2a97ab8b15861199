package persimcatalog

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func upstream(id string, born int64, address string) Upstream {
	return Upstream{Incarnation: Incarnation{ID: id, Born: born}, Address: address, Service: "s"}
}

func leavingByID(r *Roster) map[string]bool {
	leaving := map[string]bool{}
	for _, u := range r.Upstreams()["s"] {
		leaving[u.ID] = u.Leaving
	}
	return leaving
}

func TestRosterLeavingStays(t *testing.T) {
	r := NewRoster()
	u := upstream("a", 1, "1:1")
	r.Apply([]Upstream{u.WithLeaving()}, false)
	r.Apply([]Upstream{u}, false)
	require.Equal(t, map[string]bool{"a": true}, leavingByID(r))
	t.Run("until the next incarnation", func(t *testing.T) {
		r.Apply([]Upstream{upstream("a", 2, "1:1")}, false)
		require.Equal(t, map[string]bool{"a": false}, leavingByID(r))
	})
}

func TestRosterMarkLeaving(t *testing.T) {
	r := NewRoster()
	u := upstream("a", 1, "1:1")
	require.True(t, r.MarkLeaving(u.Incarnation))
	require.False(t, r.MarkLeaving(u.Incarnation))
	r.Apply([]Upstream{u}, false)
	require.Equal(t, map[string]bool{"a": true}, leavingByID(r))
}

func TestRosterMissing(t *testing.T) {
	tests := map[string]struct {
		next []Upstream
		keep bool
		want map[string]bool
	}{
		"is gone":                             {nil, false, map[string]bool{}},
		"is kept after an outage":             {nil, true, map[string]bool{"a": false}},
		"is not kept under a new incarnation": {[]Upstream{upstream("a", 2, "2:2")}, true, map[string]bool{"a": false}},
		"is not kept at a reused address": {
			[]Upstream{upstream("b", 1, "1:1")}, true, map[string]bool{"b": false},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := NewRoster()
			r.Apply([]Upstream{upstream("a", 1, "1:1")}, false)
			r.Apply(test.next, test.keep)
			require.Equal(t, test.want, leavingByID(r))
			require.Len(t, r.Upstreams()["s"], len(test.want))
		})
	}
}
