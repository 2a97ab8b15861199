package persimquarantine

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

const (
	// crashMemory is the time after which a crash is forgotten.
	crashMemory = 30 * time.Second
	// maxCrashes is the largest number of crashes that are kept.
	maxCrashes = 64
	// maxCrashParts is the largest number of parts that are kept of a crash.
	maxCrashParts = 64
	// momentLength is the time within which crashes can have one cause, as when a data
	// centre fails.
	momentLength = 200 * time.Millisecond
)

// crash is the crash of one incarnation of an upstream.
type crash struct {
	upstream uint64
	time     stamp
	// learnedAt is when this host first knew of it.
	learnedAt time.Time
	// begun is set if the upstream had begun to answer the requests with these parts, one of
	// which is then the cause. Otherwise the cause can be any request that it left unanswered.
	begun bool
	// parts are those of these requests, in order.
	parts []uint64
}

// crashes holds the recent crashes.
type crashes struct {
	// list is ordered by time.
	list []crash
	// counts is the number of crashes that each part was in.
	counts map[uint64]int
}

func newCrashes() crashes { return crashes{counts: map[uint64]int{}} }

func (cs *crashes) empty() bool { return len(cs.list) == 0 }

// add adds a crash, or merges a report of a known one.
func (cs *crashes) add(report crash) {
	if len(report.parts) == 0 {
		return
	}
	merged := report
	at := slices.IndexFunc(cs.list, func(c crash) bool { return c.upstream == report.upstream })
	if at >= 0 {
		previous := cs.list[at]
		if previous.covers(report) {
			return
		}
		merged.learnedAt = previous.learnedAt
		merged.time = previous.time.earlier(report.time)
		merged.begun = previous.begun || report.begun
		merged.parts = previous.partsWith(report)
		cs.remove(at)
	}
	merged.parts = cs.limit(merged.upstream, slices.Compact(slices.Sorted(slices.Values(merged.parts))))
	for _, part := range merged.parts {
		cs.counts[part]++
	}
	place, _ := slices.BinarySearchFunc(cs.list, merged, compareCrashes)
	cs.list = slices.Insert(cs.list, place, merged)
	if len(cs.list) > maxCrashes {
		cs.remove(cs.leastUseful())
	}
}

func compareCrashes(a, b crash) int {
	return cmp.Or(a.time.at.Compare(b.time.at), cmp.Compare(a.upstream, b.upstream))
}

func (cs *crashes) remove(at int) {
	for _, part := range cs.list[at].parts {
		cs.counts[part]--
		if cs.counts[part] == 0 {
			delete(cs.counts, part)
		}
	}
	cs.list = slices.Delete(cs.list, at, at+1)
}

func (cs *crashes) expire(now time.Time) {
	for len(cs.list) > 0 && now.Sub(cs.list[0].time.at) >= crashMemory {
		cs.remove(0)
	}
}

// limit returns the parts of a crash to keep if there are too many: those that are in
// most other crashes, roughly counted so that all hosts keep the same ones, then some that
// differ from crash to crash.
func (cs *crashes) limit(upstream uint64, parts []uint64) []uint64 {
	if len(parts) <= maxCrashParts {
		return parts
	}
	others := func(part uint64) int { return bits.Len(uint(cs.counts[part])) }
	kept := slices.SortedFunc(slices.Values(parts), func(a, b uint64) int {
		return cmp.Or(cmp.Compare(others(b), others(a)), cmp.Compare(mix(a, upstream), mix(b, upstream)))
	})[:maxCrashParts]
	slices.Sort(kept)
	return kept
}

// mix returns a hash of a part that differs from upstream to upstream.
func mix(part, upstream uint64) uint64 {
	high, low := bits.Mul64(part^upstream, 0x9E3779B97F4A7C15)
	return high ^ low
}

// leastUseful returns the place of the crash to drop if there are too many: one of the
// moment with most of them, as moments are what counts.
func (cs *crashes) leastUseful() int {
	place, most := 0, 1
	for first := 0; first < len(cs.list); {
		end, last := first, first
		for ; end < len(cs.list) && sameMoment(cs.list[first].time.at, cs.list[end].time.at); end++ {
			if cs.list[end].upstream > cs.list[last].upstream {
				last = end
			}
		}
		if end-first > most {
			place, most = last, end-first
		}
		first = end
	}
	return place
}

// sameMoment reports whether a crash belongs to the moment that an earlier one began.
func sameMoment(began, at time.Time) bool { return at.Sub(began) <= momentLength }

// of returns the crashes of a part in the order of time.
func (cs *crashes) of(part uint64) []crash {
	var with []crash
	for _, c := range cs.list {
		if c.has(part) {
			with = append(with, c)
		}
	}
	return with
}

// last returns the time of the last crash of a part.
func (cs *crashes) last(part uint64) stamp {
	with := cs.of(part)
	return with[len(with)-1].time
}

func (c crash) has(part uint64) bool {
	_, ok := slices.BinarySearch(c.parts, part)
	return ok
}

// partsWith returns the parts of a known crash and of a report of it. Requests to which the
// answer had begun leave no suspicion on the others.
func (c crash) partsWith(report crash) []uint64 {
	switch {
	case c.begun && !report.begun:
		return c.parts
	case report.begun && !c.begun:
		return report.parts
	default:
		return slices.Concat(c.parts, report.parts)
	}
}

// covers reports whether the report adds nothing to the crash.
func (c crash) covers(report crash) bool {
	if c.time.earlier(report.time) != c.time || report.begun && !c.begun {
		return false
	}
	return c.begun && !report.begun || !slices.ContainsFunc(report.parts, func(part uint64) bool { return !c.has(part) })
}
