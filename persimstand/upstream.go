package persimstand

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonport.example/persimpressure"
	"persimmonport.example/platform"
)

const (
	// UpstreamSlots is the number of requests that an Upstream runs concurrently.
	UpstreamSlots = 16
	// StreamPath is the prefix of the paths to which an Upstream responds with a stream.
	StreamPath = "/stream/"
	// StreamEvents is the number of events in such a stream.
	StreamEvents = 12

	upstreamRunTime     = 15 * time.Millisecond
	streamEventInterval = 25 * time.Millisecond
)

// Upstream is a stand-in for a back end on the platform. Its responses are a function of the
// requests, so that a caller can check each byte.
type Upstream struct {
	id    string
	onRun func(request string, r *http.Request)
	slots chan struct{}
	// signals are what the upstream asks for in its responses.
	signals atomic.Pointer[persimpressure.Signals]
}

// NewUpstream returns an upstream that calls onRun when it starts to run a request.
func NewUpstream(id string, onRun func(request string, r *http.Request)) *Upstream {
	return &Upstream{id: id, onRun: onRun, slots: make(chan struct{}, UpstreamSlots)}
}

// SetSignals sets what the upstream asks for in its later responses. With a wait, it rejects
// all requests.
func (u *Upstream) SetSignals(signals persimpressure.Signals) { u.signals.Store(&signals) }

// addSignals adds what the upstream asks for to the header of a response. It returns false if
// the upstream rejects the request.
func (u *Upstream) addSignals(header http.Header) bool {
	signals := u.signals.Load()
	if signals == nil {
		return true
	}
	if signals.LimitState == persimpressure.LimitNamed {
		header.Set(platform.HeaderLimit, strconv.FormatFloat(signals.Limit, 'f', -1, 64))
	}
	if signals.Leaving {
		header.Set(platform.HeaderLeaving, "1")
	}
	if signals.Wait > 0 {
		header.Set(platform.HeaderRetryAfter, platform.EncodeRetryAfter(signals.Wait))
	}
	return signals.Wait <= 0
}

// Signature returns the HeaderSignature value of the response of an upstream to a
// request.
func Signature(upstream, request string) string { return upstream + "." + request }

// ResponseBody returns the response body of an upstream to a request that is not streamed.
func ResponseBody(path string, body []byte) string {
	return fmt.Sprintf("%s %016x", path, xxhash.Sum64(body))
}

// StreamEvent returns the event of a stream with a number, which starts at 1.
func StreamEvent(request string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", number, request, number)
}

// ServeHTTP rejects requests for another upstream and those for which no slot is free,
// and marks them as not run.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request := r.Header.Get(platform.HeaderRequestID)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(platform.HeaderRequestID, request)
	if target := r.Header.Get(platform.HeaderUpstream); target != "" && target != u.id {
		rejectNotRun(w, http.StatusMisdirectedRequest)
		return
	}
	if !u.addSignals(w.Header()) {
		rejectNotRun(w, http.StatusServiceUnavailable)
		return
	}
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	default:
		rejectNotRun(w, http.StatusServiceUnavailable)
		return
	}
	u.onRun(request, r)
	w.Header().Set(platform.HeaderSignature, Signature(u.id, request))
	if strings.HasPrefix(r.URL.Path, StreamPath) {
		sendEvents(w, r, request)
		return
	}
	time.Sleep(upstreamRunTime)
	_, _ = io.WriteString(w, ResponseBody(r.RequestURI, body))
}

func rejectNotRun(w http.ResponseWriter, status int) {
	w.Header().Set(platform.HeaderNotRun, "1")
	w.WriteHeader(status)
}

func sendEvents(w http.ResponseWriter, r *http.Request, request string) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for number := 1; number <= StreamEvents; number++ {
		if _, err := io.WriteString(w, StreamEvent(request, number)); err != nil {
			return
		}
		_ = controller.Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(streamEventInterval):
		}
	}
}
