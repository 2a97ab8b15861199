// Command persimstand runs a stand-in of an outside system.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"persimmonport.example/persimstand"
)

const headerTimeout = 5 * time.Second

func main() {
	root := &cli.Command{
		Name:  "persimstand",
		Usage: "run a stand-in of the platform, an engine, a service or an upstream",
		Commands: []*cli.Command{
			platformCommand(), engineCommand(), serviceCommand(),
			upstreamCommand(), configureCommand(), settingsCommand(),
		},
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "persimstand:", err)
		os.Exit(1)
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Usage: "listen on `ADDRESS`", Required: true}
}

func incarnationFlag() cli.Flag {
	return &cli.StringFlag{Name: "incarnation", Usage: "report this `NAME` of the process", Value: "1"}
}

func listen(cmd *cli.Command, handler http.Handler) error {
	server := &http.Server{Addr: cmd.String("listen"), Handler: handler, ReadHeaderTimeout: headerTimeout}
	return server.ListenAndServe()
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name: "platform",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.DurationFlag{Name: "lag", Usage: "show changes of hosts in the list after `TIME`"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return listen(cmd, persimstand.NewPlatform(cmd.Duration("lag")).Handler())
		},
	}
}

func engineCommand() *cli.Command {
	defaults := persimstand.DefaultEngineConfig()
	return &cli.Command{
		Name: "engine",
		Flags: []cli.Flag{
			listenFlag(),
			incarnationFlag(),
			&cli.IntFlag{Name: "slots", Value: defaults.Slots, Usage: "run `N` streams together"},
			&cli.DurationFlag{Name: "gap", Value: defaults.Gap, Usage: "take `TIME` for each token"},
			&cli.DurationFlag{Name: "prefill", Value: defaults.Prefill, Usage: "take `TIME` for each prompt token"},
			&cli.BoolFlag{Name: "fence", Usage: "refuse orders with old fencing numbers"},
			&cli.StringFlag{Name: "salt", Usage: "make the text depend on `TEXT`"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			config := defaults
			config.Incarnation = cmd.String("incarnation")
			config.Slots = cmd.Int("slots")
			config.Gap = cmd.Duration("gap")
			config.Prefill = cmd.Duration("prefill")
			config.CheckFence = cmd.Bool("fence")
			config.Salt = cmd.String("salt")
			return listen(cmd, persimstand.NewEngine(config).Handler())
		},
	}
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name: "service",
		Flags: []cli.Flag{
			listenFlag(),
			incarnationFlag(),
			&cli.BoolFlag{Name: "fence", Usage: "refuse old fencing numbers"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			service := persimstand.NewService(cmd.String("incarnation"), cmd.Bool("fence"))
			return listen(cmd, service.Handler())
		},
	}
}
