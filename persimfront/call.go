package persimfront

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimlog"
	"persimmonport.example/persimplace"
	"persimmonport.example/platform"
)

const (
	// maxDenialAge is the age of the configuration up to which a host denies unknown
	// routes and keys. With an older one it answers 503, since they may be new.
	maxDenialAge = 1500 * time.Millisecond
	// maxUrgentTokens is the prompt size, in tokens, up to which an upstream is asked
	// to run a request before others, in services that are not ranked.
	maxUrgentTokens = 4000
	outcomeOK       = "ok"
)

// call is one request of a caller.
type call struct {
	front         *front
	id            string
	arrived       time.Time
	route         persimcatalog.Route
	service       string
	organisation  string
	request       *http.Request
	requestTarget string
	forwardHeader http.Header
	body          []byte
	// bodyEnded is set once the rest of a body is not to be read.
	bodyEnded bool
	// held is the memory that the request takes.
	held holding
	// placement describes the request to the placer.
	placement persimplace.Request
	// cost is the cost in units of the organisation's quota.
	cost float64
	// rank is the priority of the request, outputTokens the number of tokens that it may
	// generate.
	rank         int
	outputTokens float64
	// deadline is the time by which the caller must have the final response.
	deadline time.Time
	// tried lists the ids of the upstreams chosen so far, which the placer avoids.
	tried []string

	attempts int
	// possibleRuns is the number of upstreams that may have run the request.
	possibleRuns int
	// connectFailures counts the upstreams that could not be connected to,
	// retriedAttempts the attempts that were followed by a retry.
	connectFailures int
	retriedAttempts int
	upstream        string
	usageCounted    bool
	// passedOver counts the better upstreams that took no requests.
	passedOver int
	version    versionChoice
	// crashCheck is the check whether the last upstream crashed as it began to respond.
	crashCheck *breaks
}

// refusal is a response that the host generates itself, with an empty body.
type refusal struct {
	status     int
	cause      string
	retryDelay time.Duration
	// longDelay is set if retryDelay may exceed maxRetryAfter.
	longDelay bool
}

// retryAfter returns the delay that the Retry-After header asks for.
func (r refusal) retryAfter() time.Duration {
	if r.longDelay {
		return withJitter(max(r.retryDelay, minRetryAfter))
	}
	return withJitter(min(max(r.retryDelay, minRetryAfter), maxRetryAfter))
}

// ServeHTTP admits the request and forwards it to an upstream, or refuses it.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	c := &call{front: f, id: r.Header.Get(platform.HeaderRequestID), arrived: time.Now(), request: r, requestTarget: r.RequestURI}
	if !beginServing(r) {
		c.abortResponse(c.leftCause())
	}
	if f.keepAlivesDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
	c.held = holding{memory: f.memory}
	defer c.held.releaseAll()
	if conn := connOf(r); conn != nil {
		c.held.take(conn.takeHead())
	}
	refused := c.holdHead()
	if refused == nil {
		refused = c.admit(w)
	}
	if refused != nil {
		c.refuse(w, *refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(f.aborted, cancel)()
	c.forward(ctx, w)
}

// admit reads and checks the request. It returns a refusal if the request must not
// be forwarded.
func (c *call) admit(w http.ResponseWriter) *refusal {
	f := c.front
	if f.aborted.Err() != nil {
		return refuseForStop()
	}
	age, known := f.CatalogueAge()
	if !known {
		return &refusal{status: http.StatusServiceUnavailable, cause: "no configuration", retryDelay: minRetryAfter}
	}
	catalogue, _ := f.Catalogue()
	if limit := catalogue.Limits().HeaderBytes; limit > 0 && headerBytes(c.request) > limit {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, cause: "head too large"}
	}
	if !forwardable(c.requestTarget) {
		return &refusal{status: http.StatusBadRequest, cause: "target can't be forwarded"}
	}
	path, _, _ := strings.Cut(c.requestTarget, "?")
	route, ok := catalogue.Match(c.request.Host, path)
	if !ok {
		return denyUnlessStale(age, http.StatusNotFound, "no route")
	}
	c.route = route
	organisation, refused := c.authenticate(catalogue, age)
	if refused != nil {
		return refused
	}
	c.setDeadline()
	if c.outlastsDrain() {
		return refuseForStop()
	}
	if refused := c.readBody(w, catalogue.Limits()); refused != nil {
		return refused
	}
	// The drain may have begun while the body was read.
	if c.outlastsDrain() {
		return refuseForStop()
	}
	return c.prepare(organisation)
}

