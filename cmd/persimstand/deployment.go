package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimplatform"
	"persimmonport.example/persimsettings"
	"persimmonport.example/persimstand"
	"persimmonport.example/platform"
)

// Parameters of the example deployment that the commands below create.
const (
	exampleService      = "back"
	exampleOrganisation = "consorzio"
	exampleTimeout      = 2 * time.Second
	exampleAttempts     = 2
)

func platformFlag() cli.Flag {
	return &cli.StringFlag{Name: "platform", Usage: "`ADDRESS` of the stand-in for the platform", Required: true}
}

// upstreamCommand runs a back end that registers itself with the platform.
func upstreamCommand() *cli.Command {
	return &cli.Command{
		Name: "upstream",
		Flags: []cli.Flag{
			listenFlag(), platformFlag(),
			&cli.StringFlag{Name: "id", Usage: "register as `NAME`", Required: true},
			&cli.StringFlag{Name: "centre", Usage: "`NAME` of the data centre", Value: "catania"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			id := cmd.String("id")
			spec, err := platform.EncodeUpstream(persimcatalog.Upstream{
				Incarnation: persimcatalog.Incarnation{ID: id, Born: time.Now().UnixMilli()},
				Address:     cmd.String("listen"), Service: exampleService, Centre: cmd.String("centre"), Slots: persimstand.UpstreamSlots,
			})
			if err != nil {
				return err
			}
			if err := putObject(ctx, cmd.String("platform"), platform.UpstreamKind, id, spec); err != nil {
				return err
			}
			return listenAndServe(cmd, persimstand.NewUpstream(id, func(request string, r *http.Request) {
				fmt.Println("run", request, r.Method, r.URL.Path)
			}))
		},
	}
}

// configureCommand stores a configuration with one route of each kind.
func configureCommand() *cli.Command {
	return &cli.Command{
		Name: "configure",
		Flags: []cli.Flag{
			platformFlag(),
			&cli.StringFlag{Name: "host", Usage: "serve callers of host `NAME`", Value: "demo.example"},
			&cli.StringFlag{Name: "key", Usage: "accept the API key `KEY`", Required: true},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			route := func(prefix string, kind persimcatalog.Kind) persimcatalog.Route {
				return persimcatalog.Route{
					Name: prefix, Host: cmd.String("host"), Prefix: prefix, Kind: kind, Timeout: exampleTimeout, MaxAttempts: exampleAttempts,
					Splits: []persimcatalog.Split{{Service: exampleService, Weight: 1}},
				}
			}
			spec, err := platform.EncodeCatalogue(persimcatalog.New(1,
				[]persimcatalog.Route{
					route("/read/", persimcatalog.KindIdempotent), route("/order/", persimcatalog.KindNonIdempotent),
					route(persimstand.StreamPath, persimcatalog.KindStreaming),
				},
				[]persimcatalog.Service{{Name: exampleService}},
				[]persimcatalog.Organisation{{Name: exampleOrganisation, Keys: []string{cmd.String("key")}}},
				persimcatalog.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20}))
			if err != nil {
				return err
			}
			return putObject(ctx, cmd.String("platform"), platform.ConfigKind, platform.ConfigName, spec)
		},
	}
}

// settingsCommand prints the settings of an entry host on a loopback address.
func settingsCommand() *cli.Command {
	return &cli.Command{
		Name: "settings",
		Flags: []cli.Flag{
			platformFlag(),
			&cli.StringFlag{Name: "name", Usage: "`NAME` of the host", Required: true},
			&cli.StringFlag{Name: "ip", Usage: "listen on `ADDRESS`", Required: true},
			&cli.IntFlag{Name: "port", Usage: "serve callers on `PORT`, and readiness checks of the load balancer on the next port", Required: true},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			at := func(offset int) string {
				return net.JoinHostPort(cmd.String("ip"), strconv.Itoa(cmd.Int("port")+offset))
			}
			settings, err := platform.EncodeSettings(persimsettings.Deployment{
				Host: cmd.String("name"), IP: cmd.String("ip"), Centre: "catania",
				CallerAddress: at(0), ReadyAddress: at(1), PeerPort: cmd.Int("port") + 3,
				StoreAddress: cmd.String("platform"), DutiesAddress: cmd.String("platform"), ReportsUsage: true,
				Bounds: exampleBounds(),
			})
			if err != nil {
				return err
			}
			_, err = os.Stdout.Write(settings)
			return err
		},
	}
}

func exampleBounds() persimsettings.Bounds {
	return persimsettings.Bounds{
		ShutdownGrace: 8 * time.Second, UpstreamDrain: 3 * time.Second, ConfigApply: 3 * time.Second, KeyRevocation: 5 * time.Second,
		Lease: 3 * time.Second, Contact: 4 * time.Second, UsageWindow: 5 * time.Second, UsageLate: 10 * time.Second,
		RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 60, QuotaWindow: 8 * time.Second,
	}
}

// putObject writes an object to the platform.
func putObject(ctx context.Context, address, kind, name string, spec []byte) error {
	objects, cleanup := persimplatform.NewObjects(address)
	defer cleanup()
	_, err := objects.Write(ctx, kind, platform.Object{Name: name, Spec: spec})
	return err
}
