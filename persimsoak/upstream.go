package persimsoak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/platform"
)

const (
	upstreamSlots = 16
	workTime      = 15 * time.Millisecond
	streamEvents  = 12
	streamGap     = 25 * time.Millisecond
	headerTimeout = 5 * time.Second
)

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

// An upstream is a back end that records what it runs.
type upstream struct {
	id     string
	runs   *runs
	proxy  *proxy
	server *http.Server
	slots  chan struct{}
	done   []func()
}

func newUpstream(id string, recorded *runs) (*upstream, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{id: id, runs: recorded, slots: make(chan struct{}, upstreamSlots)}
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: headerTimeout}
	go func() { _ = u.server.Serve(listener) }()
	proxy, closeProxy, err := newProxy(listener.Addr().String())
	u.proxy = proxy
	u.done = []func(){closeProxy, func() { _ = u.server.Close() }}
	return u, err
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
		Slots:       upstreamSlots,
		Leaving:     leaving,
	}
}

// signature is what an upstream writes under its answer to a request.
func signature(upstream, id string) string { return upstream + "." + id }

// answerTo is the whole answer of an upstream to a request that is no stream.
func answerTo(path string, body []byte) string {
	return fmt.Sprintf("%s %016x", path, xxhash.Sum64(body))
}

// event is one event of a stream.
func event(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", number, id, number)
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platform.HeaderRequestID)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(platform.HeaderRequestID, id)
	if target := r.Header.Get(platform.HeaderUpstream); target != "" && target != u.id {
		u.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	default:
		u.refuse(w, http.StatusServiceUnavailable)
		return
	}
	u.runs.add(id, run{
		at: time.Now(), upstream: u.id, path: r.URL.Path,
		organisation: r.Header.Get(platform.HeaderOrganisation), key: r.Header.Get(platform.HeaderKey),
	})
	w.Header().Set(platform.HeaderSignature, signature(u.id, id))
	if strings.HasPrefix(r.URL.Path, streamPath) {
		u.stream(w, r, id)
		return
	}
	time.Sleep(workTime)
	_, _ = io.WriteString(w, answerTo(r.URL.Path, body))
}

func (u *upstream) refuse(w http.ResponseWriter, status int) {
	w.Header().Set(platform.HeaderNotRun, "1")
	w.WriteHeader(status)
}

func (u *upstream) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for number := 1; number <= streamEvents; number++ {
		if _, err := io.WriteString(w, event(id, number)); err != nil {
			return
		}
		_ = control.Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(streamGap):
		}
	}
}
