package persimrollout

// priorTotal is the number of results of which one was bad that the current version is
// assumed to have had before the order: with few results, its rate is not known to be zero.
const priorTotal = 20

// pool is a set of results of the current version.
type pool struct{ bad, total float64 }

// rate returns the share of bad results. It is only used of a pool that is large enough or the
// largest there is.
func (p pool) rate() float64 { return p.bad / max(p.total, minPool) }

func (p pool) plus(r row) pool { return pool{bad: p.bad + r.bad, total: p.total + r.total} }

// poolKey names a pool: of a route in a data centre, of a route, or of the service.
type poolKey struct {
	route, centre       string
	allRoutes, allPlace bool
}

// pools are the results of the current version by route and data centre.
type pools map[poolKey]pool

func newPools(current []row) pools {
	p := pools{}
	for _, r := range current {
		for _, key := range keys(r.stratum) {
			p[key] = p[key].plus(r)
		}
	}
	return p
}

// keys returns the pools to which a stratum belongs, the smallest first.
func keys(s stratum) [3]poolKey {
	return [3]poolKey{
		{route: s.route, centre: s.centre},
		{route: s.route, allPlace: true},
		{allRoutes: true, allPlace: true},
	}
}

func (p pools) service() pool { return p[poolKey{allRoutes: true, allPlace: true}] }

// key returns the smallest pool of a stratum that is large enough.
func (p pools) key(s stratum) poolKey {
	candidates := keys(s)
	for _, key := range candidates {
		if p[key].total >= minPool {
			return key
		}
	}
	return candidates[len(candidates)-1]
}

func (p pools) of(s stratum) pool { return p[p.key(s)] }

// expect returns the bad results that are expected of the target.
func (p pools) expect(target []row) expectation {
	totals := map[poolKey]float64{}
	all := 0.0
	for _, r := range target {
		totals[p.key(r.stratum)] += r.total
		all += r.total
	}
	prior := all / (p.service().total + priorTotal)
	e := expectation{mean: prior, variance: prior * prior}
	for key, total := range totals {
		weight := total / max(p[key].total, minPool)
		e.mean += weight * p[key].bad
		e.variance += weight * weight * p[key].bad
	}
	return e
}
