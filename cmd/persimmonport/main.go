// Command persimmonport is the daemon of an entry host.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// version is set at build time.
var version = "development"

func main() {
	root := &cli.Command{
		Name:                  "persimmonport",
		Usage:                 "serve an entry host between callers and upstreams",
		Version:               version,
		EnableShellCompletion: true,
		Commands:              []*cli.Command{serveCommand(), entryCommand(), checkCommand(), keysCommand()},
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "persimmonport:", err)
		os.Exit(1)
	}
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Usage: "read settings from `FILE`", Required: true}
}
