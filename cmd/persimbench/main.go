// Command persimbench runs the experiments on policies, overhead and capacity.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"persimmonport.example/persimbench"
)

const (
	defaultDuration = 2 * time.Minute
	defaultRequests = 40
	defaultTokens   = 100
)

var errTargetMissed = errors.New("a target is not met")

func main() {
	root := &cli.Command{
		Name:     "persimbench",
		Usage:    "measure policies in virtual time, the overhead of an entry host, and how costs grow with size",
		Commands: []*cli.Command{policiesCommand(), overheadCommand(), capacityCommand()},
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "persimbench:", err)
		os.Exit(1)
	}
}

func policiesCommand() *cli.Command {
	return &cli.Command{
		Name:  "policies",
		Usage: "compare the policies and print a table of measurements",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "duration", Value: defaultDuration, Usage: "virtual `TIME` of each run"},
			&cli.StringFlag{Name: "plot", Usage: "write the plot of the two profiles to `FILE`"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return runPolicies(cmd.Duration("duration"), cmd.String("plot"))
		},
	}
}

func runPolicies(duration time.Duration, plot string) error {
	tradeoff := persimbench.MeasureTradeoff(duration)
	fmt.Println(tradeoff)
	if plot != "" {
		if err := tradeoff.Plot(plot); err != nil {
			return err
		}
	}
	var measures []persimbench.Measure
	for _, d := range persimbench.Deployments() {
		measures = append(measures, persimbench.Measures(d, duration)...)
	}
	fmt.Print(persimbench.Table(measures))
	for _, m := range measures {
		if !m.Met() {
			return errTargetMissed
		}
	}
	return nil
}

func overheadCommand() *cli.Command {
	return &cli.Command{
		Name:  "overhead",
		Usage: "compare requests through an entry host with direct calls of an engine",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "engine", Required: true, Usage: "`ADDRESS` of the engine"},
			&cli.StringFlag{Name: "callers", Required: true, Usage: "`URL` of the entry host"},
			&cli.StringFlag{Name: "token", Required: true},
			&cli.IntFlag{Name: "engine-pid", Required: true},
			&cli.IntSliceFlag{Name: "host-pid", Required: true},
			&cli.IntFlag{Name: "requests", Value: defaultRequests},
			&cli.IntFlag{Name: "tokens", Value: defaultTokens},
			&cli.IntFlag{Name: "parallel", Value: 1, Usage: "keep `N` requests in progress"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			result, err := persimbench.MeasureOverhead(ctx, persimbench.OverheadPlan{
				EngineAddress: cmd.String("engine"),
				EntryURL:      cmd.String("callers"),
				Token:         cmd.String("token"),
				EnginePID:     cmd.Int("engine-pid"),
				HostPIDs:      cmd.IntSlice("host-pid"),
				Requests:      cmd.Int("requests"),
				Tokens:        cmd.Int("tokens"),
				Concurrency:   cmd.Int("parallel"),
			})
			if err != nil {
				return err
			}
			fmt.Println(result)
			return nil
		},
	}
}

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure how costs grow with size, for docs/CAPACITY.md",
		Action: func(context.Context, *cli.Command) error {
			for _, model := range persimbench.CostModels() {
				fmt.Println(model)
			}
			return nil
		},
	}
}
