package persimquarantine

import (
	"math/rand/v2"
	"time"
)

const (
	// minHold is the time for which a part is held after its last crash, doubled for each
	// probe that crashed an upstream.
	minHold = 30 * time.Second
	// maxDoublings limits the hold to eight minutes.
	maxDoublings = 4
	// probeTimeout is the time after which a probe without an outcome counts as lost.
	probeTimeout = 10 * time.Second
	// probeSpread is the time, for each host, over which the hosts spread their probes, so
	// that the others know of the first one.
	probeSpread = 4 * time.Second
	// forgetAfter is the time without a probe, once every host may send one, after which a
	// part is forgotten.
	forgetAfter = time.Minute
	// releaseTTL is the time for which the success that released a part is sent.
	releaseTTL = 10 * time.Second
)

// hold is what is known of a quarantined part.
type hold struct {
	// crash is the last crash of the part, doublings the number of probes that crashed an
	// upstream.
	crash     stamp
	doublings int
	// probe is when a request was last let through.
	probe stamp
	// releasedAt is when a success of the part was known here; it is zero before.
	releasedAt time.Time
	// opensAt is when this host may send a probe; it is zero until a request asks for one.
	opensAt time.Time
}

func (h *hold) end() time.Time { return h.crash.at.Add(minHold << h.doublings) }

// probesFrom returns the time from which any host may send a probe.
func (h *hold) probesFrom() time.Time {
	end := h.end()
	if timeout := h.probe.at.Add(probeTimeout); timeout.After(end) {
		return timeout
	}
	return end
}

// wait returns the time until this host may send a probe. The random wait of a host begins
// with the first request that asks for one: hosts that were not asked for a while must
// not all be ready at once.
func (h *hold) wait(now time.Time, hosts int, random *rand.Rand) time.Duration {
	if from := h.probesFrom(); now.Before(from) {
		return from.Sub(now)
	}
	if h.opensAt.IsZero() {
		h.opensAt = now.Add(time.Duration(random.Float64() * float64(spread(hosts))))
	}
	return h.opensAt.Sub(now)
}

func (h *hold) forgetAt(hosts int) time.Time { return h.probesFrom().Add(spread(hosts) + forgetAfter) }

func (h *hold) released() bool { return !h.releasedAt.IsZero() }

// over reports whether nothing more is to be known of the part.
func (h *hold) over(now time.Time, hosts int) bool {
	return h.released() && now.Sub(h.releasedAt) >= releaseTTL || now.After(h.forgetAt(hosts))
}

func spread(hosts int) time.Duration { return time.Duration(hosts) * probeSpread }

// recordCrash renews the hold with a crash of the part. One after the end of the hold is
// that of a probe.
func (h *hold) recordCrash(crashed stamp) {
	if !crashed.at.After(h.crash.at) {
		return
	}
	if crashed.at.After(h.end()) {
		h.doublings = min(h.doublings+1, maxDoublings)
	}
	h.crash = crashed
	h.opensAt = time.Time{}
}

func (h *hold) recordProbe(probe stamp) {
	h.probe = probe
	h.opensAt = time.Time{}
}

// merge adds what another host knows of the part.
func (h *hold) merge(received hold) {
	h.doublings = max(h.doublings, received.doublings)
	h.crash = h.crash.later(received.crash)
	if probe := h.probe.later(received.probe); probe != h.probe {
		h.recordProbe(probe)
	}
}
