package persimfront

import "time"

// progressWindow is the time over which progress is averaged.
const progressWindow = time.Second

// progress measures how fast the input or the output of a phase of a request comes forward.
type progress struct {
	since time.Time
	at    time.Time
	// recent is the moving sum of bytes in progressWindow, as of at.
	recent float64
}

// restart begins the measurement of a phase.
func (p *progress) restart(now time.Time) { *p = progress{since: now, at: now} }

// add counts bytes that have come forward.
func (p *progress) add(now time.Time, bytes int) { p.recent, p.at = p.rate(now)+float64(bytes), now }

// rate returns the bytes per second in the last progressWindow.
func (p *progress) rate(now time.Time) float64 {
	return p.recent * max(0, 1-now.Sub(p.at).Seconds()/progressWindow.Seconds())
}

// age returns the time since the phase began.
func (p *progress) age(now time.Time) time.Duration { return now.Sub(p.since) }
