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
		Usage: "check a settings file and report every fault in it; changes nothing",
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

// checkFiles checks the named files; at least one must be given.
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

// loadSettings loads and checks the settings. It prints each fault and returns an error
// if there are any.
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
