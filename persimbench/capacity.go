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

// CostModel is a cost measured at several sizes and the line fitted to it.
type CostModel struct {
	Name string
	// CostUnit and SizeUnit are the units of Costs and Sizes.
	CostUnit  string
	SizeUnit  string
	Sizes     []float64
	Costs     []float64
	Intercept float64
	Slope     float64
	// RelativeError is the root mean square of the relative errors of the fit.
	RelativeError float64
}

// fitCostModel measures a cost at several sizes and fits a line to it. Each point is
// weighted with the inverse square of its cost, which minimises the relative error.
func fitCostModel(name, costUnit, sizeUnit string, sizes []int, measure func(size int) float64) CostModel {
	m := CostModel{Name: name, CostUnit: costUnit, SizeUnit: sizeUnit}
	weights := make([]float64, len(sizes))
	for i, size := range sizes {
		m.Sizes = append(m.Sizes, float64(size))
		m.Costs = append(m.Costs, measure(size))
		weights[i] = 1 / max(1e-12, m.Costs[i]*m.Costs[i])
	}
	m.Intercept, m.Slope = stat.LinearRegression(m.Sizes, m.Costs, weights, false)
	squaredErrors := 0.0
	for i := range sizes {
		squaredErrors += math.Pow((m.Predict(m.Sizes[i])-m.Costs[i])/max(1e-12, m.Costs[i]), 2)
	}
	m.RelativeError = math.Sqrt(squaredErrors / float64(len(sizes)))
	return m
}

// Predict returns the fitted cost at a size.
func (m CostModel) Predict(size float64) float64 { return m.Intercept + m.Slope*size }

// String returns the model and its points as one line of text.
func (m CostModel) String() string {
	points := make([]string, len(m.Sizes))
	for i := range m.Sizes {
		points[i] = fmt.Sprintf("%.0f:%.4g", m.Sizes[i], m.Costs[i])
	}
	return fmt.Sprintf("%-44s %.4g %s + %.4g %s per %s, error %.0f%% (%s)",
		m.Name, m.Intercept, m.CostUnit, m.Slope, m.CostUnit, m.SizeUnit, 100*m.RelativeError, strings.Join(points, " "))
}

// microsPerCall returns the mean time of one call in microseconds.
func microsPerCall(call func()) float64 {
	result := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			call()
		}
	})
	return float64(result.T.Nanoseconds()) / float64(result.N) / float64(time.Microsecond)
}

// retainedBytes returns the heap memory that the result of build keeps in use.
func retainedBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	retained := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	size := float64(after.HeapAlloc) - float64(before.HeapAlloc)
	runtime.KeepAlive(retained)
	return size
}

// CostModels measures every cost model behind the capacity page.
func CostModels() []CostModel {
	var models []CostModel
	models = append(models, memberCostModels()...)
	models = append(models, linkCostModel())
	models = append(models, routerCostModels()...)
	models = append(models, flightCostModels()...)
	models = append(models, ledgerCostModels()...)
	return append(models, catalogueCostModels()...)
}

// hostRow returns the member table row of entry host i.
func hostRow(i int) *persimwire.HostRow {
	return &persimwire.HostRow{
		Name: fmt.Sprintf("entry-%04d", i), Address: fmt.Sprintf("10.0.%d.%d:7101", i/250, i%250),
		CallerAddress: fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250), Centre: fmt.Sprintf("centre-%d", i%15),
		Incarnation: 1_700_000_000_000, State: persimwire.HostState_HOST_STATE_LIVE, Generation: 100, Ready: true,
	}
}

// upstreamRow returns the member table row of upstream i.
func upstreamRow(i int) *persimwire.UpstreamRow {
	return &persimwire.UpstreamRow{
		Address: fmt.Sprintf("10.8.%d.%d:8000", i/250, i%250), Incarnation: fmt.Sprintf("i-%08d", i),
		Group: "oracolo", Centre: fmt.Sprintf("centre-%d", i%15), State: persimwire.HostState_HOST_STATE_LIVE,
	}
}

