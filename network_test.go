package persimmonport

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"persimmonport.example/persimwire"
)

// networkDelay is the time that a request takes to arrive.
const networkDelay = 500 * time.Microsecond

var errConnection = errors.New("connection lost")

// network joins processes of a test in memory, so that they run in virtual time.
type network struct {
	mu        sync.Mutex
	processes map[string]*process
	// silent lists addresses whose packets are lost in both directions.
	silent map[string]bool
	// silentPairs lists pairs of addresses between which packets are lost.
	silentPairs map[[2]string]bool
}

// process is what listens at one address.
type process struct {
	handler http.Handler
	alive   context.Context
}

func newNetwork() *network {
	return &network{
		processes:   map[string]*process{},
		silent:      map[string]bool{},
		silentPairs: map[[2]string]bool{},
	}
}

// listen serves a handler at an address while a context lives.
func (n *network) listen(alive context.Context, address string, handler http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.processes[address] = &process{handler: handler, alive: alive}
}

// cut loses all packets from and to an address from now on, on open connections too.
func (n *network) cut(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[address] = true
}

// cutPair loses all packets from one address to another.
func (n *network) cutPair(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silentPairs[[2]string{from, to}] = true
}

// heal lets packets of an address pass again.
func (n *network) heal(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.silent, address)
}

func (n *network) isSilent(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.silent[from] || n.silent[to] || n.silentPairs[[2]string{from, to}]
}

func (n *network) find(address string) *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.processes[address]
	if p == nil || p.alive.Err() != nil {
		return nil
	}
	return p
}

// transport carries the requests of one process.
type transport struct {
	network *network
	from    string
	alive   context.Context
}

// client returns an HTTP client of the process at an address.
func (n *network) client(alive context.Context, from string) *http.Client {
	return &http.Client{Transport: transport{network: n, from: from, alive: alive}}
}

func (t transport) RoundTrip(req *http.Request) (*http.Response, error) {
	to := req.URL.Host
	if t.network.isSilent(t.from, to) {
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	time.Sleep(networkDelay)
	p := t.network.find(to)
	if p == nil || t.alive.Err() != nil {
		return nil, &net.OpError{Op: "dial", Err: errConnection}
	}
	ctx, cancel := context.WithCancelCause(req.Context())
	stops := []func() bool{
		context.AfterFunc(t.alive, func() { cancel(errConnection) }),
		context.AfterFunc(p.alive, func() { cancel(errConnection) }),
	}
	reader, writer := io.Pipe()
	w := &response{
		transport: t,
		to:        to,
		ctx:       ctx,
		header:    http.Header{},
		body:      writer,
		started:   make(chan struct{}),
	}
	go func() {
		w.serve(p.handler, req.Clone(ctx))
		for _, stop := range stops {
			stop()
		}
		cancel(nil)
	}()
	context.AfterFunc(ctx, func() { _ = writer.CloseWithError(errConnection) })
	select {
	case <-w.started:
	case <-ctx.Done():
		if !w.hasStarted() {
			return nil, context.Cause(ctx)
		}
	}
	if w.status == 0 {
		return nil, errConnection
	}
	return &http.Response{
		StatusCode: w.status, Header: w.sent, Body: reader, ContentLength: -1, Request: req,
		Proto: "HTTP/2.0", ProtoMajor: 2, Trailer: w.trailer,
	}, nil
}

// response is the server's end of one request.
type response struct {
	transport transport
	to        string
	ctx       context.Context
	header    http.Header
	sent      http.Header
	trailer   http.Header
	body      *io.PipeWriter
	status    int
	once      sync.Once
	started   chan struct{}
}

func (r *response) serve(handler http.Handler, req *http.Request) {
	defer func() {
		if failure := recover(); failure != nil {
			_ = r.body.CloseWithError(errConnection)
			r.once.Do(func() { close(r.started) })
			return
		}
		if r.ctx.Err() == nil {
			r.WriteHeader(http.StatusOK)
			_ = r.body.Close()
		}
	}()
	if req.Body == nil {
		req.Body = http.NoBody
	}
	handler.ServeHTTP(r, req)
	_ = req.Body.Close()
}

// hasStarted reports whether the answer has begun, also when the server has
// finished since.
func (r *response) hasStarted() bool {
	select {
	case <-r.started:
		return true
	default:
		return false
	}
}

func (r *response) Header() http.Header { return r.header }

func (r *response) WriteHeader(status int) {
	r.once.Do(func() {
		r.status = status
		r.sent = r.header.Clone()
		close(r.started)
	})
}

// Write blocks while the connection is silent, as a sender would without acknowledgements.
func (r *response) Write(data []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	if r.transport.network.isSilent(r.transport.from, r.to) {
		<-r.ctx.Done()
		return 0, errConnection
	}
	return r.body.Write(data)
}

func (r *response) Flush() { r.WriteHeader(http.StatusOK) }

// memoryLinks are links between hosts over the network of a test.
type memoryLinks struct {
	client *http.Client
}

func (l memoryLinks) Client(address string) persimwire.PeerServiceClient {
	return persimwire.NewPeerServiceClient(l.client, "http://"+address)
}

func (l memoryLinks) Reset(string) {}
