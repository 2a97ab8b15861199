package persimstand

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonport.example/platform"
)

const (
	// UpstreamSlots is the number of requests that an Upstream runs at a time.
	UpstreamSlots = 16
	// StreamPath begins the paths that an Upstream answers with a stream.
	StreamPath = "/stream/"
	// StreamEvents is the number of events in such a stream.
	StreamEvents = 12

	upstreamWork = 15 * time.Millisecond
	streamGap    = 25 * time.Millisecond
)

// An Upstream is a stand-in of a back end on the platform. It answers requests with
// what can be worked out from them, so that a caller can check each byte.
type Upstream struct {
	id    string
	ran   func(request string, r *http.Request)
	slots chan struct{}
}

// NewUpstream returns an upstream that calls ran when it begins to run a request.
func NewUpstream(id string, ran func(request string, r *http.Request)) *Upstream {
	return &Upstream{id: id, ran: ran, slots: make(chan struct{}, UpstreamSlots)}
}

// Signature is what an upstream writes under its answer to a request.
func Signature(upstream, request string) string { return upstream + "." + request }

// AnswerTo is the whole answer of an upstream to a request that is no stream.
func AnswerTo(path string, body []byte) string {
	return fmt.Sprintf("%s %016x", path, xxhash.Sum64(body))
}

// StreamEvent is one event of a stream, counted from one.
func StreamEvent(request string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", number, request, number)
}

func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request := r.Header.Get(platform.HeaderRequestID)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(platform.HeaderRequestID, request)
	if target := r.Header.Get(platform.HeaderUpstream); target != "" && target != u.id {
		refuseRun(w, http.StatusMisdirectedRequest)
		return
	}
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	default:
		refuseRun(w, http.StatusServiceUnavailable)
		return
	}
	u.ran(request, r)
	w.Header().Set(platform.HeaderSignature, Signature(u.id, request))
	if strings.HasPrefix(r.URL.Path, StreamPath) {
		sendEvents(w, r, request)
		return
	}
	time.Sleep(upstreamWork)
	_, _ = io.WriteString(w, AnswerTo(r.URL.Path, body))
}

func refuseRun(w http.ResponseWriter, status int) {
	w.Header().Set(platform.HeaderNotRun, "1")
	w.WriteHeader(status)
}

func sendEvents(w http.ResponseWriter, r *http.Request, request string) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for number := 1; number <= StreamEvents; number++ {
		if _, err := io.WriteString(w, StreamEvent(request, number)); err != nil {
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
