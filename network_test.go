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

// networkDelay is the time that a request takes to reach its destination.
const networkDelay = 500 * time.Microsecond

var errConnectionLost = errors.New("connection lost")

// network connects the processes of a test in memory, so that they run in virtual time.
type network struct {
	mu        sync.Mutex
	processes map[string]*process
	// partitioned holds the addresses whose packets are dropped in both directions.
	partitioned map[string]bool
	// blocked holds pairs of addresses. Packets from the first to the second are dropped.
	blocked map[[2]string]bool
}

// process is the server at one address.
type process struct {
	handler http.Handler
	ctx     context.Context
}

func newNetwork() *network {
	return &network{
		processes:   map[string]*process{},
		partitioned: map[string]bool{},
		blocked:     map[[2]string]bool{},
	}
}

// listen serves a handler at an address until the context ends.
func (n *network) listen(ctx context.Context, address string, handler http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.processes[address] = &process{handler: handler, ctx: ctx}
}

// partition drops all packets from and to an address, also on open connections.
func (n *network) partition(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[address] = true
}

// block drops all packets from one address to another.
func (n *network) block(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]string{from, to}] = true
}

// heal ends the partition of an address.
func (n *network) heal(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.partitioned, address)
}

func (n *network) isBlocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned[from] || n.partitioned[to] || n.blocked[[2]string{from, to}]
}

func (n *network) find(address string) *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.processes[address]
	if p == nil || p.ctx.Err() != nil {
		return nil
	}
	return p
}

// transport sends the requests of one process over the network.
type transport struct {
	network *network
	from    string
	ctx     context.Context
}

// client returns an HTTP client for the process at an address.
func (n *network) client(ctx context.Context, from string) *http.Client {
	return &http.Client{Transport: transport{network: n, from: from, ctx: ctx}}
}

func (t transport) RoundTrip(req *http.Request) (*http.Response, error) {
	to := req.URL.Host
	if t.network.isBlocked(t.from, to) {
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	time.Sleep(networkDelay)
	p := t.network.find(to)
	if p == nil || t.ctx.Err() != nil {
		return nil, &net.OpError{Op: "dial", Err: errConnectionLost}
	}
	ctx, cancel := context.WithCancelCause(req.Context())
	stops := []func() bool{
		context.AfterFunc(t.ctx, func() { cancel(errConnectionLost) }),
		context.AfterFunc(p.ctx, func() { cancel(errConnectionLost) }),
	}
	reader, writer := io.Pipe()
	w := &pipeResponseWriter{
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
	context.AfterFunc(ctx, func() { _ = writer.CloseWithError(errConnectionLost) })
	select {
	case <-w.started:
	case <-ctx.Done():
		if !w.hasStarted() {
			return nil, context.Cause(ctx)
		}
	}
	if w.status == 0 {
		return nil, errConnectionLost
	}
	return &http.Response{
		StatusCode: w.status, Header: w.sent, Body: reader, ContentLength: -1, Request: req,
		Proto: "HTTP/2.0", ProtoMajor: 2, Trailer: w.trailer,
	}, nil
}

// pipeResponseWriter writes the response to one request into a pipe.
type pipeResponseWriter struct {
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

func (r *pipeResponseWriter) serve(handler http.Handler, req *http.Request) {
	defer func() {
		if panicked := recover(); panicked != nil {
			_ = r.body.CloseWithError(errConnectionLost)
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

// hasStarted reports whether the response has begun, also if the server has finished
// in the meantime.
func (r *pipeResponseWriter) hasStarted() bool {
	select {
	case <-r.started:
		return true
	default:
		return false
	}
}

func (r *pipeResponseWriter) Header() http.Header { return r.header }

func (r *pipeResponseWriter) WriteHeader(status int) {
	r.once.Do(func() {
		r.status = status
		r.sent = r.header.Clone()
		close(r.started)
	})
}

// Write blocks while packets are dropped, like a sender that gets no acknowledgements.
func (r *pipeResponseWriter) Write(data []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	if r.transport.network.isBlocked(r.transport.from, r.to) {
		<-r.ctx.Done()
		return 0, errConnectionLost
	}
	return r.body.Write(data)
}

func (r *pipeResponseWriter) Flush() { r.WriteHeader(http.StatusOK) }

// memoryLinks implements Links over the in-memory network.
type memoryLinks struct {
	client *http.Client
}

func (l memoryLinks) Client(address string) persimwire.PeerServiceClient {
	return persimwire.NewPeerServiceClient(l.client, "http://"+address)
}

func (l memoryLinks) Reset(string) {}
