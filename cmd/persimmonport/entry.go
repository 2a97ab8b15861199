package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"persimmonport.example/persimentry"
	"persimmonport.example/persimlog"
	"persimmonport.example/persimsettings"
	"persimmonport.example/platform"
)

const (
	// metricsPort is the port of the metrics endpoint, as set in the deploy file.
	metricsPort = 9464
	// balancerLag is how long the load balancer may keep sending new connections after
	// the host stops being ready: two health checks a second apart, and some delay. Requests
	// that come later than 3 s after the signal could not use the rest of the grace period.
	balancerLag = 2800 * time.Millisecond
	// exitMargin is the time reserved for the exit before the process is killed.
	exitMargin = 700 * time.Millisecond
	// abortTimeout is the part of exitMargin in which requests that are still in progress
	// are answered with an error.
	abortTimeout = 300 * time.Millisecond
	// settingsPollInterval is how often the settings file is checked for changes
	// without a signal.
	settingsPollInterval = 2 * time.Second
	// entryHeaderTimeout and entryMaxHeaderBytes apply until a configuration with
	// stricter limits is loaded.
	entryHeaderTimeout  = 10 * time.Second
	entryMaxHeaderBytes = 64 << 10
	// operatorMaxHeaderBytes limits heads of readiness checks and of requests for metrics.
	operatorMaxHeaderBytes = 8 << 10
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run the entry host on a machine of the platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "read the platform's settings from `FILE`", Sources: cli.EnvVars(platform.SettingsVariable)},
			&cli.IntFlag{Name: "verbose", Usage: "log up to `LEVEL`"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			setVerbosity(cmd.Int("verbose"))
			return runEntry(ctx, cmd.String("settings"))
		},
	}
}

// logToStdout writes the log to standard output through a bounded queue.
func logToStdout() func() {
	sink, flush := persimlog.New(os.Stdout)
	klog.LogToStderr(false)
	klog.SetOutput(sink)
	return func() {
		klog.Flush()
		flush()
	}
}

func readDeployment(path string) (persimsettings.Deployment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return persimsettings.Deployment{}, trace.ConvertSystemError(err)
	}
	return platform.DecodeSettings(data)
}

func runEntry(ctx context.Context, path string) error {
	// Signals are caught first, since an unhandled signal terminates the process. Those to stop
	// have a channel of their own: a full one drops further signals.
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	flush := logToStdout()
	defer flush()
	deployment, err := readDeployment(path)
	if err != nil {
		return trace.Wrap(err)
	}
	limitMemory(deployment.MemoryBytes)
	entry, cleanup, err := persimentry.New(deployment)
	if err != nil {
		return trace.Wrap(err)
	}
	defer cleanup()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	servers, err := startEntryServers(deployment, entry)
	if err != nil {
		return trace.Wrap(err)
	}
	klog.InfoS("start", "host", deployment.Host, "centre", deployment.Centre, "callers", deployment.CallerAddress, "version", version)
	go func() { _ = entry.Run(ctx) }()
	go watchSettings(ctx, path)
	awaitStop(stop, reload, func() { reloadSettings(path) })
	stopEntry(ctx, entry, servers, deployment)
	return nil
}

// awaitStop calls onReload for signals to reload until there is one to stop. Signals to reload
// that come while it runs count as one.
func awaitStop(stop, reload <-chan os.Signal, onReload func()) {
	for {
		select {
		case <-stop:
			return
		case <-reload:
			onReload()
		}
	}
}

// memoryLimitShare is the share of the host's memory above which the runtime collects garbage
// more often; the rest is for what it doesn't count.
const memoryLimitShare = 0.7

// limitMemory sets the memory limit of the runtime, given the memory of the host, which is
// zero if it isn't known.
func limitMemory(memoryBytes int64) {
	if memoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(memoryBytes) * memoryLimitShare))
	}
}

// entryServers holds the HTTP servers of an entry host: the one for callers, and those
// for readiness and metrics.
type entryServers struct {
	callers  *http.Server
	internal []*http.Server
}

func startEntryServers(deployment persimsettings.Deployment, entry persimentry.Entry) (*entryServers, error) {
	servers := &entryServers{callers: &http.Server{MaxHeaderBytes: entryMaxHeaderBytes}}
	if err := listenAndServe(deployment.CallerAddress, servers.callers, entry.ServeCallers); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", entry.MetricsHandler())
	metrics := &http.Server{Handler: mux, ReadHeaderTimeout: entryHeaderTimeout, MaxHeaderBytes: operatorMaxHeaderBytes}
	ready := &http.Server{Handler: entry.ReadyHandler(), ReadHeaderTimeout: entryHeaderTimeout, MaxHeaderBytes: operatorMaxHeaderBytes}
	servers.internal = []*http.Server{ready, metrics}
	if err := listenAndServe(deployment.ReadyAddress, ready, entry.ServeOperators); err != nil {
		return nil, err
	}
	return servers, listenAndServe(net.JoinHostPort(deployment.IP, strconv.Itoa(metricsPort)), metrics, entry.ServeOperators)
}

// listenAndServe listens on an address and lets serve handle its connections.
func listenAndServe(address string, server *http.Server, serve func(*http.Server, net.Listener) error) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	go func() {
		if err := serve(server, listener); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(nil, "listener ended", "address", address, "error", persimlog.ErrorText(err))
		}
	}()
	return nil
}

// stopEntry keeps serving while the load balancer may still send new connections, then
// waits for the requests in progress, at most until exitMargin before the end of the
// grace period. Those that remain are ended with an error; later ones that might be among
// them are refused.
func stopEntry(ctx context.Context, entry persimentry.Entry, servers *entryServers, deployment persimsettings.Deployment) {
	start := time.Now()
	klog.InfoS("stop", "inFlight", entry.InFlight())
	entry.BeginDrain()
	releaseCtx, cancel := context.WithTimeout(ctx, time.Second)
	entry.ReleaseLease(releaseCtx)
	cancel()
	notice := deployment.Bounds.ShutdownGrace - exitMargin
	time.Sleep(time.Until(start.Add(min(balancerLag, notice*3/4))))
	deadline := start.Add(notice)
	drainCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := entry.Drain(drainCtx); err != nil {
		klog.InfoS("stop: requests are ended", "inFlight", entry.InFlight(), "error", persimlog.ErrorText(err))
		abortRequests(ctx, entry)
	}
	for _, server := range append(servers.internal, servers.callers) {
		_ = server.Close()
	}
	klog.InfoS("stopped", "took", time.Since(start))
}

// abortRequests ends the requests in progress and waits until their callers are answered.
func abortRequests(ctx context.Context, entry persimentry.Entry) {
	ctx, cancel := context.WithTimeout(ctx, abortTimeout)
	defer cancel()
	entry.AbortRequests()
	if err := entry.Drain(ctx); err != nil {
		klog.InfoS("stop: connections are cut off", "inFlight", entry.InFlight(), "error", persimlog.ErrorText(err))
	}
}

func reloadSettings(path string) {
	deployment, err := readDeployment(path)
	if err != nil {
		klog.ErrorS(nil, "settings: not reloaded", "error", persimlog.ErrorText(err))
		return
	}
	klog.InfoS("settings reloaded", "host", deployment.Host)
}

// watchSettings reloads the settings when the file changes without a signal.
func watchSettings(ctx context.Context, path string) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	var lastModified time.Time
	for {
		if info, err := os.Stat(path); err == nil {
			if !lastModified.IsZero() && info.ModTime() != lastModified {
				reloadSettings(path)
			}
			lastModified = info.ModTime()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
