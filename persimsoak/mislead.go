package persimsoak

import (
	"hash/fnv"
	"io"
	"net/http"
	"strings"
	"time"

	"persimmonport.example/persimstand"
	"persimmonport.example/platform"
)

const (
	// misleadingShare is the share of its responses in which an upstream misleads hosts, in
	// hundredths.
	misleadingShare = 40
	// endlessShare is the share of these, in hundredths, that have a head without end.
	endlessShare = 10
	// malformedShare is the share of these, in hundredths, that have a malformed head.
	malformedShare = 10
	// endlessLine is repeated in a head without end, for endlessTime at most.
	endlessLine = "a: b\r\n"
	endlessTime = 5 * time.Second
)

var (
	// untrueStatuses tell callers that a request did not run.
	untrueStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}
	// untrueSizes are the sizes of their bodies, in bytes, up to more than hosts buffer.
	untrueSizes = []int{0, 800, 300 << 10}
	// malformedHeads are the starts of heads that hosts must not take for responses.
	malformedHeads = []string{
		"HTTP/1.1 000 No Status\r\nContent-Length: 0\r\n",
		"HTTP/1.1 200 OK\r\nX Field: 1\r\nContent-Length: 0\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 0\r\n",
	}
)

// mislead lets an upstream mislead hosts for the time of an event.
func (u *upstreams) mislead(target *upstream, duration time.Duration) {
	defer u.beginFault(target.id)()
	target.misleads.Store(true)
	time.Sleep(duration)
	target.misleads.Store(false)
}

// misleading returns the handler of the requests in whose responses an upstream misleads hosts,
// or false for the others.
func misleading(upstream, request string) (http.HandlerFunc, bool) {
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, upstream+request)
	draw := int(hash.Sum32() & 0x7fffffff)
	if draw%100 >= misleadingShare {
		return nil, false
	}
	draw /= 100
	kind := draw % 100
	draw /= 100
	switch {
	case kind < endlessShare:
		return respondEndless, true
	case kind < endlessShare+malformedShare:
		return respondMalformed(upstream, request, malformedHeads[draw%len(malformedHeads)]), true
	}
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(platform.HeaderRequestID, request)
		w.Header().Set(platform.HeaderSignature, persimstand.Signature(upstream, request))
		w.WriteHeader(untrueStatuses[draw%len(untrueStatuses)])
		_, _ = io.WriteString(w, strings.Repeat("e", untrueSizes[draw/len(untrueStatuses)%len(untrueSizes)]))
	}, true
}

// respondMalformed returns a handler that writes a malformed head and, behind it, what would be a
// response to the request with another body than its own.
func respondMalformed(upstream, request, head string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		fields := platform.HeaderRequestID + ": " + request + "\r\n" +
			platform.HeaderSignature + ": " + persimstand.Signature(upstream, request) + "\r\n"
		_, _ = io.WriteString(conn, head+fields+"\r\nHTTP/1.1 200 OK\r\n"+fields+"Content-Length: 5\r\n\r\nwrong")
	}
}

// respondEndless writes a head without end until the connection is closed.
func respondEndless(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(endlessTime))
	block := strings.Repeat(endlessLine, 1<<10)
	_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
	for err == nil {
		_, err = io.WriteString(conn, block)
	}
}
