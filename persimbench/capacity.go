package persimbench

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"persimmonport.example/persimflight"
	"persimmonport.example/persimledger"
	"persimmonport.example/persimmember"
	"persimmonport.example/persimplatform"
	"persimmonport.example/persimprofile"
	"persimmonport.example/persimrouter"
	"persimmonport.example/persimwire"
)

// A Slope is a cost measured at several sizes and the line fitted to it.
type Slope struct {
	Name string
	// Unit is that of the cost, Per that of the size.
	Unit   string
	Per    string
	Sizes  []float64
	Costs  []float64
	Offset float64
	Rise   float64
	// Error is the root of the mean squared relative error of the fit.
	Error float64
}

// newSlope measures a cost at several sizes and fits a line to it.
func newSlope(name, unit, per string, sizes []int, cost func(size int) float64) Slope {
	s := Slope{Name: name, Unit: unit, Per: per}
	weights := make([]float64, len(sizes))
	for i, size := range sizes {
		s.Sizes = append(s.Sizes, float64(size))
		s.Costs = append(s.Costs, cost(size))
		weights[i] = 1 / max(1e-12, s.Costs[i]*s.Costs[i])
	}
	s.Offset, s.Rise = stat.LinearRegression(s.Sizes, s.Costs, weights, false)
	sum := 0.0
	for i := range sizes {
		sum += math.Pow((s.At(s.Sizes[i])-s.Costs[i])/max(1e-12, s.Costs[i]), 2)
	}
	s.Error = math.Sqrt(sum / float64(len(sizes)))
	return s
}

// At returns the fitted cost at a size.
func (s Slope) At(size float64) float64 { return s.Offset + s.Rise*size }

// String returns the slope as one line.
func (s Slope) String() string {
	points := make([]string, len(s.Sizes))
	for i := range s.Sizes {
		points[i] = fmt.Sprintf("%.0f:%.4g", s.Sizes[i], s.Costs[i])
	}
	return fmt.Sprintf("%-44s %.4g %s + %.4g %s per %s, error %.0f%% (%s)",
		s.Name, s.Offset, s.Unit, s.Rise, s.Unit, s.Per, 100*s.Error, strings.Join(points, " "))
}

// micros returns the processor time of one call in microseconds.
func micros(do func()) float64 {
	result := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			do()
		}
	})
	return float64(result.T.Nanoseconds()) / float64(result.N) / float64(time.Microsecond)
}

// bytesOf returns the memory that stays in use after a function.
func bytesOf(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	size := float64(after.HeapAlloc) - float64(before.HeapAlloc)
	runtime.KeepAlive(kept)
	return size
}

// Slopes measures every slope behind the capacity page.
func Slopes() []Slope {
	var slopes []Slope
	slopes = append(slopes, memberSlopes()...)
	slopes = append(slopes, linkSlope())
	slopes = append(slopes, routerSlopes()...)
	slopes = append(slopes, flightSlopes()...)
	slopes = append(slopes, ledgerSlopes()...)
	return append(slopes, catalogueSlopes()...)
}

func hostRow(i int) *persimwire.HostRow {
	return &persimwire.HostRow{
		Name: fmt.Sprintf("entry-%04d", i), Address: fmt.Sprintf("10.0.%d.%d:7101", i/250, i%250),
		CallerAddress: fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250), Centre: fmt.Sprintf("centre-%d", i%15),
		Incarnation: 1_700_000_000_000, State: persimwire.HostState_HOST_STATE_LIVE, Generation: 100, Ready: true,
	}
}

func upstreamRow(i int) *persimwire.UpstreamRow {
	return &persimwire.UpstreamRow{
		Address: fmt.Sprintf("10.8.%d.%d:8000", i/250, i%250), Incarnation: fmt.Sprintf("i-%08d", i),
		Group: "oracolo", Centre: fmt.Sprintf("centre-%d", i%15), State: persimwire.HostState_HOST_STATE_LIVE,
	}
}

// fullTable returns a table with hosts and as many upstreams as go with them.
func fullTable(hosts int) persimmember.Table {
	table := persimmember.New(hostRow(0))
	var delta persimmember.Delta
	for i := 1; i < hosts; i++ {
		delta.Hosts = append(delta.Hosts, hostRow(i))
	}
	for i := range hosts * upstreamsPerHost {
		delta.Upstreams = append(delta.Upstreams, upstreamRow(i))
	}
	table.Merge(delta, time.Now().Add(-time.Hour))
	return table
}

const upstreamsPerHost = 7

