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

func hexDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// nullMetrics discards all metrics.
type nullMetrics struct{}

func (nullMetrics) TimeToFirstToken(string, string, time.Duration)  {}
func (nullMetrics) InterTokenLatency(string, string, time.Duration) {}
func (nullMetrics) Request(string, string, string, time.Duration)   {}
func (nullMetrics) Tokens(string, int)                              {}
func (nullMetrics) RecomputedTokens(string, int)                    {}
func (nullMetrics) PlatformCall(string)                             {}
func (nullMetrics) UpstreamsAge(time.Duration)                      {}
func (nullMetrics) Rollout(string, string, string)                  {}
func (nullMetrics) RolloutShare(string, float64)                    {}
func (nullMetrics) Count(string)                                    {}
func (nullMetrics) Gauge(string, float64)                           {}
func (nullMetrics) Handler() http.Handler                           { return http.NotFoundHandler() }

// entry is one entry host of a deployment.
type entry struct {
	name     string
	centre   string
	settings persimsettings.Settings
	host     *host
	// current is the running host. Goroutines that outlive its replacement read it.
	current atomic.Pointer[host]
	kill    context.CancelFunc
	ctx     context.Context
	done    chan struct{}
}

// deployment is a small system of entry hosts, upstreams and a platform that runs in
// virtual time.
type deployment struct {
	t               *testing.T
	net             *network
	platform        *persimstand.Platform
	engines         map[string]*persimstand.Engine
	services        map[string]*persimstand.Service
	upstreamCancels map[string]context.CancelFunc
	entries         []*entry
	metrics         persimmetric.Metrics
	ctx             context.Context
	cancel          context.CancelFunc
}

// deploymentConfig configures a deployment.
type deploymentConfig struct {
	hosts    int
	engines  int
	services int
	// salted makes the answer to a prompt differ between engines.
	salted bool
	// exports reports whether the engines can export their caches.
	exports     bool
	drainLag    time.Duration
	drainNotice time.Duration
	// listLag is the delay after which a started host appears in the platform's list.
	listLag time.Duration
	metrics persimmetric.Metrics
}

func defaultDeploymentConfig() deploymentConfig {
	return deploymentConfig{hosts: 3, engines: 3, services: 2, exports: true, drainLag: 2 * time.Second, drainNotice: 8 * time.Second, metrics: nullMetrics{}}
}

func centreAt(index int) string { return []string{"catania", "acireale", "siracusa"}[index%3] }

func newDeployment(t *testing.T, config deploymentConfig) *deployment {
	d := &deployment{
		t:               t,
		net:             newNetwork(),
		platform:        persimstand.NewPlatform(config.listLag),
		engines:         map[string]*persimstand.Engine{},
		services:        map[string]*persimstand.Service{},
		upstreamCancels: map[string]context.CancelFunc{},
		metrics:         config.metrics,
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.net.listen(d.ctx, platformAddress, d.platform.Handler())
	d.storeCatalogue()
	for i := range config.engines {
		d.addEngine(i, config)
	}
	for i := range config.services {
		d.addService(i)
	}
	for i := range config.hosts {
		d.addEntry(i, config)
	}
	return d
}

// close stops all processes and waits until their goroutines and timers have ended.
func (d *deployment) close() {
	d.cancel()
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
		{Name: "stock", Group: "banco", Profile: "short", AtMostOnceMethods: []string{"reserve"}},
	}
	for _, s := range services {
		catalogue, err = catalogue.WithService(s, persimprofile.Change{ID: s.Name})
		require.NoError(d.t, err)
	}
	value, err := persimprofile.Marshal(catalogue)
	require.NoError(d.t, err)
	_, ok := d.platform.PutIfCurrent(persimplatform.Object{Name: persimprofile.ObjectName, Value: value})
	require.True(d.t, ok)
}

func engineAddress(i int) string  { return fmt.Sprintf("10.0.1.%d:80", i+1) }
func serviceAddress(i int) string { return fmt.Sprintf("10.0.2.%d:80", i+1) }

func (d *deployment) addEngine(i int, config deploymentConfig) {
	engineConfig := persimstand.DefaultEngineConfig()
	engineConfig.TokenInterval = 20 * time.Millisecond
	engineConfig.ExportsCache = config.exports
	if config.salted {
		engineConfig.Salt = engineAddress(i)
	}
	engine := persimstand.NewEngine(engineConfig)
	address := engineAddress(i)
	d.engines[address] = engine
	d.registerUpstream(address, "oracolo", i, engine.Handler())
}

func (d *deployment) addService(i int) {
	service := persimstand.NewService("1", false)
	address := serviceAddress(i)
	d.services[address] = service
	d.registerUpstream(address, "banco", i, service.Handler())
}

func (d *deployment) registerUpstream(address, group string, index int, handler http.Handler) {
	ctx, cancel := context.WithCancel(d.ctx)
	d.upstreamCancels[address] = cancel
	d.net.listen(ctx, address, handler)
	d.platform.AddHost(persimplatform.Host{
		Name: address, Address: address, Incarnation: "1", Group: group, Centre: centreAt(index),
		State: persimplatform.HostLive,
	})
}

