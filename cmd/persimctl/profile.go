package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2"
	"github.com/urfave/cli/v3"

	"persimmonport.example/persimprofile"
	"persimmonport.example/persimwire"
)

const (
	applyTimeout      = 10 * time.Second
	applyPollInterval = 100 * time.Millisecond
)

func profileCommand() *cli.Command {
	file := &cli.StringFlag{Name: "file", Usage: "read the profile from `FILE` in TOML; - reads standard input", Required: true}
	base := &cli.Uint64Flag{Name: "base", Usage: "`GENERATION` that the edit is based on; default is the current one"}
	name := &cli.StringFlag{Name: "name", Usage: "`NAME` of the profile", Required: true}
	return &cli.Command{
		Name:  "profile",
		Usage: "show and change profiles",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the profiles", Action: listProfiles},
			{Name: "get", Usage: "print a profile as TOML", Flags: []cli.Flag{name}, Action: getProfile},
			{Name: "set", Usage: "store a profile and wait until it is in force", Flags: []cli.Flag{file, base}, Action: setProfile},
			{Name: "edit", Usage: "change individual keys of a profile", ArgsUsage: "KEY=VALUE...", Flags: []cli.Flag{name, base}, Action: editProfile},
			{Name: "diff", Usage: "compare a file with the stored profile", Flags: []cli.Flag{file}, Action: diffProfile},
			{Name: "history", Usage: "list the newest changes", Action: listHistory},
			{Name: "explain", Usage: "describe the effect of a profile", Flags: []cli.Flag{name}, Action: explainProfile},
		},
	}
}

func currentCatalogue(ctx context.Context, client persimwire.OperatorServiceClient) (persimprofile.Catalogue, *persimwire.Catalogue, error) {
	resp, err := client.GetProfiles(ctx, connect.NewRequest(&persimwire.GetProfilesRequest{}))
	if err != nil {
		return persimprofile.Catalogue{}, nil, err
	}
	return persimprofile.FromWire(resp.Msg.GetCatalogue()), resp.Msg.GetCatalogue(), nil
}

// withCatalogue calls fn with the client, the printer and the current catalogue.
func withCatalogue(ctx context.Context, cmd *cli.Command, fn func(persimwire.OperatorServiceClient, printer, persimprofile.Catalogue) error) error {
	client, err := operatorClient(cmd)
	if err != nil {
		return err
	}
	p, err := newPrinter(cmd)
	if err != nil {
		return err
	}
	catalogue, _, err := currentCatalogue(ctx, client)
	if err != nil {
		return err
	}
	return fn(client, p, catalogue)
}

func listProfiles(ctx context.Context, cmd *cli.Command) error {
	return withCatalogue(ctx, cmd, func(_ persimwire.OperatorServiceClient, p printer, c persimprofile.Catalogue) error {
		return p.print(persimprofile.ToWire(c), func(out io.Writer) {
			rows := [][]string{{"PROFILE", "CLASS", "PATIENCE", "FIRST", "GAP", "COST", "WAIT"}}
			for _, pr := range c.Profiles() {
				rows = append(rows, []string{
					pr.Name, string(pr.Class), pr.Patience.String(), pr.FirstToken.String(), pr.TokenGap.String(),
					fmt.Sprint(pr.CostWeight), fmt.Sprint(pr.WaitWeight),
				})
			}
			writeTable(out, rows)
		})
	})
}

func findProfile(c persimprofile.Catalogue, name string) (persimprofile.Profile, error) {
	profile, ok := c.Profile(name)
	if !ok {
		return profile, trace.NotFound("no profile %q", name)
	}
	return profile, nil
}

func getProfile(ctx context.Context, cmd *cli.Command) error {
	return withCatalogue(ctx, cmd, func(_ persimwire.OperatorServiceClient, p printer, c persimprofile.Catalogue) error {
		profile, err := findProfile(c, cmd.String("name"))
		if err != nil {
			return err
		}
		data, err := toml.Marshal(profile)
		if err != nil {
			return trace.Wrap(err)
		}
		return p.print(persimprofile.ProfileToWire(profile), func(out io.Writer) { _, _ = out.Write(data) })
	})
}