func memberSlopes() []Slope {
	sizes := []int{8, 64, 170, 340}
	return []Slope{
		newSlope("member: exchange without news, size", "bytes", "host", sizes, func(n int) float64 {
			return float64(exchangeSize(fullTable(n).Since(time.Now().Add(-time.Second))))
		}),
		newSlope("member: whole table, size", "bytes", "host", sizes, func(n int) float64 {
			return float64(exchangeSize(fullTable(n).Since(time.Time{})))
		}),
		newSlope("member: exchange without news, time", "us", "host", sizes, func(n int) float64 {
			table := fullTable(n)
			return micros(func() { table.Since(time.Now().Add(-time.Second)) })
		}),
		newSlope("member: list of the platform, time", "us", "host", sizes, func(n int) float64 {
			table := fullTable(n)
			list := make([]persimplatform.Host, n*upstreamsPerHost)
			for i := range list {
				row := upstreamRow(i)
				list[i] = persimplatform.Host{Address: row.GetAddress(), Incarnation: row.GetIncarnation(), Group: row.GetGroup()}
			}
			return micros(func() { table.MergeList(list, time.Now()) })
		}),
		newSlope("member: table, memory", "bytes", "host", sizes, func(n int) float64 {
			return bytesOf(func() any { return fullTable(n) })
		}),
	}
}

func exchangeSize(delta persimmember.Delta) int {
	return proto.Size(&persimwire.ExchangeRequest{
		From: "entry-0000", Hosts: delta.Hosts, Upstreams: delta.Upstreams, Generation: 100, Digest: delta.Digest,
	})
}

func fullRouter(upstreams int) persimrouter.Router {
	router := persimrouter.New(persimrouter.WithHost("entry-0"), persimrouter.WithSubset(1<<20),
		persimrouter.WithRandom(rand.New(rand.NewPCG(1, 1))))
	list := make([]persimrouter.Upstream, upstreams)
	for i := range list {
		list[i] = persimrouter.Upstream{Address: upstreamRow(i).GetAddress(), Incarnation: "1"}
	}
	router.SetUpstreams(list)
	return router
}

func routerSlopes() []Slope {
	sizes := []int{8, 64, 256, 512}
	now := time.Now()
	return []Slope{
		newSlope("router: choice of an upstream, time", "us", "upstream in use", sizes, func(n int) float64 {
			router := fullRouter(n)
			need := persimrouter.Need{Prefix: 7, Expected: time.Second, CostWeight: 1, WaitWeight: 1}
			return micros(func() { router.Choose(now, need) })
		}),
		newSlope("router: look for slow upstreams, time", "us", "upstream in use", sizes, func(n int) float64 {
			router := fullRouter(n)
			return micros(func() { router.Observe(now) })
		}),
		newSlope("router: memory", "bytes", "upstream in use", sizes, func(n int) float64 {
			return bytesOf(func() any { return fullRouter(n) })
		}),
	}
}

func newFlights(count, tokens int) (persimflight.Table, []*persimflight.Flight) {
	table := persimflight.New("entry-0", persimflight.WithLimit(1<<20))
	flights := make([]*persimflight.Flight, count)
	for i := range flights {
		f, _, err := table.Add(&persimwire.Flight{
			Id: fmt.Sprintf("entry-0.entry-1.%036d", i), Organisation: "consorzio", Service: "match",
			Prompt: strings.Repeat("p", 2000), Remaining: durationpb.New(time.Minute),
		}, "entry-1")
		if err != nil {
			panic(err)
		}
		f.Begin(1, "10.8.0.1:8000", "stream")
		for offset := range tokens {
			f.Append(1, offset, "token ")
		}
		flights[i] = f
	}
	return table, flights
}

func flightSlopes() []Slope {
	sizes := []int{16, 128, 512, 1024}
	return []Slope{
		newSlope("flight: memory, 300 tokens released", "bytes", "request", sizes, func(n int) float64 {
			return bytesOf(func() any {
				table, _ := newFlights(n, 300)
				return table
			})
		}),
		newSlope("replica: first copy, size", "bytes", "request", sizes, func(n int) float64 {
			table, _ := newFlights(n, 0)
			update := table.Collect("entry-1", time.Now())
			return float64(proto.Size(&persimwire.ReplicateRequest{Flights: update.Flights}))
		}),
		newSlope("replica: update of one token each, size", "bytes", "request", sizes, func(n int) float64 {
			return float64(proto.Size(progressOf(n)))
		}),
		newSlope("replica: update of one token each, time", "us", "request", sizes, func(n int) float64 {
			return replicateTime(n)
		}),
	}
}

// progressOf returns the message that carries one token of each request.
func progressOf(n int) *persimwire.ReplicateRequest {
	table, flights := newFlights(n, 0)
	update := table.Collect("entry-1", time.Now())
	table.Confirm(update, nil, "entry-1")
	for _, f := range flights {
		f.Append(1, 0, "token ")
	}
	update = table.Collect("entry-1", time.Now())
	return &persimwire.ReplicateRequest{Progress: update.Progress}
}

