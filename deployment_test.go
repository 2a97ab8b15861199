package persimmonport

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"persimmonport.example/persimduration"
	"persimmonport.example/persimmetric"
	"persimmonport.example/persimplatform"
	"persimmonport.example/persimprofile"
	"persimmonport.example/persimsettings"
	"persimmonport.example/persimstand"
	"persimmonport.example/persimupstream"
	"persimmonport.example/persimwire"
)

const (
	platformAddress = "10.0.0.1:80"
	callerAddress   = "10.9.9.9:1"
	testToken       = "token-of-consorzio"
	otherToken      = "token-of-apem"
	operatorToken   = "token-of-giulia"
)

func digestOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// nullMetrics drops all figures.
type nullMetrics struct{}

func (nullMetrics) FirstToken(string, string, time.Duration)      {}
func (nullMetrics) Gap(string, string, time.Duration)             {}
func (nullMetrics) Request(string, string, string, time.Duration) {}
func (nullMetrics) Tokens(string, int)                            {}
func (nullMetrics) Recomputed(string, int)                        {}
func (nullMetrics) Count(string)                                  {}
func (nullMetrics) Gauge(string, float64)                         {}
func (nullMetrics) Handler() http.Handler                         { return http.NotFoundHandler() }

// entry is one entry host of a test.
type entry struct {
	name     string
	centre   string
	settings persimsettings.Settings
	host     *host
	// running is the host for goroutines that outlive a replacement.
	running atomic.Pointer[host]
	kill    context.CancelFunc
	alive   context.Context
	done    chan struct{}
}

// deployment is a whole small system in virtual time.
type deployment struct {
	t        *testing.T
	net      *network
	platform *persimstand.Platform
	engines  map[string]*persimstand.Engine
	services map[string]*persimstand.Service
	kills    map[string]context.CancelFunc
	entries  []*entry
	metrics  persimmetric.Metrics
	root     context.Context
	stop     context.CancelFunc
}

// shape says what a deployment consists of.
type shape struct {
	hosts       int
	engines     int
	services    int
	salted      bool
	exports     bool
	drainLag    time.Duration
	drainNotice time.Duration
	listLag     time.Duration
	metrics     persimmetric.Metrics
}

func defaultShape() shape {
	return shape{hosts: 3, engines: 3, services: 2, exports: true, drainLag: 2 * time.Second, drainNotice: 8 * time.Second, metrics: nullMetrics{}}
}

func centreOf(index int) string { return []string{"catania", "acireale", "siracusa"}[index%3] }

func newDeployment(t *testing.T, s shape) *deployment {
	d := &deployment{
		t:        t,
		net:      newNetwork(),
		platform: persimstand.NewPlatform(s.listLag),
		engines:  map[string]*persimstand.Engine{},
		services: map[string]*persimstand.Service{},
		kills:    map[string]context.CancelFunc{},
		metrics:  s.metrics,
	}
	d.root, d.stop = context.WithCancel(context.Background())
	d.net.listen(d.root, platformAddress, d.platform.Handler())
	d.storeCatalogue()
	for i := range s.engines {
		d.addEngine(i, s)
	}
	for i := range s.services {
		d.addService(i)
	}
	for i := range s.hosts {
		d.addEntry(i, s)
	}
	return d
}

// close ends all processes and waits for what they have started.
func (d *deployment) close() {
	d.stop()
	for _, e := range d.entries {
		e.kill()
		<-e.done
	}
	time.Sleep(time.Minute)
}

func (d *deployment) storeCatalogue() {
	catalogue := persimprofile.NewCatalogue(0, nil, nil, nil)
	profiles := []persimprofile.Profile{
		persimprofile.DefaultProfile().WithName("long").WithPatience(2*time.Minute).WithWeights(4, 1),
		persimprofile.DefaultProfile().WithName("short").WithPatience(20*time.Second).WithWeights(1, 4),
	}
	profiles[0].Class = persimprofile.ClassLong
	var err error
	for _, p := range profiles {
		catalogue, err = catalogue.WithProfile(p, persimprofile.Change{ID: p.Name})
		require.NoError(d.t, err)
	}
	services := []persimprofile.Service{
		{Name: "match", Group: "oracolo", Profile: "long"},
		{Name: "stock", Group: "banco", Profile: "short", Once: []string{"reserve"}},
	}
	for _, s := range services {
		catalogue, err = catalogue.WithService(s, persimprofile.Change{ID: s.Name})
		require.NoError(d.t, err)
	}
	value, err := persimprofile.Marshal(catalogue)
	require.NoError(d.t, err)
	_, ok := d.platform.Store(persimplatform.Object{Name: persimprofile.ObjectName, Value: value})
	require.True(d.t, ok)
}

func engineAddress(i int) string  { return fmt.Sprintf("10.0.1.%d:80", i+1) }
func serviceAddress(i int) string { return fmt.Sprintf("10.0.2.%d:80", i+1) }

func (d *deployment) addEngine(i int, s shape) {
	config := persimstand.DefaultEngineConfig()
	config.Gap = 20 * time.Millisecond
	config.Exports = s.exports
	if s.salted {
		config.Salt = engineAddress(i)
	}
	engine := persimstand.NewEngine(config)
	address := engineAddress(i)
	d.engines[address] = engine
	d.listUpstream(address, "oracolo", i, engine.Handler())
}

