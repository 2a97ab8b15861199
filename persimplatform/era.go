package persimplatform

import (
	"net/http"
	"sync"

	"k8s.io/klog/v2"

	"persimmonport.example/persimclock"
	"persimmonport.example/persimlog"
	"persimmonport.example/persimrevision"
	"persimmonport.example/platform"
)

// Era is an era of the store as this host knows it.
type Era struct {
	persimrevision.Era
	// SeenAt is when the first response that named the era arrived. The era had begun by then.
	SeenAt persimclock.Instant
}

// eraRecord holds the newest era that responses of the store have named. It is safe for
// concurrent use.
type eraRecord struct {
	mu     sync.Mutex
	newest Era
	// oddLogged is set once a response with a malformed or missing era was logged.
	oddLogged bool
}

func (r *eraRecord) get() Era {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest
}

// observe records the era that a response names and returns it, or zero if it names none. The
// header is nil if there was no response.
func (r *eraRecord) observe(header http.Header) persimrevision.Era {
	if header == nil {
		return 0
	}
	era, err := platform.DecodeEra(header)
	r.mu.Lock()
	defer r.mu.Unlock()
	if (err != nil || era == 0 && r.newest.Era > 0) && !r.oddLogged {
		r.oddLogged = true
		klog.ErrorS(nil, "store: response without a valid era", "known", r.newest.Era, "error", persimlog.ErrorText(err))
	}
	if era > r.newest.Era {
		klog.InfoS("store: new era", "era", era, "former", r.newest.Era)
		r.newest = Era{Era: era, SeenAt: persimclock.Now()}
	}
	return era
}