func explainProfile(ctx context.Context, cmd *cli.Command) error {
	return withCatalogue(ctx, cmd, func(_ persimwire.OperatorServiceClient, p printer, c persimprofile.Catalogue) error {
		profile, err := findProfile(c, cmd.String("name"))
		if err != nil {
			return err
		}
		return p.print(persimprofile.ProfileToWire(profile), func(out io.Writer) {
			_, _ = fmt.Fprintln(out, strings.Join(profile.Explain(), "\n"))
		})
	})
}

func readProfile(path string) (persimprofile.Profile, error) {
	var data []byte
	var err error
	if path == "-" {
		data, err = io.ReadAll(os.Stdin)
	} else {
		data, err = os.ReadFile(path)
	}
	if err != nil {
		return persimprofile.Profile{}, trace.ConvertSystemError(err)
	}
	return parseProfile(data)
}

func parseProfile(data []byte) (persimprofile.Profile, error) {
	profile := persimprofile.DefaultProfile()
	err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&profile)
	if err != nil {
		return profile, usageError("profile: %v", err)
	}
	if err := persimprofile.ValidationError(profile.Validate()); err != nil {
		return profile, usageError("%v", err)
	}
	return profile, nil
}

func setProfile(ctx context.Context, cmd *cli.Command) error {
	profile, err := readProfile(cmd.String("file"))
	if err != nil {
		return err
	}
	return withCatalogue(ctx, cmd, func(client persimwire.OperatorServiceClient, p printer, c persimprofile.Catalogue) error {
		return applyChange(ctx, cmd, client, p, c, &persimwire.ApplyChangeRequest{
			Change: &persimwire.ApplyChangeRequest_Profile{Profile: persimprofile.ProfileToWire(profile)},
		})
	})
}

func editProfile(ctx context.Context, cmd *cli.Command) error {
	return withCatalogue(ctx, cmd, func(client persimwire.OperatorServiceClient, p printer, c persimprofile.Catalogue) error {
		profile, err := findProfile(c, cmd.String("name"))
		if err != nil {
			return err
		}
		edits := strings.Join(cmd.Args().Slice(), "\n")
		if err := toml.NewDecoder(strings.NewReader(edits)).DisallowUnknownFields().Decode(&profile); err != nil {
			return usageError("edit: %v", err)
		}
		return applyChange(ctx, cmd, client, p, c, &persimwire.ApplyChangeRequest{
			Change: &persimwire.ApplyChangeRequest_Profile{Profile: persimprofile.ProfileToWire(profile)},
		})
	})
}

func diffProfile(ctx context.Context, cmd *cli.Command) error {
	profile, err := readProfile(cmd.String("file"))
	if err != nil {
		return err
	}
	return withCatalogue(ctx, cmd, func(_ persimwire.OperatorServiceClient, p printer, c persimprofile.Catalogue) error {
		next, err := c.WithProfile(profile, persimprofile.Change{})
		if err != nil {
			return trace.Wrap(err)
		}
		changes := next.Changes()
		last := changes[len(changes)-1]
		return p.print(persimprofile.ChangeToWire(last), func(out io.Writer) {
			_, _ = fmt.Fprintln(out, strings.Join(last.Differences, "\n"))
		})
	})
}

func listHistory(ctx context.Context, cmd *cli.Command) error {
	return withCatalogue(ctx, cmd, func(_ persimwire.OperatorServiceClient, p printer, c persimprofile.Catalogue) error {
		return p.print(persimprofile.ToWire(c), func(out io.Writer) {
			rows := [][]string{{"GENERATION", "TIME", "OPERATOR", "CHANGE"}}
			for _, change := range c.Changes() {
				rows = append(rows, []string{
					fmt.Sprint(change.Generation), change.Time.Format(time.RFC3339), change.Operator,
					strings.Join(change.Differences, "; "),
				})
			}
			writeTable(out, rows)
		})
	})
}

