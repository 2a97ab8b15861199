package persimsoak

import (
	"net"
	"net/http"
	"sync"
	"time"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimstand"
	"persimmonport.example/platform"
)

const headerTimeout = 5 * time.Second

// A run is one time that an upstream began to work on a request.
type run struct {
	at           time.Time
	upstream     string
	path         string
	organisation string
	key          string
}

// runs are the runs of all upstreams by request.
type runs struct {
	mu sync.Mutex
	by map[string][]run
}

func (r *runs) add(id string, one run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.by[id] = append(r.by[id], one)
}

func (r *runs) of(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.by[id]...)
}

// An upstream is a back end behind a proxy that records what it runs.
type upstream struct {
	id    string
	proxy *proxy
	done  []func()
}

func newUpstream(id string, recorded *runs) (*upstream, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	back := persimstand.NewUpstream(id, func(request string, r *http.Request) {
		recorded.add(request, run{
			at: time.Now(), upstream: id, path: r.URL.Path,
			organisation: r.Header.Get(platform.HeaderOrganisation), key: r.Header.Get(platform.HeaderKey),
		})
	})
	server := &http.Server{Handler: back, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	proxy, closeProxy, err := newProxy(listener.Addr().String())
	return &upstream{id: id, proxy: proxy, done: []func(){closeProxy, func() { _ = server.Close() }}}, err
}

func (u *upstream) close() {
	for _, done := range u.done {
		done()
	}
}

func (u *upstream) entry(leaving bool) persimcatalog.Upstream {
	return persimcatalog.Upstream{
		Incarnation: persimcatalog.Incarnation{ID: u.id, Born: 1},
		Address:     u.proxy.address(),
		Service:     serviceName,
		Centre:      centreName,
		Slots:       persimstand.UpstreamSlots,
		Leaving:     leaving,
	}
}