// newMemberTable returns a table with the given number of entry hosts and with
// upstreamsPerHost upstreams for each.
func newMemberTable(hosts int) persimmember.Table {
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

// upstreamsPerHost is the number of upstreams in a table for each entry host.
const upstreamsPerHost = 7

func memberCostModels() []CostModel {
	sizes := []int{8, 64, 170, 340}
	return []CostModel{
		fitCostModel("member: exchange without news, size", "bytes", "host", sizes, func(n int) float64 {
			return float64(exchangeRequestSize(newMemberTable(n).ChangedSince(time.Now().Add(-time.Second))))
		}),
		fitCostModel("member: whole table, size", "bytes", "host", sizes, func(n int) float64 {
			return float64(exchangeRequestSize(newMemberTable(n).ChangedSince(time.Time{})))
		}),
		fitCostModel("member: exchange without news, time", "us", "host", sizes, func(n int) float64 {
			table := newMemberTable(n)
			return microsPerCall(func() { table.ChangedSince(time.Now().Add(-time.Second)) })
		}),
		fitCostModel("member: list of the platform, time", "us", "host", sizes, func(n int) float64 {
			table := newMemberTable(n)
			hosts := make([]persimplatform.Host, n*upstreamsPerHost)
			for i := range hosts {
				row := upstreamRow(i)
				hosts[i] = persimplatform.Host{Address: row.GetAddress(), Incarnation: row.GetIncarnation(), Group: row.GetGroup()}
			}
			return microsPerCall(func() { table.MergePlatformHosts(hosts, time.Now()) })
		}),
		fitCostModel("member: table, memory", "bytes", "host", sizes, func(n int) float64 {
			return retainedBytes(func() any { return newMemberTable(n) })
		}),
	}
}

// exchangeRequestSize returns the encoded size of an exchange request.
func exchangeRequestSize(delta persimmember.Delta) int {
	return proto.Size(&persimwire.ExchangeRequest{
		From: "entry-0000", Hosts: delta.Hosts, Upstreams: delta.Upstreams, Generation: 100, Digest: delta.Digest,
	})
}

// newRouter returns a router whose subset has room for all its upstreams.
func newRouter(count int) persimrouter.Router {
	router := persimrouter.New(persimrouter.WithHost("entry-0"), persimrouter.WithSubsetSize(1<<20),
		persimrouter.WithRandom(rand.New(rand.NewPCG(1, 1))))
	upstreams := make([]persimrouter.Upstream, count)
	for i := range upstreams {
		upstreams[i] = persimrouter.Upstream{Address: upstreamRow(i).GetAddress(), Incarnation: "1"}
	}
	router.SetUpstreams(upstreams)
	return router
}

func routerCostModels() []CostModel {
	sizes := []int{8, 64, 256, 512}
	now := time.Now()
	return []CostModel{
		fitCostModel("router: choice of an upstream, time", "us", "upstream in use", sizes, func(n int) float64 {
			router := newRouter(n)
			spec := persimrouter.AttemptSpec{Prefix: 7, Expected: time.Second, CostWeight: 1, WaitWeight: 1}
			return microsPerCall(func() { router.Choose(now, spec) })
		}),
		fitCostModel("router: look for slow upstreams, time", "us", "upstream in use", sizes, func(n int) float64 {
			router := newRouter(n)
			return microsPerCall(func() { router.UpdateEjections(now) })
		}),
		fitCostModel("router: memory", "bytes", "upstream in use", sizes, func(n int) float64 {
			return retainedBytes(func() any { return newRouter(n) })
		}),
	}
}

// newFlightTable returns a table of requests that have each released some tokens.
func newFlightTable(count, tokens int) (persimflight.Table, []*persimflight.Flight) {
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
		f.BeginAttempt(1, "10.8.0.1:8000", "stream")
		for offset := range tokens {
			f.Append(1, offset, "token ")
		}
		flights[i] = f
	}
	return table, flights
}

func flightCostModels() []CostModel {
	sizes := []int{16, 128, 512, 1024}
	return []CostModel{
		fitCostModel("flight: memory, 300 tokens released", "bytes", "request", sizes, func(n int) float64 {
			return retainedBytes(func() any {
				table, _ := newFlightTable(n, 300)
				return table
			})
		}),
		fitCostModel("replica: first copy, size", "bytes", "request", sizes, func(n int) float64 {
			table, _ := newFlightTable(n, 0)
			update := table.Collect("entry-1", time.Now())
			return float64(proto.Size(&persimwire.ReplicateRequest{Flights: update.Flights}))
		}),
		fitCostModel("replica: update of one token each, size", "bytes", "request", sizes, func(n int) float64 {
			return float64(proto.Size(newProgressUpdate(n)))
		}),
		fitCostModel("replica: update of one token each, time", "us", "request", sizes, func(n int) float64 {
			return replicationMicros(n)
		}),
	}
}