// applyChange stores a change and waits until every live host has applied it.
func applyChange(ctx context.Context, cmd *cli.Command, client persimwire.OperatorServiceClient, p printer, c persimprofile.Catalogue, request *persimwire.ApplyChangeRequest) error {
	request.Base = c.Generation()
	if cmd.IsSet("base") {
		request.Base = cmd.Uint64("base")
	}
	request.Id = uuid.NewString()
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := client.ApplyChange(bounded, connect.NewRequest(request))
	if err != nil {
		return err
	}
	if resp.Msg.GetConflict() {
		return conflictError(resp.Msg)
	}
	lagging, err := awaitApplied(ctx, client, resp.Msg.GetGeneration())
	if err != nil {
		return err
	}
	if len(lagging) > 0 {
		return exitError{exitNotApplied, trace.LimitExceeded("generation %d is stored but not yet in force on %s",
			resp.Msg.GetGeneration(), strings.Join(lagging, ", "))}
	}
	return p.print(resp.Msg, func(out io.Writer) {
		_, _ = fmt.Fprintf(out, "generation %d is in force on every live host\n", resp.Msg.GetGeneration())
		_, _ = fmt.Fprintln(out, strings.Join(resp.Msg.GetDifferences(), "\n"))
	})
}

func conflictError(msg *persimwire.ApplyChangeResponse) error {
	lines := []string{fmt.Sprintf("nothing was changed: the current generation is %d", msg.GetGeneration())}
	for _, change := range msg.GetMissed() {
		lines = append(lines, fmt.Sprintf("generation %d by %s: %s", change.GetGeneration(), change.GetOperator(),
			strings.Join(change.GetDifferences(), "; ")))
	}
	return exitError{exitConflict, trace.CompareFailed("%s", strings.Join(lines, "\n"))}
}

// awaitApplied waits until all hosts have applied a generation. It returns the hosts
// that have not done so within applyTimeout.
func awaitApplied(ctx context.Context, client persimwire.OperatorServiceClient, generation uint64) ([]string, error) {
	deadline := time.Now().Add(applyTimeout)
	for {
		resp, err := client.GetForce(ctx, connect.NewRequest(&persimwire.GetForceRequest{}))
		if err != nil {
			return nil, err
		}
		var lagging []string
		for _, row := range resp.Msg.GetHosts() {
			if row.GetGeneration() < generation {
				lagging = append(lagging, row.GetName())
			}
		}
		if len(lagging) == 0 || time.Now().After(deadline) {
			return lagging, nil
		}
		time.Sleep(applyPollInterval)
	}
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "show and change which profile a service uses",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the services", Action: listServices},
			{
				Name:  "set",
				Usage: "store a service and wait until it is in force",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "name", Usage: "`NAME` that callers use", Required: true},
					&cli.StringFlag{Name: "group", Usage: "`GROUP` of upstreams", Required: true},
					&cli.StringFlag{Name: "profile", Usage: "`NAME` of the profile", Required: true},
					&cli.StringSliceFlag{Name: "once", Usage: "`METHOD` that must run at most once; may be repeated"},
					&cli.Uint64Flag{Name: "base", Usage: "`GENERATION` that the edit is based on"},
				},
				Action: setService,
			},
		},
	}
}

func listServices(ctx context.Context, cmd *cli.Command) error {
	return withCatalogue(ctx, cmd, func(_ persimwire.OperatorServiceClient, p printer, c persimprofile.Catalogue) error {
		return p.print(persimprofile.ToWire(c), func(out io.Writer) {
			rows := [][]string{{"SERVICE", "GROUP", "PROFILE", "ONCE"}}
			for _, s := range c.Services() {
				rows = append(rows, []string{s.Name, s.Group, s.Profile, strings.Join(s.AtMostOnceMethods, ",")})
			}
			writeTable(out, rows)
		})
	})
}

func setService(ctx context.Context, cmd *cli.Command) error {
	return withCatalogue(ctx, cmd, func(client persimwire.OperatorServiceClient, p printer, c persimprofile.Catalogue) error {
		return applyChange(ctx, cmd, client, p, c, &persimwire.ApplyChangeRequest{
			Change: &persimwire.ApplyChangeRequest_Service{Service: &persimwire.Service{
				Name:    cmd.String("name"),
				Group:   cmd.String("group"),
				Profile: cmd.String("profile"),
				Once:    cmd.StringSlice("once"),
			}},
		})
	})
}
