package persimsoak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"persimmonport.example/persimsettings"
	"persimmonport.example/persimstand"
	"persimmonport.example/platform"
)

const (
	healthCheckInterval = 500 * time.Millisecond
	listenTimeout       = 2 * time.Second
	callersPort         = 8360
	readyPort           = 8365
	peersPort           = 7500
	// hostMemory is the memory of a host, in bytes.
	hostMemory = 284 << 20
)

// interval is a period with a fault or a planned stop; until is zero while it lasts.
type interval struct{ from, until time.Time }

func (i interval) overlaps(from, until time.Time) bool {
	return i.from.Before(until) && (i.until.IsZero() || i.until.After(from))
}

// host is the process of an entry host with its link to the store.
type host struct {
	name          string
	ip            string
	callerAddress string
	program       string
	logDir        string
	store         *persimstand.Store
	storeProxy    *proxy
	cleanups      []func()
	// rollouts enables rollouts in the settings.
	rollouts bool

	// lifecycleMu serializes starts and stops of the process.
	lifecycleMu sync.Mutex
	// onUnexpectedExit is called when the process exits without being stopped.
	onUnexpectedExit func(host string)

	mu        sync.Mutex
	process   *exec.Cmd
	exited    chan struct{}
	shouldRun bool
	ready     bool
	// processFaults holds unplanned interruptions of the process, storeFaults those of its
	// use of the store, plannedStops planned stops.
	processFaults []interval
	storeFaults   []interval
	plannedStops  []interval
}

func newHost(index int, ip, program, logDir string, store *persimstand.Store, onUnexpectedExit func(string)) (*host, error) {
	h := &host{
		name: fmt.Sprintf("host-%d", index), ip: ip,
		program: program, logDir: logDir, store: store, onUnexpectedExit: onUnexpectedExit,
	}
	h.callerAddress = fmt.Sprintf("%s:%d", h.ip, callersPort)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: store.Handler(h.name), ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	storeProxy, closeProxy, err := newProxy(listener.Addr().String())
	h.storeProxy = storeProxy
	h.cleanups = []func(){closeProxy, func() { _ = server.Close() }}
	return h, err
}

// bounds returns the time bounds and limits that the soak test checks.
func bounds() persimsettings.Bounds {
	return persimsettings.Bounds{
		ShutdownGrace: 8 * time.Second, UpstreamDrain: 3 * time.Second, ConfigApply: 3 * time.Second, KeyRevocation: 5 * time.Second,
		Lease: 3 * time.Second, Contact: 4 * time.Second, UsageWindow: 5 * time.Second, UsageLate: 10 * time.Second,
		RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 60, QuotaWindow: 8 * time.Second,
		QuotaOvershoot: 0.1, QuotaSlack: 1000,
		ExposureShare: 0.1, ExposureSlack: 50, Rollback: 5 * time.Second, Disturbance: 6 * time.Second,
	}
}

func (h *host) deployment() persimsettings.Deployment {
	at := func(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }
	return persimsettings.Deployment{
		Host: h.name, IP: h.ip, Centre: centreName, CallerAddress: h.callerAddress, ReadyAddress: at(readyPort),
		PeerPort: peersPort, StoreAddress: h.storeProxy.address(), DutiesAddress: h.storeProxy.address(),
		ReportsUsage: true, OrdersUpstreams: true, MemoryBytes: hostMemory, Bounds: bounds(), Rollouts: h.rollouts,
	}
}

// start starts the process; a restarted process appends to the same log file.
func (h *host) start() error {
	settings, err := platform.EncodeSettings(h.deployment())
	if err != nil {
		return err
	}
	path := filepath.Join(h.logDir, h.name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.logDir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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
	h.process, h.exited, h.shouldRun = process, exited, true
	h.mu.Unlock()
	go func() {
		_ = process.Wait()
		close(exited)
		h.mu.Lock()
		unexpected := h.shouldRun && h.process == process
		h.ready = false
		h.mu.Unlock()
		if unexpected {
			h.onUnexpectedExit(h.name)
		}
	}()
	return nil
}

// signal sends a signal to the process, if there is one.
func (h *host) signal(signal syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil && h.shouldRun {
		_ = h.process.Process.Signal(signal)
	}
}

// mostMemory returns the largest resident memory that the running process has had, in
// bytes, or zero if none runs.
func (h *host) mostMemory() (int64, error) {
	h.mu.Lock()
	process, shouldRun := h.process, h.shouldRun
	h.mu.Unlock()
	if process == nil || !shouldRun {
		return 0, nil
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kilobytes, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	most, err := strconv.ParseInt(kilobytes, 10, 64)
	return most << 10, err
}

// awaitListening waits until the process accepts connections. Before it has installed
// its signal handlers, a signal terminates it.
func (h *host) awaitListening() {
	for end := time.Now().Add(listenTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		conn, err := net.DialTimeout("tcp4", h.callerAddress, dialTimeout)
		if err == nil {
			_ = conn.Close()
			return
		}
	}
}

// terminate sends a signal that ends the process and waits for its exit. A process that
// outlives the grace period is killed.
func (h *host) terminate(signal syscall.Signal) {
	h.mu.Lock()
	process, exited, shouldRun := h.process, h.exited, h.shouldRun
	h.shouldRun = false
	h.mu.Unlock()
	if process == nil || !shouldRun {
		return
	}
	_ = process.Process.Signal(signal)
	select {
	case <-exited:
	case <-time.After(bounds().ShutdownGrace):
		_ = process.Process.Kill()
		<-exited
	}
}

func (h *host) close() {
	h.lifecycleMu.Lock()
	defer h.lifecycleMu.Unlock()
	h.signal(syscall.SIGCONT)
	h.terminate(syscall.SIGKILL)
	for _, cleanup := range h.cleanups {
		cleanup()
	}
}

// pollReady polls the readiness endpoint of the host, as the load balancer does.
func (h *host) pollReady(stop <-chan struct{}) {
	client := &http.Client{Timeout: healthCheckInterval}
	ticker := time.NewTicker(healthCheckInterval)
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

// inRotation reports whether the load balancer sends new connections to the host.
func (h *host) inRotation() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ready
}

// beginInterval adds an interval that starts now and returns the function that ends it.
func (h *host) beginInterval(list *[]interval) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	index := len(*list)
	*list = append(*list, interval{from: time.Now()})
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		(*list)[index].until = time.Now()
	}
}

// faultFree reports whether there was no fault between two moments, nor in the contact
// bound before the first. If includeStops is set, planned stops count as faults.
func (h *host) faultFree(from, until time.Time, includeStops bool) bool {
	if includeStops && h.overlaps(&h.plannedStops, from, until) {
		return false
	}
	return !h.overlaps(&h.processFaults, from, until) && !h.overlaps(&h.storeFaults, from, until)
}

// overlaps reports whether an interval of a list overlaps the time between two moments
// or the contact bound before the first.
func (h *host) overlaps(list *[]interval, from, until time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(*list, func(i interval) bool { return i.overlaps(from.Add(-bounds().Contact), until) })
}
