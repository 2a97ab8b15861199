package main

import (
	"context"
	"fmt"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"persimmonport.example/persimsettings"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "report every fault of a settings file and change nothing",
		Flags: []cli.Flag{settingsFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			_, err := loadSettings(cmd.String("settings"))
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintln(cmd.Root().Writer, "no faults")
			return nil
		},
	}
}

// loadSettings returns settings without faults, or prints each fault and returns an error.
func loadSettings(path string) (persimsettings.Settings, error) {
	settings, faults, err := persimsettings.Load(path)
	if err != nil {
		return settings, trace.Wrap(err)
	}
	for _, fault := range faults {
		fmt.Printf("%s: %s\n", path, fault)
	}
	if len(faults) > 0 {
		return settings, trace.BadParameter("%d faults in %s", len(faults), path)
	}
	return settings, nil
}