func (d *deployment) addService(i int) {
	service := persimstand.NewService("1", false)
	address := serviceAddress(i)
	d.services[address] = service
	d.listUpstream(address, "banco", i, service.Handler())
}

func (d *deployment) listUpstream(address, group string, index int, handler http.Handler) {
	alive, kill := context.WithCancel(d.root)
	d.kills[address] = kill
	d.net.listen(alive, address, handler)
	d.platform.AddHost(persimplatform.Host{
		Name: address, Address: address, Incarnation: "1", Group: group, Centre: centreOf(index),
		State: persimplatform.HostLive,
	})
}

func (d *deployment) addEntry(i int, s shape) *entry {
	span := func(v time.Duration) persimduration.Duration { return persimduration.Duration(v) }
	settings := persimsettings.DefaultSettings()
	settings.Name = fmt.Sprintf("entry-%d", i)
	settings.Centre = centreOf(i)
	settings.Listen = persimsettings.Listen{
		Callers: fmt.Sprintf("10.1.0.%d:1", i+1), Peers: fmt.Sprintf("10.1.0.%d:2", i+1),
		Operators: fmt.Sprintf("10.1.0.%d:3", i+1),
	}
	settings.Peers = []string{"10.1.0.1:2", "10.1.0.2:2", "10.1.0.3:2"}
	settings.Drain = persimsettings.Drain{Lag: span(s.drainLag), Notice: span(s.drainNotice)}
	settings.Organisations = []persimsettings.Organisation{
		{Name: "consorzio", Digest: digestOf(testToken)}, {Name: "apem", Digest: digestOf(otherToken)},
	}
	settings.Operators = []persimsettings.Operator{{Name: "giulia", Digest: digestOf(operatorToken)}}
	e := &entry{name: settings.Name, centre: settings.Centre, settings: settings}
	d.startEntry(e)
	d.entries = append(d.entries, e)
	return e
}

// startEntry starts the process of an entry host, or a new one after the end of the last.
func (d *deployment) startEntry(e *entry) {
	alive, kill := context.WithCancel(d.root)
	outbound := transport{network: d.net, from: e.settings.Listen.Peers, alive: alive}
	platform, _ := persimplatform.New("http://"+platformAddress, persimplatform.WithTransport(outbound))
	engine, _ := persimupstream.NewEngine(persimupstream.WithTransport(outbound))
	service, _ := persimupstream.NewService(persimupstream.WithTransport(outbound))
	built, cleanup, err := New(e.settings,
		WithLinks(memoryLinks{client: &http.Client{Transport: outbound}}),
		WithPlatform(platform), WithEngine(engine), WithService(service), WithMetrics(d.metrics))
	require.NoError(d.t, err)
	e.host = built.(*host)
	e.running.Store(e.host)
	e.alive = alive
	e.done = make(chan struct{})
	e.kill = func() {
		kill()
		cleanup()
	}
	d.net.listen(alive, e.settings.Listen.Callers, built.Callers())
	d.net.listen(alive, e.settings.Listen.Peers, built.Peers())
	d.net.listen(alive, e.settings.Listen.Operators, built.Operators())
	go func() {
		defer close(e.done)
		_ = built.Run(alive)
		kill()
		cleanup()
	}()
}

// awaitReady waits until every living host is ready and knows all others.
func (d *deployment) awaitReady() {
	require.True(d.t, d.await(20*time.Second, func() bool {
		for _, e := range d.entries {
			if e.alive.Err() == nil && (!e.host.ready() || len(e.host.members.Hosts()) < len(d.entries)) {
				return false
			}
		}
		return true
	}), "hosts are ready")
}

func (d *deployment) await(limit time.Duration, done func() bool) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		if done() {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return done()
}

// client returns a caller's client of an entry host.
func (d *deployment) client(e *entry) persimwire.CallerServiceClient {
	return persimwire.NewCallerServiceClient(d.net.client(d.root, callerAddress), "http://"+e.settings.Listen.Callers)
}

func (d *deployment) operator(e *entry) persimwire.OperatorServiceClient {
	return persimwire.NewOperatorServiceClient(d.net.client(d.root, callerAddress), "http://"+e.settings.Listen.Operators)
}

func withToken[T any](token string, message *T) *connect.Request[T] {
	req := connect.NewRequest(message)
	req.Header().Set("Authorization", "Bearer "+token)
	return req
}

// reclaimEntry announces the reclaim of an entry host and ends it when the notice runs out.
func (d *deployment) reclaimEntry(e *entry, after time.Duration) {
	d.platform.Reclaim(e.settings.Listen.Callers, after)
	go func() {
		time.Sleep(after)
		e.kill()
	}()
}

// reclaimUpstream announces the reclaim of an upstream and ends it when the notice runs out.
func (d *deployment) reclaimUpstream(address string, after time.Duration) {
	d.platform.Reclaim(address, after)
	go func() {
		time.Sleep(after)
		d.kills[address]()
		d.platform.RemoveHost(address)
	}()
}

// runs counts how often the services have run a key.
func (d *deployment) runs(key string) int {
	count := 0
	for _, service := range d.services {
		for _, run := range service.Runs() {
			if run.Key == key {
				count++
			}
		}
	}
	return count
}