// refuseForStop returns the refusal of a request that could be broken off as the host stops.
func refuseForStop() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, cause: "host stops", retryDelay: minRetryAfter}
}

// denyUnlessStale returns a denial with the given status, or a 503 if the
// configuration is older than maxDenialAge.
func denyUnlessStale(age time.Duration, status int, cause string) *refusal {
	if age > maxDenialAge {
		return &refusal{status: http.StatusServiceUnavailable, cause: cause + ", configuration is old", retryDelay: minRetryAfter}
	}
	return &refusal{status: status, cause: cause}
}

// authenticate returns the organisation that the request's key belongs to. A route that
// is anonymous, or a configuration without organisations, requires no key.
func (c *call) authenticate(catalogue persimcatalog.Catalogue, age time.Duration) (persimcatalog.Organisation, *refusal) {
	if c.route.Anonymous || !catalogue.RequiresKey() {
		return persimcatalog.Organisation{}, nil
	}
	if age > c.front.maxKeyAge() {
		return persimcatalog.Organisation{}, &refusal{
			status: http.StatusServiceUnavailable, cause: "keys are not confirmed", retryDelay: minRetryAfter,
		}
	}
	organisation, ok := catalogue.OrganisationByKey(c.request.Header.Get(platform.HeaderAPIKey))
	if !ok {
		return persimcatalog.Organisation{}, denyUnlessStale(age, http.StatusUnauthorized, "unknown key")
	}
	c.organisation = organisation.Name
	return organisation, nil
}

// revokeMargin covers the time that a request takes from this host to the upstream.
const revokeMargin = 600 * time.Millisecond

// maxKeyAge returns the age of the configuration up to which its keys are accepted.
func (f *front) maxKeyAge() time.Duration { return f.bounds.KeyRevocation - revokeMargin }

// setDeadline derives the deadline from the route's timeout, or from the time that the
// caller has left where that is shorter.
func (c *call) setDeadline() {
	timeout := c.route.Timeout
	if remaining, ok := platform.DecodeTimeLeft(c.request.Header.Get(platform.HeaderTimeLeft)); ok {
		timeout = min(timeout, remaining)
	}
	c.deadline = c.arrived.Add(timeout)
}

// prepare determines the cost, the service and the forwarded header of the request
// and charges the organisation's quota.
func (c *call) prepare(organisation persimcatalog.Organisation) *refusal {
	prompt, hasPrompt, err := platform.DecodePrompt(c.request.Header)
	if err != nil {
		klog.V(1).InfoS("front: malformed prompt headers", "request", c.id, "error", persimlog.ErrorText(err))
	}
	demand := Demand{Requests: 1}
	c.cost = 1
	if organisation.Quota.InTokens {
		c.cost = organisation.Quota.PlainTokens
	}
	if hasPrompt {
		c.placement = newPlacementRequest(prompt)
		demand.OutputTokens = float64(prompt.MaxOutputTokens)
		c.outputTokens = demand.OutputTokens
		if organisation.Quota.InTokens {
			c.cost = float64(prompt.Tokens + prompt.MaxOutputTokens)
		}
	}
	c.placement.Centre = c.front.centre
	c.service = c.route.Service(hashID(c.id))
	c.version.sample = sampleOf(c.id)
	c.rank = c.route.Rank(organisation)
	c.forwardHeader = platform.ForwardRequestHeaders(c.request.Header)
	if c.organisation != "" {
		c.forwardHeader.Set(platform.HeaderOrganisation, c.organisation)
	}
	if hasPrompt {
		c.forwardHeader.Set(platform.HeaderPriority, c.setOrder())
	}
	return c.front.recordArrival(c, demand)
}

