package persimcatalog

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestMatch(t *testing.T) {
	c := New(1, []Route{
		{Name: "short", Host: "A.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
	}, nil, nil, Limits{})
	for path, want := range map[string]string{"/x/1": "short", "/x/y/1": "long", "/x/y": "short", "/X/": "", "/": ""} {
		t.Run(path, func(t *testing.T) {
			route, ok := c.Match("a.example:8080", path)
			require.Equal(t, want != "", ok)
			require.Equal(t, want, route.Name)
		})
	}
	_, ok := c.Match("b.example", "/x/1")
	require.False(t, ok)
}

func TestRouteService(t *testing.T) {
	route := Route{Splits: []Split{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}, {Service: "c"}}}
	counts := map[string]int{}
	for hash := range uint64(1000) {
		counts[route.Service(hash)]++
	}
	require.Equal(t, map[string]int{"a": 900, "b": 100}, counts)
	require.Empty(t, Route{}.Service(1))
}

func TestOrganisationByKey(t *testing.T) {
	c := New(1, nil, nil, []Organisation{{Name: "o", Keys: []string{"k"}}}, Limits{})
	organisation, ok := c.OrganisationByKey("k")
	require.True(t, ok)
	require.Equal(t, "o", organisation.Name)
	_, ok = c.OrganisationByKey("")
	require.False(t, ok)
	require.True(t, c.RequiresKey())
	require.False(t, New(1, nil, nil, nil, Limits{}).RequiresKey())
}