// newProgressUpdate returns a replication message with one new token of each request.
func newProgressUpdate(requests int) *persimwire.ReplicateRequest {
	table, flights := newFlightTable(requests, 0)
	update := table.Collect("entry-1", time.Now())
	table.Confirm(update, nil, "entry-1")
	for _, f := range flights {
		f.Append(1, 0, "token ")
	}
	update = table.Collect("entry-1", time.Now())
	return &persimwire.ReplicateRequest{Progress: update.Progress}
}

// replicationMicros returns the time to replicate one token of each request from the
// owner to the replica holder: the work of both sides, with the encoding and decoding
// of the message.
func replicationMicros(requests int) float64 {
	owner, flights := newFlightTable(requests, 0)
	holder := persimflight.New("entry-1", persimflight.WithLimit(1<<20))
	offset := 0
	return microsPerCall(func() {
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
		rejections := holder.ApplyUpdate(&request, time.Now())
		owner.Confirm(update, rejections, "entry-1")
	})
}

// memoryStore is an in-memory object store without faults.
type memoryStore struct {
	objects map[string]persimplatform.Object
	// lastValueBytes is the size of the value written last.
	lastValueBytes int
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
	m.lastValueBytes = len(object.Value)
	return object, nil
}

func ledgerCostModels() []CostModel {
	sizes := []int{64, 512, 2048, 4096}
	return []CostModel{
		fitCostModel("ledger: slice, size", "bytes", "claim in it", sizes, func(n int) float64 {
			store, _, cleanup := newLedger(n)
			defer cleanup()
			return float64(store.lastValueBytes)
		}),
		fitCostModel("ledger: one more claim alone in its write, time", "us", "claim in the slice", sizes, claimMicros),
	}
}

// claimMicros returns the mean time of one more claim in a slice of the given number of
// claims. It averages over few claims so that the slice hardly grows.
func claimMicros(claims int) float64 {
	const added = 20
	_, ledger, cleanup := newLedger(claims)
	defer cleanup()
	start := time.Now()
	for serial := range uint64(added) {
		_, _ = ledger.Claim(context.Background(), newClaim(1<<40+serial))
	}
	return float64(time.Since(start).Microseconds()) / added
}

// newClaim returns a claim whose key is derived from its serial number.
func newClaim(serial uint64) persimledger.Claim {
	claim := persimledger.Claim{Issued: time.Now().Truncate(time.Hour), State: persimledger.StateClaimed}
	for i := range 8 {
		claim.Key[2+i] = byte(serial >> (8 * i))
	}
	return claim.WithClaimant(serial+1, "entry-0.entry-1.0191a8d0-0000-7000-8000-000000000000")
}

// newLedger returns a ledger with a single slice that holds the given number of claims.
func newLedger(claims int) (*memoryStore, persimledger.Ledger, func()) {
	store := &memoryStore{objects: map[string]persimplatform.Object{}}
	ledger, cleanup := persimledger.New(store, persimledger.WithSlices(1), persimledger.WithSliceSpan(time.Hour))
	for i := range claims {
		_, _ = ledger.Claim(context.Background(), newClaim(uint64(i)))
	}
	return store, ledger, cleanup
}

func catalogueCostModels() []CostModel {
	sizes := []int{4, 32, 128, 400}
	return []CostModel{
		fitCostModel("catalogue: size with all changes", "bytes", "profile", sizes, func(n int) float64 {
			value, err := persimprofile.Marshal(newCatalogue(n))
			if err != nil {
				panic(err)
			}
			return float64(len(value))
		}),
		fitCostModel("catalogue: reading, time", "us", "profile", sizes, func(n int) float64 {
			value, err := persimprofile.Marshal(newCatalogue(n))
			if err != nil {
				panic(err)
			}
			return microsPerCall(func() { _, _ = persimprofile.Unmarshal(value) })
		}),
	}
}

// newCatalogue returns a catalogue with the given number of profiles and a full change
// history.
func newCatalogue(profiles int) persimprofile.Catalogue {
	catalogue := persimprofile.NewCatalogue(0, nil, nil, nil)
	for i := range max(profiles, persimprofile.MaxChanges) {
		profile := persimprofile.DefaultProfile().WithName(fmt.Sprintf("profile-%d", i%profiles)).
			WithPatience(time.Duration(1+i) * time.Second)
		updated, err := catalogue.WithProfile(profile, persimprofile.Change{ID: fmt.Sprintf("%036d", i), Operator: "giulia", Time: time.Now()})
		if err != nil {
			panic(err)
		}
		catalogue = updated
	}
	return catalogue
}
