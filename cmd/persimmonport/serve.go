package main

import (
	"context"
	"crypto/tls"
	"flag"
	"net"
	"net/http"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"persimmonport.example/persimkeys"
	"persimmonport.example/persimmetric"
	"persimmonport.example/persimmonport"
	"persimmonport.example/persimpeer"
	"persimmonport.example/persimplatform"
	"persimmonport.example/persimsettings"
	"persimmonport.example/persimupstream"
)

const (
	headerTimeout     = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	keyReloadInterval = 2 * time.Second
	maxHeaderBytes    = 16 << 10
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run the entry host",
		Flags: []cli.Flag{
			settingsFlag(),
			&cli.IntFlag{Name: "verbose", Usage: "log up to `LEVEL`"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			setVerbosity(cmd.Int("verbose"))
			settings, err := loadSettings(cmd.String("settings"))
			if err != nil {
				return err
			}
			return serve(ctx, settings)
		},
	}
}

func setVerbosity(level int) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("v", strconv.Itoa(level))
}

// components holds a host and the parts that serve needs beside it.
type components struct {
	host    persimmonport.Host
	keys    persimkeys.Source
	links   persimpeer.Links
	cleanup []func()
}

func (c *components) close() {
	for i := len(c.cleanup) - 1; i >= 0; i-- {
		c.cleanup[i]()
	}
}

func newComponents(settings persimsettings.Settings) (*components, error) {
	keys, err := persimkeys.NewSource(settings.Keys.Authority, persimkeys.HostFiles{
		Cert: settings.Keys.Cert,
		Key:  settings.Keys.Key,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	links, closeLinks := persimpeer.New(keys, persimpeer.WithIdleTimeout(settings.Timeouts.Peer.Std()))
	platform, closePlatform := persimplatform.New(settings.Platform.URL,
		persimplatform.WithCallTimeout(settings.Timeouts.Store.Std()),
		persimplatform.WithRates(settings.Platform.ReadsPerSecond, settings.Platform.WritesPerSecond),
		persimplatform.WithToken(settings.Platform.Token))
	engine, closeEngine := persimupstream.NewEngine(
		persimupstream.WithFirstTokenTimeout(settings.Timeouts.FirstToken.Std()),
		persimupstream.WithSilenceTimeout(settings.Timeouts.TokenGap.Std()))
	service, closeService := persimupstream.NewService()
	metrics, closeMetrics := persimmetric.New(settings.Name)
	host, closeHost, err := persimmonport.New(settings,
		persimmonport.WithVersion(version),
		persimmonport.WithLinks(links),
		persimmonport.WithPlatform(platform),
		persimmonport.WithEngine(engine),
		persimmonport.WithService(service),
		persimmonport.WithMetrics(metrics))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	cleanup := []func(){closeMetrics, closeService, closeEngine, closePlatform, closeLinks, closeHost}
	return &components{host: host, keys: keys, links: links, cleanup: cleanup}, nil
}

func serve(ctx context.Context, settings persimsettings.Settings) error {
	c, err := newComponents(settings)
	if err != nil {
		return trace.Wrap(err)
	}
	defer c.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	terminated, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(terminated, c.host.Drain)
	serverErrors := make(chan error, 3)
	go func() { serverErrors <- c.links.Serve(ctx, settings.Listen.Peers, c.host.Peers()) }()
	callers, err := listenCallers(settings)
	if err != nil {
		return trace.Wrap(err)
	}
	go func() { serverErrors <- serveHTTP(ctx, callers, c.host.Callers()) }()
	operators, err := net.Listen("tcp", settings.Listen.Operators)
	if err != nil {
		return trace.Wrap(err)
	}
	go func() { serverErrors <- serveHTTP(ctx, operators, c.host.Operators()) }()
	go watchKeys(ctx, c.keys)
	hostDone := make(chan error, 1)
	go func() { hostDone <- c.host.Run(ctx) }()
	klog.Infof("serve: host %s of %s is up, version %s", settings.Name, settings.Centre, version)
	select {
	case err := <-hostDone:
		return trace.Wrap(err)
	case err := <-serverErrors:
		return trace.Wrap(err)
	}
}

func listenCallers(settings persimsettings.Settings) (net.Listener, error) {
	listener, err := net.Listen("tcp", settings.Listen.Callers)
	if err != nil || settings.Callers.Cert == "" {
		return listener, trace.Wrap(err)
	}
	cert, err := tls.LoadX509KeyPair(settings.Callers.Cert, settings.Callers.Key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	config := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{cert},
		NextProtos:   []string{"h2", "http/1.1"},
	}
	return tls.NewListener(listener, config), nil
}

// serveHTTP serves HTTP/1 and HTTP/2, with or without TLS.
func serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2:             &http.HTTP2Config{SendPingTimeout: headerTimeout, PingTimeout: headerTimeout},
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if ctx.Err() != nil {
		return nil
	}
	return trace.Wrap(err)
}

// watchKeys reloads rotated certificates.
func watchKeys(ctx context.Context, keys persimkeys.Source) {
	ticker := time.NewTicker(keyReloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		changed, err := keys.Reload()
		if err != nil {
			klog.Errorf("keys: reload failed, the former certificates stay in force: %v", err)
		}
		if changed {
			klog.Infof("keys: certificates reloaded")
		}
	}
}
