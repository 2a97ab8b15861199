package persimfront

import (
	"math"
	"time"

	"persimmonport.example/persimadmit"
	"persimmonport.example/persimengine"
)

const (
	// demandWindow is the time over which demand is averaged, minDemandWindow the
	// shortest time that demand which has just started is averaged over.
	demandWindow    = 3 * time.Second
	minDemandWindow = time.Second
)

// Demand is the work for a service that arrives at a host, per second.
type Demand struct {
	// PrefillTokens is the number of prompt tokens that an upstream has to prefill because
	// it is not expected to have them cached.
	PrefillTokens float64
	// OutputTokens is the number of tokens that may be generated.
	OutputTokens float64
	// Refused is the number of requests that no upstream was expected to serve in time.
	Refused  float64
	Requests float64
	// Busy is the number of upstreams that the work keeps busy.
	Busy float64
	// Speed is the speed of the service's engines, or zero where it was not learned here.
	Speed persimengine.Speed
	// Ranked is the part of Busy of each organisation and priority, for services whose
	// configuration allows them to be ranked.
	Ranked persimadmit.Loads
}

func (d Demand) scaled(factor float64) Demand {
	d.PrefillTokens *= factor
	d.OutputTokens *= factor
	d.Refused *= factor
	d.Requests *= factor
	return d
}

// addDemand adds to the demand average of a service.
func (d *dispatcher) addDemand(now time.Time, service string, demand Demand) {
	d.decay(now)
	if now.Sub(d.lastCounted) > demandWindow {
		d.activeSince = now
	}
	d.lastCounted = now
	demand = demand.scaled(1 / demandWindow.Seconds())
	sum := d.demand[service]
	sum.PrefillTokens += demand.PrefillTokens
	sum.OutputTokens += demand.OutputTokens
	sum.Refused += demand.Refused
	sum.Requests += demand.Requests
	d.demand[service] = sum
}

// decay reduces the sums so that demand fades out over demandWindow.
func (d *dispatcher) decay(now time.Time) {
	elapsed := now.Sub(d.decayedAt)
	if elapsed <= 0 {
		return
	}
	d.decayedAt = now
	factor := max(0, 1-elapsed.Seconds()/demandWindow.Seconds())
	for name, sum := range d.demand {
		d.demand[name] = sum.scaled(factor)
	}
}

// demandRates returns the demand per second, by service.
func (d *dispatcher) demandRates(now time.Time) map[string]Demand {
	d.decay(now)
	rates := make(map[string]Demand, len(d.demand))
	for name, sum := range d.demand {
		rate := sum.scaled(d.biasCorrection(now))
		rate.Busy = d.placer(name).Busy(rate.PrefillTokens, rate.OutputTokens)
		if speed, learned := d.placer(name).Speed(); learned {
			rate.Speed = speed
		}
		rate.Ranked = d.admission.ownLoads(now, name, d.placer(name).Busy).Bounded(maxRankedLoads)
		rates[name] = rate
	}
	return rates
}

// assumeSpeeds takes over the speeds that another host has learned, for services whose
// speed this host has not learned itself.
func (d *dispatcher) assumeSpeeds(demand map[string]Demand) {
	for name, peer := range demand {
		if placer, ok := d.placers[name]; ok && peer.Speed != (persimengine.Speed{}) {
			placer.AssumeSpeed(peer.Speed)
		}
	}
}

func (d *dispatcher) takePrefills() map[string][]persimengine.Prefill {
	taken := map[string][]persimengine.Prefill{}
	for name, placer := range d.placers {
		if prefills := placer.TakePrefills(); len(prefills) > 0 {
			taken[name] = prefills
		}
	}
	return taken
}

func (d *dispatcher) recordPrefills(prefills map[string][]persimengine.Prefill) {
	for name, list := range prefills {
		if placer, ok := d.placers[name]; ok {
			placer.RecordPrefills(list)
		}
	}
}

// biasCorrection returns the factor that corrects the average, which is too low
// while requests have arrived for less than demandWindow.
func (d *dispatcher) biasCorrection(now time.Time) float64 {
	active := max(now.Sub(d.activeSince), minDemandWindow)
	return 1 / (1 - math.Exp(-active.Seconds()/demandWindow.Seconds()))
}
