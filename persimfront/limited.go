package persimfront

import (
	"k8s.io/klog/v2"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimplace"
)

// reportLimited logs the upstreams whose learned capacity has become lower than that of the
// others, or no longer is, and sets the gauge of their number.
func (f *front) reportLimited() {
	f.mu.Lock()
	var begun []persimplace.LimitedUpstream
	limited := map[persimcatalog.Incarnation]bool{}
	for _, placer := range f.dispatcher.placers {
		for _, upstream := range placer.Limited() {
			limited[upstream.Upstream] = true
			if !f.dispatcher.limited[upstream.Upstream] {
				begun = append(begun, upstream)
			}
		}
	}
	var ended []persimcatalog.Incarnation
	for upstream := range f.dispatcher.limited {
		if !limited[upstream] {
			ended = append(ended, upstream)
		}
	}
	f.dispatcher.limited = limited
	f.mu.Unlock()
	for _, upstream := range begun {
		klog.InfoS("upstream has less capacity", "upstream", upstream.Upstream.ID, "born", upstream.Upstream.Born,
			"slots", upstream.Slots, "slowdown", upstream.Slowdown)
	}
	for _, upstream := range ended {
		klog.InfoS("upstream has its capacity again", "upstream", upstream.ID, "born", upstream.Born)
	}
	if f.metrics != nil {
		f.metrics.Gauge("upstreams_slow", float64(len(limited)))
	}
}