// replicateTime is the time in which owner and holder exchange one token of each
// request, both sides together, with the coding of the message.
func replicateTime(n int) float64 {
	owner, flights := newFlights(n, 0)
	holder := persimflight.New("entry-1", persimflight.WithLimit(1<<20))
	offset := 0
	return micros(func() {
		for _, f := range flights {
			f.Append(1, offset, "token ")
		}
		offset++
		update := owner.Collect("entry-1", time.Now())
		data, err := proto.Marshal(&persimwire.ReplicateRequest{Flights: update.Flights, Progress: update.Progress})
		if err != nil {
			panic(err)
		}
		var request persimwire.ReplicateRequest
		if err := proto.Unmarshal(data, &request); err != nil {
			panic(err)
		}
		rejections := holder.Absorb(&request, time.Now())
		owner.Confirm(update, rejections, "entry-1")
	})
}

// memoryStore is a store without faults.
type memoryStore struct {
	objects map[string]persimplatform.Object
	bytes   int
}

func (m *memoryStore) Get(_ context.Context, name string) (persimplatform.Object, error) {
	object, ok := m.objects[name]
	if !ok {
		return object, persimplatform.ErrNotFound
	}
	return object, nil
}

func (m *memoryStore) Put(_ context.Context, object persimplatform.Object) (persimplatform.Object, error) {
	object.Version++
	m.objects[object.Name] = object
	m.bytes = len(object.Value)
	return object, nil
}

func ledgerSlopes() []Slope {
	sizes := []int{64, 512, 2048, 4096}
	return []Slope{
		newSlope("ledger: slice, size", "bytes", "claim in it", sizes, func(n int) float64 {
			store, _, cleanup := fillLedger(n)
			defer cleanup()
			return float64(store.bytes)
		}),
		newSlope("ledger: one more claim alone in its write, time", "us", "claim in the slice", sizes, moreClaims),
	}
}

// moreClaims is the time of one claim, averaged over few so that the slice hardly grows.
func moreClaims(claims int) float64 {
	const more = 20
	_, ledger, cleanup := fillLedger(claims)
	defer cleanup()
	begin := time.Now()
	for serial := range uint64(more) {
		_, _ = ledger.Claim(context.Background(), benchClaim(1<<40+serial))
	}
	return float64(time.Since(begin).Microseconds()) / more
}

func benchClaim(serial uint64) persimledger.Claim {
	claim := persimledger.Claim{Issued: time.Now().Truncate(time.Hour), State: persimledger.StateClaimed}
	for i := range 8 {
		claim.Key[2+i] = byte(serial >> (8 * i))
	}
	return claim.WithClaimant(serial+1, "entry-0.entry-1.0191a8d0-0000-7000-8000-000000000000")
}

// fillLedger returns a ledger of one slice with some claims.
func fillLedger(claims int) (*memoryStore, persimledger.Ledger, func()) {
	store := &memoryStore{objects: map[string]persimplatform.Object{}}
	ledger, cleanup := persimledger.New(store, persimledger.WithSlices(1), persimledger.WithSpan(time.Hour))
	for i := range claims {
		_, _ = ledger.Claim(context.Background(), benchClaim(uint64(i)))
	}
	return store, ledger, cleanup
}

func catalogueSlopes() []Slope {
	sizes := []int{4, 32, 128, 400}
	return []Slope{
		newSlope("catalogue: size with all changes", "bytes", "profile", sizes, func(n int) float64 {
			value, err := persimprofile.Marshal(fullCatalogue(n))
			if err != nil {
				panic(err)
			}
			return float64(len(value))
		}),
		newSlope("catalogue: reading, time", "us", "profile", sizes, func(n int) float64 {
			value, err := persimprofile.Marshal(fullCatalogue(n))
			if err != nil {
				panic(err)
			}
			return micros(func() { _, _ = persimprofile.Unmarshal(value) })
		}),
	}
}

// fullCatalogue returns a catalogue with profiles and the most changes.
func fullCatalogue(profiles int) persimprofile.Catalogue {
	catalogue := persimprofile.NewCatalogue(0, nil, nil, nil)
	for i := range max(profiles, persimprofile.MaxChanges) {
		profile := persimprofile.DefaultProfile().WithName(fmt.Sprintf("profile-%d", i%profiles)).
			WithPatience(time.Duration(1+i) * time.Second)
		next, err := catalogue.WithProfile(profile, persimprofile.Change{ID: fmt.Sprintf("%036d", i), Operator: "giulia", Time: time.Now()})
		if err != nil {
			panic(err)
		}
		catalogue = next
	}
	return catalogue
}
