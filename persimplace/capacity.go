package persimplace

import "time"

func (p *placer) Capacity(now time.Time) float64 {
	capacity := 0.0
	for _, s := range p.sorted {
		if !s.Leaving && !now.Before(s.ejectedUntil) {
			capacity += 1 / max(1, s.slowdown(now))
		}
	}
	return capacity
}
