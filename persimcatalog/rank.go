package persimcatalog

import (
	"maps"
	"slices"
)

// routePriorities is the number of priorities of routes that are told apart among the requests
// of organisations of one priority.
const routePriorities = 100

// Rank returns the rank of an organisation's requests on the route; zero is the first. The
// priority of the organisation decides where it is set, and among equal ones that of the route.
func (r Route) Rank(organisation Organisation) int {
	first := r.Priority
	if organisation.Priority != nil {
		first = *organisation.Priority
	}
	return first*routePriorities + min(max(r.Priority, 0), routePriorities-1)
}

// Precedence is a pair of routes of one service of which the first has the higher priority and
// the tighter latency target.
type Precedence struct {
	First, Second string
}

// Precedences returns the pairs of routes that may make a service ranked.
func (c Catalogue) Precedences(service string) []Precedence {
	routes := c.routesTo(service)
	var pairs []Precedence
	for _, first := range routes {
		for _, second := range routes {
			tighter := first.Target > 0 && (second.Target <= 0 || first.Target < second.Target)
			if first.Priority < second.Priority && tighter {
				pairs = append(pairs, Precedence{First: first.Name, Second: second.Name})
			}
		}
	}
	return pairs
}

// Ranks returns the ranks that requests for a service can have, the highest first.
func (c Catalogue) Ranks(service string) []int {
	ranks := map[int]bool{}
	for _, route := range c.routesTo(service) {
		if route.Anonymous || !c.RequiresKey() {
			ranks[route.Rank(Organisation{})] = true
			continue
		}
		for _, organisation := range c.organisations {
			ranks[route.Rank(organisation)] = true
		}
	}
	return slices.Sorted(maps.Keys(ranks))
}

// routesTo returns the routes that send requests to a service.
func (c Catalogue) routesTo(service string) []Route {
	var routes []Route
	for _, route := range c.Routes() {
		if slices.ContainsFunc(route.Splits, func(s Split) bool { return s.Service == service && s.Weight > 0 }) {
			routes = append(routes, route)
		}
	}
	return routes
}