// newPlacementRequest describes a prompt to the placer.
func newPlacementRequest(prompt platform.Prompt) persimplace.Request {
	placement := persimplace.Request{Tokens: max(1, prompt.Tokens), Urgent: prompt.Tokens <= maxUrgentTokens}
	for _, part := range prompt.Parts {
		placement.Parts = append(placement.Parts, persimplace.Part{ID: part.ID, Tokens: part.Tokens})
	}
	return placement
}

// recordArrival counts the request in the retry budget, charges the organisation's quota and, if
// that admits it, counts the request as demand.
func (f *front) recordArrival(c *call, demand Demand) *refusal {
	f.mu.Lock()
	defer f.mu.Unlock()
	wait, ok := f.dispatcher.recordArrival(time.Now(), c.service, c.organisation, c.cost, demand)
	if !ok {
		return &refusal{status: http.StatusTooManyRequests, cause: "quota", retryDelay: wait}
	}
	return nil
}

// refund returns the cost of a request that did not run to the organisation's quota.
func (c *call) refund() {
	f := c.front
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.organisation != "" {
		f.dispatcher.quotaLimiter.Refund(c.organisation, c.cost)
	}
}

// refuse sends a refusal to the caller and records it.
func (c *call) refuse(w http.ResponseWriter, r refusal) {
	if c.body == nil {
		// What was read of a body is not held while the rest is discarded.
		c.held.settle(min(c.held.bytes, requestCost(c.request)))
	}
	control := http.NewResponseController(w)
	bodyComes := c.body == nil && !c.bodyEnded && c.request.ContentLength != 0 && c.request.Header.Get("Expect") == ""
	if bodyComes {
		// Without it the server would read from the body before it sends the response.
		if err := control.EnableFullDuplex(); err != nil {
			klog.V(1).InfoS("refusal: sent after the body", "request", c.id, "error", persimlog.ErrorText(err))
		}
	}
	header := w.Header()
	if r.retryDelay > 0 {
		header.Set("Retry-After", platform.EncodeRetryAfter(r.retryAfter()))
	}
	if c.id != "" {
		header.Set(platform.HeaderRequestID, c.id)
	}
	header.Set("Content-Length", "0")
	c.writeHead(w, r.status)
	if err := control.Flush(); err != nil {
		klog.InfoS("refusal not sent", "request", c.id, "status", r.status, "cause", r.cause, "error", persimlog.ErrorText(err))
		c.record(0, c.leftCause())
		return
	}
	c.record(r.status, r.cause)
	if bodyComes {
		c.discardBody(control)
	}
}

// record writes the access log line of the request and records its metrics. The
// status is 0 if the caller did not get a complete response.
func (c *call) record(status int, cause string) {
	took := time.Since(c.arrived)
	age, _ := c.front.CatalogueAge()
	klog.InfoS("request", "id", c.id, "route", c.route.Name, "organisation", c.organisation,
		"service", c.service, "upstream", c.upstream, "attempts", c.attempts, "passedOver", c.passedOver, "status", status,
		"cause", cause, "took", took, "configurationAge", age)
	if c.front.metrics != nil {
		c.front.metrics.Request(c.organisation, c.route.Name, cause, took)
	}
}

// upstreamRequest builds the request to an upstream.
func (c *call) upstreamRequest(ctx context.Context, upstream persimcatalog.Upstream) *http.Request {
	header := c.forwardHeader.Clone()
	header.Set(platform.HeaderUpstream, upstream.ID)
	header.Set(platform.HeaderTimeLeft, platform.EncodeTimeLeft(time.Until(c.deadline)))
	req := &http.Request{
		Method:        c.request.Method,
		RequestURI:    c.requestTarget,
		Host:          c.request.Host,
		Header:        header,
		ContentLength: int64(len(c.body)),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if len(c.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(c.body))
	}
	return req.WithContext(ctx)
}
