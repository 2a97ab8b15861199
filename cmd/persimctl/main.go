// Command persimctl is the command-line client for operators and callers.
//
// Exit codes: 0 success, 1 failure, 2 usage error, 3 conflict with a change of another
// operator, 4 change stored but not applied on every host in time, 5 refused without
// running, 6 outcome unknown, 7 already run.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"persimmonport.example/persimmonport"
	"persimmonport.example/persimwire"
)

// Exit codes of the program.
const (
	exitFailed     = 1
	exitUsage      = 2
	exitConflict   = 3
	exitNotApplied = 4
	exitNotRun     = 5
	exitUnknown    = 6
	exitAlreadyRun = 7
)

var version = "development"

// exitError is an error with the exit code of the program.
type exitError struct {
	code int
	err  error
}

func (e exitError) Error() string { return e.err.Error() }

func main() {
	root := &cli.Command{
		Name:                  "persimctl",
		Usage:                 "operate entry hosts, and call them as an organisation",
		Version:               version,
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "host", Usage: "`URL` of an entry host's operator address", Sources: cli.EnvVars("PERSIM_HOST")},
			&cli.StringFlag{Name: "callers", Usage: "`URL` of an entry host's caller address", Sources: cli.EnvVars("PERSIM_CALLERS")},
			&cli.StringFlag{Name: "token", Usage: "authenticate with `TOKEN`", Sources: cli.EnvVars("PERSIM_TOKEN")},
			&cli.StringFlag{Name: "output", Usage: "print in `FORMAT`, text or json", Value: "text"},
		},
		Commands: []*cli.Command{
			profileCommand(),
			serviceCommand(),
			hostsCommand(),
			upstreamsCommand(),
			traceCommand(),
			drainCommand(),
			fleetCommand(),
			generateCommand(),
			resumeCommand(),
			callCommand(),
			keyCommand(),
		},
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "persimctl:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var exit exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	refusal, ok := persimmonport.RefusalOf(err)
	if !ok {
		return exitFailed
	}
	switch refusal.GetOutcome() {
	case persimwire.Outcome_OUTCOME_NOT_RUN:
		return exitNotRun
	case persimwire.Outcome_OUTCOME_UNKNOWN:
		return exitUnknown
	case persimwire.Outcome_OUTCOME_ALREADY_RUN:
		return exitAlreadyRun
	default:
		return exitFailed
	}
}

func usageError(format string, args ...any) error {
	return exitError{code: exitUsage, err: trace.BadParameter(format, args...)}
}

func operatorClient(cmd *cli.Command) (persimwire.OperatorServiceClient, error) {
	if cmd.String("host") == "" {
		return nil, usageError("--host is required")
	}
	return persimwire.NewOperatorServiceClient(http.DefaultClient, cmd.String("host"), withToken(cmd)), nil
}

func callerClient(cmd *cli.Command) (persimwire.CallerServiceClient, error) {
	if cmd.String("callers") == "" {
		return nil, usageError("--callers is required")
	}
	return persimwire.NewCallerServiceClient(http.DefaultClient, cmd.String("callers"), withToken(cmd)), nil
}

// tokenInterceptor adds the bearer token to each call.
type tokenInterceptor struct {
	token string
}

func withToken(cmd *cli.Command) connect.ClientOption {
	return connect.WithInterceptors(tokenInterceptor{token: cmd.String("token")})
}

func (i tokenInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		req.Header().Set("Authorization", "Bearer "+i.token)
		return next(ctx, req)
	}
}

func (i tokenInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		conn.RequestHeader().Set("Authorization", "Bearer "+i.token)
		return conn
	}
}

func (i tokenInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

const callTimeout = 30 * time.Second
