// Command persimstand runs stand-ins for external systems.
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

const readHeaderTimeout = 5 * time.Second

func main() {
	root := &cli.Command{
		Name:  "persimstand",
		Usage: "run a stand-in for the platform, an engine, a service or an upstream",
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
	return &cli.StringFlag{Name: "incarnation", Usage: "report `NAME` as the incarnation of the process", Value: "1"}
}

func listenAndServe(cmd *cli.Command, handler http.Handler) error {
	server := &http.Server{Addr: cmd.String("listen"), Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	return server.ListenAndServe()
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name: "platform",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.DurationFlag{Name: "lag", Usage: "delay changes of hosts in the list by `TIME`"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return listenAndServe(cmd, persimstand.NewPlatform(cmd.Duration("lag")).Handler())
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
			&cli.IntFlag{Name: "slots", Value: defaults.Slots, Usage: "run up to `N` streams at a time"},
			&cli.DurationFlag{Name: "gap", Value: defaults.TokenInterval, Usage: "take `TIME` for each token"},
			&cli.DurationFlag{Name: "prefill", Value: defaults.PrefillPerToken, Usage: "take `TIME` for each prompt token"},
			&cli.BoolFlag{Name: "fence", Usage: "reject orders with outdated fencing tokens"},
			&cli.StringFlag{Name: "salt", Usage: "make the text depend on `TEXT`"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			config := defaults
			config.Incarnation = cmd.String("incarnation")
			config.Slots = cmd.Int("slots")
			config.TokenInterval = cmd.Duration("gap")
			config.PrefillPerToken = cmd.Duration("prefill")
			config.CheckFence = cmd.Bool("fence")
			config.Salt = cmd.String("salt")
			return listenAndServe(cmd, persimstand.NewEngine(config).Handler())
		},
	}
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name: "service",
		Flags: []cli.Flag{
			listenFlag(),
			incarnationFlag(),
			&cli.BoolFlag{Name: "fence", Usage: "reject calls with outdated fencing tokens"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			service := persimstand.NewService(cmd.String("incarnation"), cmd.Bool("fence"))
			return listenAndServe(cmd, service.Handler())
		},
	}
}
