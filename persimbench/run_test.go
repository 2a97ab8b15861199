package persimbench

import (
	"testing"
	"time"
)

func TestSpeed(t *testing.T) {
	for _, d := range Deployments() {
		for _, long := range []float64{0, 0.3} {
			for _, hedge := range []float64{0, 0.02} {
				for _, p := range []PolicyName{PolicyBaseline, PolicyAdaptive, PolicyIdeal} {
					s := d.scenario(p, time.Minute)
					s.Mix.LongShare = long
					s.Profile.HedgeShare = hedge
					if long == 0 {
						s.Mix.StragglerShare = 0
					}
					r := Run(s)
					t.Log(d.Name, long, hedge, p, r.Offered, r.Done, r.Refusals, r.ShortFirst, r.LongFirst, r.Recomputed, r.Hedged)
				}
			}
		}
	}
}
