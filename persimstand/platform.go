package persimstand

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"persimmonport.example/persimplatform"
	"persimmonport.example/platform"
)

const (
	platformReadsPerSecond  = 2000
	platformWritesPerSecond = 400
)

// Counts is the number of object API calls that a platform has served, by type.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

// listedHost is an entry of the host list.
type listedHost struct {
	host persimplatform.Host
	// addedAt is the zero time for a host that is listed without lag.
	addedAt time.Time
}

// Platform is a stand-in for the platform's object API, host list and cloud API.
type Platform struct {
	faults *faults
	reads  *rate.Limiter
	writes *rate.Limiter

	store *Store

	mu    sync.Mutex
	hosts []listedHost
	// listLag is the delay after which a started host appears in the list.
	listLag time.Duration
	notices map[string]time.Time
	counts  Counts
	// startedByKey holds the started hosts by the idempotency keys of their orders.
	startedByKey map[string]persimplatform.Host
	fence        uint64
	started      int
}

// NewPlatform returns an empty platform whose host list lags by listLag.
func NewPlatform(listLag time.Duration) *Platform {
	p := &Platform{
		faults:       newFaults(),
		store:        NewStore(),
		reads:        rate.NewLimiter(platformReadsPerSecond, platformReadsPerSecond),
		writes:       rate.NewLimiter(platformWritesPerSecond, platformWritesPerSecond),
		listLag:      listLag,
		notices:      map[string]time.Time{},
		startedByKey: map[string]persimplatform.Host{},
	}
	p.store.fault = p.faults.Get
	return p
}

// SetFault replaces the injected faults.
func (p *Platform) SetFault(fault Fault) { p.faults.Set(fault) }

// Counts returns the number of calls served so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// AddHost adds a host to the list without lag.
func (p *Platform) AddHost(host persimplatform.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = append(p.hosts, listedHost{host: host})
}

// Reclaim issues a notice that a host is reclaimed after a delay. The host stays in the
// list until RemoveHost.
func (p *Platform) Reclaim(address string, after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notices[address] = time.Now().Add(after)
}

// RemoveHost removes a host and its reclaim notice.
func (p *Platform) RemoveHost(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = slices.DeleteFunc(p.hosts, func(l listedHost) bool { return l.host.Address == address })
	delete(p.notices, address)
}

// Handler serves the APIs of the platform and fault injection.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ObjectsPath, p.withFaults(p.serveObjects))
	mux.HandleFunc("GET /cloud/v1/hosts", p.withFaults(p.serveHosts))
	mux.HandleFunc("GET /cloud/v1/notices", p.withFaults(p.serveNotices))
	mux.HandleFunc("POST /cloud/v1/start", p.withFaults(p.serveStart))
	mux.HandleFunc("POST /cloud/v1/stop", p.withFaults(p.serveStop))
	mux.HandleFunc("GET /weights/{model}", newWeightStore().serve)
	mux.HandleFunc("POST /fault", p.faults.handler(nil))
	mux.HandleFunc("POST /admin/hosts", p.adminAddHost)
	mux.HandleFunc("POST /admin/reclaim", p.adminReclaim)
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Counts()) })
	return mux
}

// withFaults enforces the rate limits and injects delays and refusals before next.
func (p *Platform) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		limiter := p.writes
		if r.Method == http.MethodGet {
			limiter = p.reads
		}
		if !limiter.Allow() {
			http.Error(w, "too many calls", http.StatusTooManyRequests)
			return
		}
		time.Sleep(p.faults.Get().Delay)
		if p.faults.consumeRefusal() {
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

// serveObjects serves the object API. For a lost response it performs the write
// and then closes the connection.
func (p *Platform) serveObjects(w http.ResponseWriter, r *http.Request) {
	p.count(r)
	if r.Method != http.MethodGet && p.faults.consumeResponseLoss() {
		p.store.serve(discardResponse{http.Header{}}, r)
		abortConnection()
	}
	p.store.serve(w, r)
}

func (p *Platform) count(r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _, watches := platform.DecodeWatch(r.URL.Query())
	switch {
	case r.Method != http.MethodGet:
		p.counts.Writes++
	case watches:
		p.counts.Watches++
	default:
		p.counts.Reads++
	}
}

// Lookup returns a value as a read returns it, including the injected lag.
func (p *Platform) Lookup(name string) (persimplatform.Object, bool) {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	object, ok := p.store.read(platform.ObjectKey{Kind: persimplatform.ValueKind, Name: name})
	if !ok {
		return persimplatform.Object{}, false
	}
	value, err := persimplatform.DecodeValue(object)
	return value, err == nil
}

// PutIfCurrent writes a value if its version is current and reports whether it did.
func (p *Platform) PutIfCurrent(object persimplatform.Object) (persimplatform.Object, bool) {
	encoded, err := persimplatform.EncodeValue(object)
	if err != nil {
		return persimplatform.Object{}, false
	}
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	if p.store.kinds[persimplatform.ValueKind][object.Name].Revision.Number != encoded.Revision.Number {
		return persimplatform.Object{}, false
	}
	stored := p.store.put(persimplatform.ValueKind, object.Name, encoded.Spec)
	return object.WithVersion(uint64(stored.Revision.Ordinal())), true
}

func (p *Platform) serveHosts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Hosts()) }

// Hosts returns the hosts without those started within the list lag.
func (p *Platform) Hosts() []persimplatform.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts := make([]persimplatform.Host, 0, len(p.hosts))
	for _, l := range p.hosts {
		if time.Since(l.addedAt) < p.listLag && !l.addedAt.IsZero() {
			continue
		}
		hosts = append(hosts, l.host)
	}
	return hosts
}

func (p *Platform) serveNotices(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Notices()) }

// Notices returns the reclaim notices in force.
func (p *Platform) Notices() []persimplatform.Notice {
	p.mu.Lock()
	defer p.mu.Unlock()
	notices := []persimplatform.Notice{}
	for address, end := range p.notices {
		notice := persimplatform.Notice{Address: address, Remaining: time.Until(end)}
		for _, l := range p.hosts {
			if l.host.Address == address {
				notice.Incarnation = l.host.Incarnation
			}
		}
		notices = append(notices, notice)
	}
	return notices
}

func (p *Platform) adminAddHost(w http.ResponseWriter, r *http.Request) {
	var host persimplatform.Host
	if err := json.NewDecoder(r.Body).Decode(&host); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.AddHost(host)
}

func (p *Platform) adminReclaim(w http.ResponseWriter, r *http.Request) {
	var notice persimplatform.Notice
	if err := json.NewDecoder(r.Body).Decode(&notice); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Reclaim(notice.Address, notice.Remaining)
}
