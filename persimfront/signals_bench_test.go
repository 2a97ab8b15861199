package persimfront

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimplace"
	"persimmonport.example/persimpressure"
)

// BenchmarkChoose measures what it adds to the choice of an upstream that some of 300 ask for
// something.
func BenchmarkChoose(b *testing.B) {
	const count = 300
	var upstreams []persimcatalog.Upstream
	var incarnations []persimcatalog.Incarnation
	for i := range count {
		incarnation := persimcatalog.Incarnation{ID: fmt.Sprint("u", i), Born: 1}
		incarnations = append(incarnations, incarnation)
		upstreams = append(upstreams, persimcatalog.Upstream{Incarnation: incarnation, Slots: 16})
	}
	request := persimplace.Request{Tokens: 12_000, Parts: []persimplace.Part{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 5_000}, {ID: 3, Tokens: 6_500}}}
	benchmarks := []struct {
		name          string
		gated         bool
		hosts, asking int
	}{
		{name: "no gate"},
		{name: "none of 300 asks, 7 hosts", gated: true, hosts: 7},
		{name: "30 of 300 ask, 7 hosts", gated: true, hosts: 7, asking: 30},
		{name: "30 of 300 ask, 295 hosts", gated: true, hosts: 295, asking: 30},
	}
	for _, bb := range benchmarks {
		b.Run(bb.name, func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			pressure := persimpressure.New()
			var others []string
			for i := 1; i < bb.hosts; i++ {
				others = append(others, fmt.Sprint("host-", i))
			}
			pressure.SetHosts(now, "host-0", others)
			pressure.SetUpstreams(now, incarnations)
			for _, incarnation := range incarnations[:bb.asking] {
				pressure.Record(now, now, incarnation, persimpressure.Signals{LimitState: persimpressure.LimitNamed, Limit: 1})
			}
			options := []persimplace.Option{persimplace.WithRandom(rand.New(rand.NewPCG(1, 1)))}
			if bb.gated {
				options = append(options, persimplace.WithGate(pressure))
			}
			placer := persimplace.New(options...)
			placer.SetUpstreams(upstreams)
			b.ResetTimer()
			for range b.N {
				placer.Choose(now, request)
			}
		})
	}
}
