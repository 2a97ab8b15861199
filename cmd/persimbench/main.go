// Command persimbench runs the experiments on policies and prints their table.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"persimmonport.example/persimbench"
)

const defaultDuration = 5 * time.Minute

func main() {
	root := &cli.Command{
		Name:  "persimbench",
		Usage: "measure the policies in virtual time",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "duration", Value: defaultDuration, Usage: "virtual `TIME` of each run"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error { return measure(cmd.Duration("duration")) },
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "persimbench:", err)
		os.Exit(1)
	}
}

func measure(duration time.Duration) error {
	begin := time.Now()
	persimbench.Trace = func(m persimbench.Measure) { fmt.Fprintln(os.Stderr, time.Since(begin), m.Name, m.Baseline, m.Now, m.Ideal) }
	var all []persimbench.Measure
	for _, d := range persimbench.Deployments() {
		all = append(all, persimbench.Measures(d, duration)...)
	}
	fmt.Print(persimbench.Table(all))
	return nil
}
