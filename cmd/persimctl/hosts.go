package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	"persimmonport.example/persimwire"
)

// withOperator calls fn with the operator client and the printer.
func withOperator(cmd *cli.Command, fn func(persimwire.OperatorServiceClient, printer) error) error {
	client, err := operatorClient(cmd)
	if err != nil {
		return err
	}
	p, err := newPrinter(cmd)
	if err != nil {
		return err
	}
	return fn(client, p)
}

func stateName(state persimwire.HostState) string {
	return strings.ToLower(strings.TrimPrefix(state.String(), "HOST_STATE_"))
}

func hostsCommand() *cli.Command {
	return &cli.Command{
		Name:  "hosts",
		Usage: "list the entry hosts",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return withOperator(cmd, func(client persimwire.OperatorServiceClient, p printer) error {
				resp, err := client.ListHosts(ctx, connect.NewRequest(&persimwire.ListHostsRequest{}))
				if err != nil {
					return err
				}
				return p.print(resp.Msg, func(out io.Writer) {
					rows := [][]string{{"HOST", "CENTRE", "STATE", "READY", "GENERATION", "CALLERS"}}
					for _, h := range resp.Msg.GetHosts() {
						rows = append(rows, []string{
							h.GetName(), h.GetCentre(), stateName(h.GetState()), fmt.Sprint(h.GetReady()),
							fmt.Sprint(h.GetGeneration()), h.GetCallerAddress(),
						})
					}
					writeTable(out, rows)
				})
			})
		},
	}
}

func upstreamsCommand() *cli.Command {
	return &cli.Command{
		Name:  "upstreams",
		Usage: "list the upstreams and why one is not used",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return withOperator(cmd, func(client persimwire.OperatorServiceClient, p printer) error {
				resp, err := client.ListUpstreams(ctx, connect.NewRequest(&persimwire.ListUpstreamsRequest{}))
				if err != nil {
					return err
				}
				return p.print(resp.Msg, func(out io.Writer) {
					rows := [][]string{{"UPSTREAM", "INCARNATION", "GROUP", "CENTRE", "STATE", "USED", "INFLIGHT", "CAUSE"}}
					for _, u := range resp.Msg.GetUpstreams() {
						row := u.GetRow()
						rows = append(rows, []string{
							row.GetAddress(), row.GetIncarnation(), row.GetGroup(), row.GetCentre(),
							stateName(row.GetState()), fmt.Sprint(u.GetUsable()), fmt.Sprint(u.GetInFlight()), u.GetCause(),
						})
					}
					writeTable(out, rows)
				})
			})
		},
	}
}

func idFlag() cli.Flag {
	return &cli.StringFlag{Name: "id", Usage: "`ID` of the request", Required: true}
}

func traceCommand() *cli.Command {
	return &cli.Command{
		Name:  "trace",
		Usage: "show the path of one request",
		Flags: []cli.Flag{idFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return withOperator(cmd, func(client persimwire.OperatorServiceClient, p printer) error {
				resp, err := client.TraceRequest(ctx, connect.NewRequest(&persimwire.TraceRequestRequest{Id: cmd.String("id")}))
				if err != nil {
					return err
				}
				return p.print(resp.Msg, func(out io.Writer) {
					s := resp.Msg.GetStatus()
					phase := strings.ToLower(strings.TrimPrefix(s.GetPhase().String(), "PHASE_"))
					_, _ = fmt.Fprintf(out, "%s: %s, %d tokens, path %s\n", s.GetId(), phase, s.GetTokens(),
						strings.Join(s.GetPath(), " -> "))
				})
			})
		},
	}
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "start the graceful shutdown of the host that --host names",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return withOperator(cmd, func(client persimwire.OperatorServiceClient, p printer) error {
				resp, err := client.Drain(ctx, connect.NewRequest(&persimwire.DrainRequest{}))
				if err != nil {
					return err
				}
				return p.print(resp.Msg, func(out io.Writer) {
					if resp.Msg.GetStarted() {
						_, _ = fmt.Fprintln(out, "drain started")
						return
					}
					_, _ = fmt.Fprintln(out, "drain was already under way")
				})
			})
		},
	}
}

func fleetCommand() *cli.Command {
	return &cli.Command{
		Name:  "fleet",
		Usage: "show what the fleet controller would do",
		Commands: []*cli.Command{{
			Name:  "plan",
			Usage: "print the orders and their causes without sending them",
			Action: func(ctx context.Context, cmd *cli.Command) error {
				return withOperator(cmd, func(client persimwire.OperatorServiceClient, p printer) error {
					resp, err := client.PlanFleet(ctx, connect.NewRequest(&persimwire.PlanFleetRequest{}))
					if err != nil {
						return err
					}
					return p.print(resp.Msg, func(out io.Writer) {
						rows := [][]string{{"ACTION", "GROUP", "CENTRE", "MACHINE", "RECLAIMABLE", "CAUSE"}}
						for _, o := range resp.Msg.GetOrders() {
							rows = append(rows, []string{
								o.GetAction(), o.GetGroup(), o.GetCentre(), o.GetMachine(),
								fmt.Sprint(o.GetReclaimable()), o.GetCause(),
							})
						}
						writeTable(out, rows)
					})
				})
			},
		}},
	}
}
