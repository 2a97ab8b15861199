package persimstand

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"persimmonport.example/persimplatform"
)

const (
	platformReads  = 2000
	platformWrites = 400
	watchBookmark  = time.Second
	watchLongest   = 30 * time.Second
)

// Counts are the calls that a platform has served.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

type version struct {
	object persimplatform.Object
	at     time.Time
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

	mu      sync.Mutex
	next    uint64
	objects map[string][]version
	changed chan struct{}
	hosts   []listed
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
	return &Platform{
		faults:  newFaults(),
		reads:   rate.NewLimiter(platformReads, platformReads),
		writes:  rate.NewLimiter(platformWrites, platformWrites),
		objects: map[string][]version{},
		changed: make(chan struct{}),
		listLag: listLag,
		notices: map[string]time.Time{},
		intents: map[string]persimplatform.Host{},
	}
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
	mux.HandleFunc("GET /apis/persimmonport.example/v1/objects/{name}", p.guard(p.get))
	mux.HandleFunc("PUT /apis/persimmonport.example/v1/objects/{name}", p.guard(p.put))
	mux.HandleFunc("POST /apis/persimmonport.example/v1/objects/{name}", p.guard(p.put))
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

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") == "true" {
		p.watch(w, r)
		return
	}
	object, ok := p.Lookup(r.PathValue("name"))
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	writeTagged(w, r, strconv.Quote(strconv.FormatUint(object.Version, 10)), persimplatform.NewEnvelope(object))
}

// Lookup returns an object as a reader sees it, which lags when the fault is set.
func (p *Platform) Lookup(name string) (persimplatform.Object, bool) {
	limit := time.Now().Add(-p.faults.Get().Lag)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Reads++
	versions := p.objects[name]
	for _, v := range slices.Backward(versions) {
		if !v.at.After(limit) {
			return v.object, true
		}
	}
	return persimplatform.Object{}, false
}

func (p *Platform) latest(name string) (persimplatform.Object, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	versions := p.objects[name]
	if len(versions) == 0 {
		return persimplatform.Object{}, p.changed
	}
	return versions[len(versions)-1].object, p.changed
}

// Store performs a conditional write and reports whether it took effect.
func (p *Platform) Store(object persimplatform.Object) (persimplatform.Object, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Writes++
	versions := p.objects[object.Name]
	current := uint64(0)
	if len(versions) > 0 {
		current = versions[len(versions)-1].object.Version
	}
	if current != object.Version {
		return persimplatform.Object{}, false
	}
	p.next++
	object.Version = p.next
	p.objects[object.Name] = append(recent(versions), version{object: object, at: time.Now()})
	close(p.changed)
	p.changed = make(chan struct{})
	return object, true
}

const keptVersions = 16

func recent(versions []version) []version {
	return versions[max(0, len(versions)-keptVersions):]
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	var e persimplatform.Envelope
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4<<20)).Decode(&e); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(e.Spec.Value) > persimplatform.MaxValueBytes {
		http.Error(w, "too large", http.StatusRequestEntityTooLarge)
		return
	}
	expected, _ := strconv.ParseUint(e.Metadata.ResourceVersion, 10, 64)
	stored, ok := p.Store(persimplatform.Object{Name: r.PathValue("name"), Version: expected, Value: e.Spec.Value})
	if p.faults.takeLoss() {
		cut()
	}
	if !ok {
		http.Error(w, "conflict", http.StatusConflict)
		return
	}
	writeJSON(w, persimplatform.NewEnvelope(stored))
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("resourceVersion"), 10, 64)
	name := r.PathValue("name")
	p.mu.Lock()
	p.counts.Watches++
	p.mu.Unlock()
	stream := json.NewEncoder(w)
	end := time.After(watchLongest)
	bookmark := time.NewTicker(watchBookmark)
	defer bookmark.Stop()
	_ = stream.Encode(persimplatform.Event{Type: persimplatform.EventBookmark})
	_ = http.NewResponseController(w).Flush()
	for {
		object, changed := p.latest(name)
		silent := p.faults.Get().Silent
		if object.Version > after && !silent {
			_ = stream.Encode(persimplatform.Event{Type: persimplatform.EventModified, Object: persimplatform.NewEnvelope(object)})
			return
		}
		select {
		case <-changed:
		case <-bookmark.C:
			if !silent {
				_ = stream.Encode(persimplatform.Event{Type: persimplatform.EventBookmark})
				_ = http.NewResponseController(w).Flush()
			}
		case <-end:
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) listHosts(w http.ResponseWriter, r *http.Request) {
	hosts := p.List()
	data, _ := json.Marshal(hosts)
	writeTagged(w, r, strconv.Quote(strconv.FormatUint(xxhash.Sum64(data), 16)), hosts)
}

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