func (d *deployment) addEntry(i int, config deploymentConfig) *entry {
	duration := func(v time.Duration) persimduration.Duration { return persimduration.Duration(v) }
	settings := persimsettings.DefaultSettings()
	settings.Name = fmt.Sprintf("entry-%d", i)
	settings.Centre = centreAt(i)
	settings.Listen = persimsettings.Listen{
		Callers: fmt.Sprintf("10.1.0.%d:1", i+1), Peers: fmt.Sprintf("10.1.0.%d:2", i+1),
		Operators: fmt.Sprintf("10.1.0.%d:3", i+1),
	}
	settings.Peers = []string{"10.1.0.1:2", "10.1.0.2:2", "10.1.0.3:2"}
	settings.Drain = persimsettings.Drain{Lag: duration(config.drainLag), Notice: duration(config.drainNotice)}
	settings.Organisations = []persimsettings.Organisation{
		{Name: "consorzio", Digest: hexDigest(testToken)}, {Name: "apem", Digest: hexDigest(otherToken)},
	}
	settings.Operators = []persimsettings.Operator{{Name: "giulia", Digest: hexDigest(operatorToken)}}
	e := &entry{name: settings.Name, centre: settings.Centre, settings: settings}
	d.startEntry(e)
	d.entries = append(d.entries, e)
	return e
}

// startEntry starts the process of an entry host, or restarts it after it has ended.
func (d *deployment) startEntry(e *entry) {
	ctx, cancel := context.WithCancel(d.ctx)
	outbound := transport{network: d.net, from: e.settings.Listen.Peers, ctx: ctx}
	platform, _ := persimplatform.New("http://"+platformAddress, persimplatform.WithTransport(outbound))
	engine, _ := persimupstream.NewEngine(persimupstream.WithTransport(outbound))
	service, _ := persimupstream.NewService(persimupstream.WithTransport(outbound))
	built, cleanup, err := New(e.settings,
		WithLinks(memoryLinks{client: &http.Client{Transport: outbound}}),
		WithPlatform(platform), WithEngine(engine), WithService(service), WithMetrics(d.metrics))
	require.NoError(d.t, err)
	e.host = built.(*host)
	e.current.Store(e.host)
	e.ctx = ctx
	e.done = make(chan struct{})
	e.kill = func() {
		cancel()
		cleanup()
	}
	d.net.listen(ctx, e.settings.Listen.Callers, built.Callers())
	d.net.listen(ctx, e.settings.Listen.Peers, built.Peers())
	d.net.listen(ctx, e.settings.Listen.Operators, built.Operators())
	go func() {
		defer close(e.done)
		_ = built.Run(ctx)
		cancel()
		cleanup()
	}()
}

// waitReady waits until every running host is ready and knows all others.
func (d *deployment) waitReady() {
	require.True(d.t, d.waitUntil(20*time.Second, func() bool {
		for _, e := range d.entries {
			if e.ctx.Err() == nil && (!e.host.ready() || len(e.host.members.Hosts()) < len(d.entries)) {
				return false
			}
		}
		return true
	}), "hosts are ready")
}

// waitUntil waits until done returns true, and reports whether it did within limit.
func (d *deployment) waitUntil(limit time.Duration, done func() bool) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		if done() {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return done()
}

// callerClient returns a client of an entry host's API for callers.
func (d *deployment) callerClient(e *entry) persimwire.CallerServiceClient {
	return persimwire.NewCallerServiceClient(d.net.client(d.ctx, callerAddress), "http://"+e.settings.Listen.Callers)
}

func (d *deployment) operatorClient(e *entry) persimwire.OperatorServiceClient {
	return persimwire.NewOperatorServiceClient(d.net.client(d.ctx, callerAddress), "http://"+e.settings.Listen.Operators)
}

func withToken[T any](token string, message *T) *connect.Request[T] {
	req := connect.NewRequest(message)
	req.Header().Set("Authorization", "Bearer "+token)
	return req
}

// reclaimEntry gives notice of the reclaim of an entry host and kills it when the
// notice ends.
func (d *deployment) reclaimEntry(e *entry, notice time.Duration) {
	d.platform.Reclaim(e.settings.Listen.Callers, notice)
	go func() {
		time.Sleep(notice)
		e.kill()
	}()
}

// reclaimUpstream gives notice of the reclaim of an upstream and kills it when the
// notice ends.
func (d *deployment) reclaimUpstream(address string, notice time.Duration) {
	d.platform.Reclaim(address, notice)
	go func() {
		time.Sleep(notice)
		d.upstreamCancels[address]()
		d.platform.RemoveHost(address)
	}()
}

// runCount returns how often the services have run a key.
func (d *deployment) runCount(key string) int {
	count := 0
	for _, service := range d.services {
		for _, call := range service.ExecutedCalls() {
			if call.Key == key {
				count++
			}
		}
	}
	return count
}
