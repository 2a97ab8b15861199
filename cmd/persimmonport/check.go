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
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "check the project's settings in `FILE`"},
			&cli.StringFlag{Name: "platform", Usage: "check the platform's settings in `FILE`"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if err := checkFiles(cmd.String("settings"), cmd.String("platform")); err != nil {
				return err
			}
			_, _ = fmt.Fprintln(cmd.Root().Writer, "no faults")
			return nil
		},
	}
}

// checkFiles checks the files that are named, at least one.
func checkFiles(settings, deployment string) error {
	if settings == "" && deployment == "" {
		return trace.BadParameter("name a file with --settings or --platform")
	}
	if deployment != "" {
		if _, err := readDeployment(deployment); err != nil {
			return err
		}
	}
	if settings == "" {
		return nil
	}
	_, err := loadSettings(settings)
	return err
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
