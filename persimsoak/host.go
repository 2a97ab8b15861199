package persimsoak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"persimmonport.example/persimsettings"
	"persimmonport.example/persimstand"
	"persimmonport.example/platform"
)

const (
	readyInterval = 500 * time.Millisecond
	listenLimit   = 2 * time.Second
	callersPort   = 8360
	readyPort     = 8365
	peersPort     = 7500
)

// A span is a time in which something was not as it should be.
type span struct{ from, until time.Time }

// A host is the process of an entry host with its way to the store.
type host struct {
	name    string
	ip      string
	callers string
	program string
	folder  string
	store   *persimstand.Store
	link    *proxy
	done    []func()

	// turn is held by whoever starts or stops the process.
	turn sync.Mutex
	// ended reports how often the process ended by itself.
	ended func(host string)

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	wanted  bool
	ready   bool
	// troubles are unplanned, stops are planned.
	troubles []span
	stops    []span
}

func newHost(index int, ip, program, folder string, store *persimstand.Store, ended func(string)) (*host, error) {
	h := &host{
		name: fmt.Sprintf("host-%d", index), ip: ip,
		program: program, folder: folder, store: store, ended: ended,
	}
	h.callers = fmt.Sprintf("%s:%d", h.ip, callersPort)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: store.Handler(h.name), ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	link, closeLink, err := newProxy(listener.Addr().String())
	h.link = link
	h.done = []func(){closeLink, func() { _ = server.Close() }}
	return h, err
}

// bounds are those of the promises that the soak checks.
func bounds() persimsettings.Bounds {
	return persimsettings.Bounds{
		Grace: 8 * time.Second, Drain: 3 * time.Second, Apply: 3 * time.Second, Revoke: 5 * time.Second,
		Lease: 3 * time.Second, Contact: 4 * time.Second, UsageWindow: 5 * time.Second, UsageLate: 10 * time.Second,
		RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 60, QuotaWindow: 8 * time.Second,
		QuotaOvershoot: 0.1, QuotaSlack: 1000,
	}
}

func (h *host) deployment() persimsettings.Deployment {
	at := func(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }
	return persimsettings.Deployment{
		Host: h.name, IP: h.ip, Centre: centreName, Callers: h.callers, Ready: at(readyPort),
		PeerPort: peersPort, Store: h.link.address(), Duties: h.link.address(),
		ReportsUsage: true, OrdersUpstreams: true, Bounds: bounds(),
	}
}

// start starts the process; its log goes on in the same file.
func (h *host) start() error {
	settings, err := platform.EncodeSettings(h.deployment())
	if err != nil {
		return err
	}
	path := filepath.Join(h.folder, h.name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	process := exec.Command(h.program, "entry", "--settings", path)
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.process, h.exited, h.wanted = process, exited, true
	h.mu.Unlock()
	go func() {
		_ = process.Wait()
		close(exited)
		h.mu.Lock()
		alone := h.wanted && h.process == process
		h.ready = false
		h.mu.Unlock()
		if alone {
			h.ended(h.name)
		}
	}()
	return nil
}

// signal sends a signal to the process, if there is one.
func (h *host) signal(signal syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil && h.wanted {
		_ = h.process.Process.Signal(signal)
	}
}

// awaitListening waits for a process that has just started: before its first line
// of code runs, the kernel ends it at any signal.
func (h *host) awaitListening() {
	for end := time.Now().Add(listenLimit); time.Now().Before(end); time.Sleep(tick) {
		conn, err := net.DialTimeout("tcp4", h.callers, dialTimeout)
		if err == nil {
			_ = conn.Close()
			return
		}
	}
}

// end sends a signal that ends the process, waits for that and kills it after the
// grace.
func (h *host) end(signal syscall.Signal) {
	h.mu.Lock()
	process, exited, wanted := h.process, h.exited, h.wanted
	h.wanted = false
	h.mu.Unlock()
	if process == nil || !wanted {
		return
	}
	_ = process.Process.Signal(signal)
	select {
	case <-exited:
	case <-time.After(bounds().Grace):
		_ = process.Process.Kill()
		<-exited
	}
}

func (h *host) close() {
	h.turn.Lock()
	defer h.turn.Unlock()
	h.signal(syscall.SIGCONT)
	h.end(syscall.SIGKILL)
	for _, done := range h.done {
		done()
	}
}

// follow asks the host whether it is ready, as the balancer does.
func (h *host) follow(stop <-chan struct{}) {
	client := &http.Client{Timeout: readyInterval}
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/ready", h.ip, readyPort))
		ready := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		h.mu.Lock()
		h.ready = ready
		h.mu.Unlock()
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

// inRotation reports whether the balancer sends new connections.
func (h *host) inRotation() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ready
}

// disturb records trouble that begins now and returns what ends it.
func (h *host) disturb(list *[]span) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	index := len(*list)
	*list = append(*list, span{from: time.Now()})
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		(*list)[index].until = time.Now()
	}
}

// undisturbed reports whether there was no trouble from the contact time before a
// moment to another one. With stops, planned ones count as trouble.
func (h *host) undisturbed(from, until time.Time, stops bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.troubles
	if stops {
		list = append(append([]span(nil), list...), h.stops...)
	}
	from = from.Add(-bounds().Contact)
	for _, s := range list {
		if s.from.Before(until) && (s.until.IsZero() || s.until.After(from)) {
			return false
		}
	}
	return true
}
