package persimsoak

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimstand"
	"persimmonport.example/platform"
)

const (
	headerTimeout = 5 * time.Second
	// A call other than a stream takes slowRunTime longer at its upstream if its
	// identifier ends with slowSuffix.
	slowSuffix  = "7"
	slowRunTime = 300 * time.Millisecond
)

// execution records that an upstream started to process a request.
type execution struct {
	at           time.Time
	upstream     string
	path         string
	organisation string
	key          string
	// finished is when the upstream had written its whole response, or gave up; zero before.
	finished time.Time
}

// executionLog holds the executions of all upstreams by request identifier.
type executionLog struct {
	mu        sync.Mutex
	byRequest map[string][]execution
}

func (l *executionLog) record(id string, e execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byRequest[id] = append(l.byRequest[id], e)
}

// finish records that an upstream is done with a request.
func (l *executionLog) finish(id, upstream string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, e := range l.byRequest[id] {
		if e.upstream == upstream {
			l.byRequest[id][i].finished = at
		}
	}
}

func (l *executionLog) forRequest(id string) []execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]execution(nil), l.byRequest[id]...)
}

// upstream runs a stand-in behind a proxy that injects link faults. It records its
// executions.
type upstream struct {
	id      string
	version string
	stand   *persimstand.Upstream
	proxy   *proxy
	// misleads is set while the upstream misleads hosts.
	misleads atomic.Bool
	cleanups []func()
}

// newUpstream starts an upstream. It calls onRun when it has recorded an execution and is
// about to answer it.
func newUpstream(id string, executions *executionLog, arrivals *arrivalLog, rollout *rollout, onRun func(*upstream, *http.Request)) (*upstream, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	started := &upstream{id: id, version: rollout.version(id)}
	record := func(request string, r *http.Request) {
		executions.record(request, execution{
			at: time.Now(), upstream: id, path: r.RequestURI,
			organisation: r.Header.Get(platform.HeaderOrganisation), key: r.Header.Get(platform.HeaderAPIKey),
		})
	}
	handler := persimstand.NewUpstream(id, func(request string, r *http.Request) {
		record(request, r)
		onRun(started, r)
		if strings.HasSuffix(request, slowSuffix) && !strings.HasPrefix(r.URL.Path, persimstand.StreamPath) {
			time.Sleep(slowRunTime)
		}
	})
	started.stand = handler
	recorded := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := r.Header.Get(platform.HeaderRequestID)
		arrivals.record(id, request)
		respond, misled := misleading(id, request)
		switch {
		case rollout.fails(id, request):
			record(request, r)
			respondFailure(w, id, request)
		case misled && started.misleads.Load():
			record(request, r)
			respond(w, r)
		default:
			handler.ServeHTTP(w, r)
		}
		executions.finish(request, id, time.Now())
	})
	server := &http.Server{Handler: recorded, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	proxy, closeProxy, err := newProxy(listener.Addr().String())
	started.proxy, started.cleanups = proxy, []func(){closeProxy, func() { _ = server.Close() }}
	return started, err
}

func (u *upstream) close() {
	for _, cleanup := range u.cleanups {
		cleanup()
	}
}

func (u *upstream) catalogueEntry(leaving bool) persimcatalog.Upstream {
	return persimcatalog.Upstream{
		Incarnation: persimcatalog.Incarnation{ID: u.id, Born: 1},
		Address:     u.proxy.address(),
		Service:     serviceName,
		Centre:      centreName,
		Slots:       persimstand.UpstreamSlots,
		Leaving:     leaving,
		Version:     u.version,
	}
}
