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
	platformReads  = 2000
	platformWrites = 400
)

// Counts are the calls that a platform has served.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

type listed struct {
	host persimplatform.Host
	at   time.Time
}

// A Platform is a stand-in of the platform's object API, host list and cloud API.
type Platform struct {
	faults *faults
	reads  *rate.Limiter
	writes *rate.Limiter

	store *Store

	mu    sync.Mutex
	hosts []listed
	// ListLag is how late changes of hosts appear in the list.
	listLag time.Duration
	notices map[string]time.Time
	counts  Counts
	intents map[string]persimplatform.Host
	fence   uint64
	started int
}

// NewPlatform returns an empty platform whose host list lags.
func NewPlatform(listLag time.Duration) *Platform {
	p := &Platform{
		faults:  newFaults(),
		store:   NewStore(),
		reads:   rate.NewLimiter(platformReads, platformReads),
		writes:  rate.NewLimiter(platformWrites, platformWrites),
		listLag: listLag,
		notices: map[string]time.Time{},
		intents: map[string]persimplatform.Host{},
	}
	p.store.fault = p.faults.Get
	return p
}

// SetFault replaces the fault switches.
func (p *Platform) SetFault(fault Fault) { p.faults.Set(fault) }

// Counts returns the calls served so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// AddHost lists a host at once.
func (p *Platform) AddHost(host persimplatform.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = append(p.hosts, listed{host: host})
}

// Reclaim announces that a host is taken back; the list shows it after its lag.
func (p *Platform) Reclaim(address string, after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notices[address] = time.Now().Add(after)
}

// RemoveHost removes a host from the list.
func (p *Platform) RemoveHost(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = slices.DeleteFunc(p.hosts, func(l listed) bool { return l.host.Address == address })
	delete(p.notices, address)
}

// Handler serves the platform's interfaces and its fault switches.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ObjectsPath, p.guard(p.objects))
	mux.HandleFunc("GET /cloud/v1/hosts", p.guard(p.listHosts))
	mux.HandleFunc("GET /cloud/v1/notices", p.guard(p.listNotices))
	mux.HandleFunc("POST /cloud/v1/start", p.guard(p.start))
	mux.HandleFunc("POST /cloud/v1/stop", p.guard(p.stop))
	mux.HandleFunc("GET /weights/{model}", newWeightStore().serve)
	mux.HandleFunc("POST /fault", p.faults.handler(nil))
	mux.HandleFunc("POST /admin/hosts", p.adminAdd)
	mux.HandleFunc("POST /admin/reclaim", p.adminReclaim)
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Counts()) })
	return mux
}

func (p *Platform) guard(next http.HandlerFunc) http.HandlerFunc {
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
		if p.faults.takeRefusal() {
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

// objects serves the object API; a lost answer breaks the connection of a write
// that was carried out.
func (p *Platform) objects(w http.ResponseWriter, r *http.Request) {
	p.count(r)
	if r.Method != http.MethodGet && p.faults.takeLoss() {
		p.store.serve(discard{http.Header{}}, r)
		cut()
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

// Lookup returns a value as a reader sees it, which lags when the fault is set.
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

// Store performs a conditional write and reports whether it took effect.
func (p *Platform) Store(object persimplatform.Object) (persimplatform.Object, bool) {
	encoded, err := persimplatform.EncodeValue(object)
	if err != nil {
		return persimplatform.Object{}, false
	}
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	if p.store.kinds[persimplatform.ValueKind][object.Name].Revision != encoded.Revision {
		return persimplatform.Object{}, false
	}
	stored := p.store.put(persimplatform.ValueKind, object.Name, encoded.Spec)
	return object.WithVersion(uint64(stored.Revision)), true
}

func (p *Platform) listHosts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.List()) }

// List returns the lagging list of hosts.
func (p *Platform) List() []persimplatform.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts := make([]persimplatform.Host, 0, len(p.hosts))
	for _, l := range p.hosts {
		if time.Since(l.at) < p.listLag && !l.at.IsZero() {
			continue
		}
		hosts = append(hosts, l.host)
	}
	return hosts
}

func (p *Platform) listNotices(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Notices()) }

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

func (p *Platform) adminAdd(w http.ResponseWriter, r *http.Request) {
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
