package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"persimmonport.example/persimwire"
)

const (
	maxResumeAttempts = 60
	resumeInterval    = 250 * time.Millisecond
)

func keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "print a new key for a call that must run at most once",
		Action: func(_ context.Context, cmd *cli.Command) error {
			key, err := uuid.NewV7()
			if err != nil {
				return trace.Wrap(err)
			}
			_, err = fmt.Fprintln(cmd.Root().Writer, key)
			return trace.Wrap(err)
		},
	}
}

func callCommand() *cli.Command {
	return &cli.Command{
		Name:  "call",
		Usage: "call a plain service as an organisation",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "service", Required: true},
			&cli.StringFlag{Name: "method", Required: true},
			&cli.StringFlag{Name: "body"},
			&cli.StringFlag{Name: "key", Usage: "`KEY` from persimctl key"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			client, err := callerClient(cmd)
			if err != nil {
				return err
			}
			p, err := newPrinter(cmd)
			if err != nil {
				return err
			}
			resp, err := client.Call(ctx, connect.NewRequest(&persimwire.CallRequest{
				Service: cmd.String("service"),
				Method:  cmd.String("method"),
				Body:    []byte(cmd.String("body")),
				Key:     cmd.String("key"),
			}))
			if err != nil {
				return err
			}
			return p.print(resp.Msg, func(out io.Writer) {
				_, _ = fmt.Fprintf(out, "%s duplicate=%t\n", resp.Msg.GetBody(), resp.Msg.GetDuplicate())
			})
		},
	}
}

func otherHostsFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "other", Usage: "`URL` of another entry host's caller address; may be repeated"}
}

func generateCommand() *cli.Command {
	return &cli.Command{
		Name:  "generate",
		Usage: "stream the answer of a model, resuming it when the connection ends early",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "service", Required: true},
			&cli.StringFlag{Name: "prompt", Required: true},
			&cli.Int32Flag{Name: "tokens"},
			otherHostsFlag(),
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			r, err := newAnswerReader(cmd)
			if err != nil {
				return err
			}
			request := &persimwire.GenerateRequest{
				Service:   cmd.String("service"),
				Prompt:    cmd.String("prompt"),
				MaxTokens: cmd.Int32("tokens"),
			}
			return r.generate(ctx, request)
		},
	}
}

func resumeCommand() *cli.Command {
	return &cli.Command{
		Name:  "resume",
		Usage: "stream the answer of an accepted request from its start",
		Flags: []cli.Flag{idFlag(), otherHostsFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			r, err := newAnswerReader(cmd)
			if err != nil {
				return err
			}
			r.id = cmd.String("id")
			return r.resume(ctx, nil)
		},
	}
}

// answerReader reads one complete answer and resumes it at any of the hosts.
type answerReader struct {
	out     io.Writer
	clients []persimwire.CallerServiceClient
	id      string
	tokens  int64
	text    strings.Builder
	end     *persimwire.End
	resumes int
}

func newAnswerReader(cmd *cli.Command) (*answerReader, error) {
	first, err := callerClient(cmd)
	if err != nil {
		return nil, err
	}
	r := &answerReader{out: cmd.Root().Writer, clients: []persimwire.CallerServiceClient{first}}
	for _, other := range cmd.StringSlice("other") {
		r.clients = append(r.clients, persimwire.NewCallerServiceClient(http.DefaultClient, other, withToken(cmd)))
	}
	return r, nil
}

func (r *answerReader) generate(ctx context.Context, request *persimwire.GenerateRequest) error {
	stream, err := r.clients[0].Generate(ctx, connect.NewRequest(request))
	if err != nil {
		return err
	}
	err = r.read(stream)
	if r.end == nil && r.id == "" {
		return err
	}
	return r.resume(ctx, err)
}

// resume requests the rest of the answer from the hosts in turn.
func (r *answerReader) resume(ctx context.Context, lastErr error) error {
	for attempt := 0; r.end == nil && attempt < maxResumeAttempts; attempt++ {
		if isPermanent(lastErr) {
			return lastErr
		}
		r.resumes++
		client := r.clients[r.resumes%len(r.clients)]
		lastErr = r.resumeAt(ctx, client)
		if r.end == nil {
			time.Sleep(resumeInterval)
		}
	}
	if r.end == nil {
		return trace.ConnectionProblem(lastErr, "the answer of %s is incomplete after all attempts to resume it", r.id)
	}
	return r.finish()
}

// isPermanent reports whether retrying cannot resolve the error.
func isPermanent(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeUnauthenticated, connect.CodeDeadlineExceeded:
		return err != nil
	default:
		return false
	}
}

func (r *answerReader) resumeAt(ctx context.Context, client persimwire.CallerServiceClient) error {
	prefix := sha256.Sum256([]byte(r.text.String()))
	stream, err := client.Resume(ctx, connect.NewRequest(&persimwire.ResumeRequest{
		Id: r.id, Offset: r.tokens, Prefix: prefix[:],
	}))
	if err != nil {
		return err
	}
	return r.read(stream)
}

func (r *answerReader) read(stream *connect.ServerStreamForClient[persimwire.StreamEvent]) error {
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		event := stream.Msg()
		if accepted := event.GetAccepted(); accepted != nil {
			r.id = accepted.GetId()
		}
		if piece := event.GetPiece(); piece != nil {
			if piece.GetOffset() != r.tokens {
				return trace.BadParameter("received token %d instead of token %d", piece.GetOffset(), r.tokens)
			}
			r.tokens++
			r.text.WriteString(piece.GetText())
		}
		if event.GetEnd() != nil {
			r.end = event.GetEnd()
		}
	}
	return stream.Err()
}

// finish verifies the digest and the length of the answer against its end event and
// prints it.
func (r *answerReader) finish() error {
	sum := sha256.Sum256([]byte(r.text.String()))
	if !bytes.Equal(sum[:], r.end.GetSha256()) || r.tokens != r.end.GetTokens() {
		return trace.BadParameter("the digest or the length of the answer differs from its end event")
	}
	_, err := fmt.Fprintf(r.out, "%s\nid=%s tokens=%d attempts=%d resumes=%d whole=true\n",
		r.text.String(), r.id, r.tokens, r.end.GetAttempts(), r.resumes)
	return trace.Wrap(err)
}
