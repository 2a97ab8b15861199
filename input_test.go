package persimmonport

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"persimmonport.example/persimwire"
)

// inputCase is a request that must not run, with the expected reason of its refusal.
type inputCase struct {
	name   string
	send   func(ctx context.Context, client persimwire.CallerServiceClient) error
	reason persimwire.Reason
}

func generateCase(name, token string, reason persimwire.Reason, msg *persimwire.GenerateRequest) inputCase {
	return inputCase{name, func(ctx context.Context, client persimwire.CallerServiceClient) error {
		_, err := client.Complete(ctx, withToken(token, msg))
		return err
	}, reason}
}

func callCase(name string, reason persimwire.Reason, msg *persimwire.CallRequest) inputCase {
	return inputCase{name, func(ctx context.Context, client persimwire.CallerServiceClient) error {
		_, err := client.Call(ctx, withToken(testToken, msg))
		return err
	}, reason}
}

func resumeCase(name string, reason persimwire.Reason, msg *persimwire.ResumeRequest) inputCase {
	return inputCase{name, func(ctx context.Context, client persimwire.CallerServiceClient) error {
		stream, err := client.Resume(ctx, withToken(testToken, msg))
		if err != nil {
			return err
		}
		defer func() { _ = stream.Close() }()
		for stream.Receive() {
		}
		return stream.Err()
	}, reason}
}

func inputCases() []inputCase {
	invalid := persimwire.Reason_REASON_INVALID
	return []inputCase{
		generateCase("unknown token", "nobody", persimwire.Reason_REASON_UNAUTHENTICATED, &persimwire.GenerateRequest{Service: "match", Prompt: "p"}),
		generateCase("no token", "", persimwire.Reason_REASON_UNAUTHENTICATED, &persimwire.GenerateRequest{Service: "match", Prompt: "p"}),
		generateCase("unknown service", testToken, persimwire.Reason_REASON_NOT_FOUND, &persimwire.GenerateRequest{Service: "none", Prompt: "p"}),
		generateCase("empty prompt", testToken, invalid, &persimwire.GenerateRequest{Service: "match"}),
		generateCase("oversized prompt", testToken, invalid, &persimwire.GenerateRequest{Service: "match", Prompt: strings.Repeat("x", 300<<10)}),
		generateCase("negative tokens", testToken, invalid, &persimwire.GenerateRequest{Service: "match", Prompt: "p", MaxTokens: -1}),
		generateCase("too many tokens", testToken, invalid, &persimwire.GenerateRequest{Service: "match", Prompt: "p", MaxTokens: 1 << 30}),
		generateCase("expired deadline", testToken, persimwire.Reason_REASON_DEADLINE, &persimwire.GenerateRequest{Service: "match", Prompt: "p", Patience: durationpb.New(-time.Second)}),
		callCase("no method", invalid, &persimwire.CallRequest{Service: "stock"}),
		callCase("order without key", persimwire.Reason_REASON_KEY, &persimwire.CallRequest{Service: "stock", Method: "reserve"}),
		callCase("order with a key of version 4", persimwire.Reason_REASON_KEY, &persimwire.CallRequest{Service: "stock", Method: "reserve", Key: "3f1c9f0e-3d0c-4a51-8f5f-5e3a7a1b2c3d"}),
		callCase("key too long", persimwire.Reason_REASON_KEY, &persimwire.CallRequest{Service: "stock", Method: "reserve", Key: strings.Repeat("k", 100)}),
		callCase("oversized body", invalid, &persimwire.CallRequest{Service: "stock", Method: "stock", Body: make([]byte, 1<<20+1)}),
		callCase("expired order", persimwire.Reason_REASON_DEADLINE, &persimwire.CallRequest{Service: "stock", Method: "stock", Patience: durationpb.New(0)}),
		resumeCase("malformed id", invalid, &persimwire.ResumeRequest{Id: "x"}),
		resumeCase("oversized id", invalid, &persimwire.ResumeRequest{Id: strings.Repeat("a.", 1000)}),
		resumeCase("negative offset", invalid, &persimwire.ResumeRequest{Id: "a.b.c", Offset: -1}),
		resumeCase("unknown id", persimwire.Reason_REASON_NOT_FOUND, &persimwire.ResumeRequest{Id: "entry-0.entry-1.none"}),
	}
}

func TestBadInputRunsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, defaultDeploymentConfig())
		defer d.close()
		d.waitReady()
		for _, c := range inputCases() {
			ctx, cancel := context.WithTimeout(d.ctx, time.Minute)
			err := c.send(ctx, d.callerClient(d.entries[0]))
			cancel()
			require.Error(t, err, c.name)
			requireReason(t, err, c.reason)
		}
		require.Zero(t, d.generatedTokens())
		for _, service := range d.services {
			require.Empty(t, service.ExecutedCalls())
		}
	})
}

func TestOffsetsOfAFinishedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, defaultDeploymentConfig())
		defer d.close()
		d.waitReady()
		r := d.readStream(0, "match len=25", time.Minute)
		require.True(t, r.complete())
		for offset := range int64(26) {
			again := &streamResult{id: r.id, tokens: offset}
			again.text.WriteString(prefixOf(r, int(offset)))
			require.NoError(t, d.readFromEntry(d.entries[offset%3], again, ""))
			require.True(t, again.complete(), "resumed at %d", offset)
		}
		beyond := resumeCase("", persimwire.Reason_REASON_INVALID, &persimwire.ResumeRequest{Id: r.id, Offset: 26})
		requireReason(t, beyond.send(d.ctx, d.callerClient(d.entries[0])), beyond.reason)
		foreign := resumeCase("", persimwire.Reason_REASON_INVALID, &persimwire.ResumeRequest{Id: r.id, Offset: 3, Prefix: []byte("other")})
		requireReason(t, foreign.send(d.ctx, d.callerClient(d.entries[0])), foreign.reason)
	})
}

func prefixOf(r *streamResult, tokens int) string {
	return strings.Join(strings.SplitAfter(r.text.String(), " ")[:tokens], "")
}

func TestOrderKeyWithAnotherBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, defaultDeploymentConfig())
		defer d.close()
		d.waitReady()
		key := newKey(newRandom(5), time.Now())
		require.True(t, d.sendOrder(d.entries[0], key, "arm 1", false).answered)
		for _, e := range d.entries {
			a := d.sendOrder(e, key, "arm 2", true)
			require.False(t, a.answered)
			require.Equal(t, persimwire.Reason_REASON_KEY, a.refusal.GetReason())
		}
		require.Equal(t, 1, d.runCount(key))
	})
}

// TestDuplicateAfterRetention sends a duplicate when no host holds the answer any more.
func TestDuplicateAfterRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, defaultDeploymentConfig())
		defer d.close()
		d.waitReady()
		key := newKey(newRandom(6), time.Now())
		require.True(t, d.sendOrder(d.entries[0], key, "arm", false).answered)
		time.Sleep(5 * time.Minute)
		a := d.sendOrder(d.entries[1], key, "arm", true)
		require.Equal(t, persimwire.Outcome_OUTCOME_ALREADY_RUN, a.refusal.GetOutcome())
		time.Sleep(26 * time.Hour / 60)
		old := newKey(newRandom(7), time.Now().Add(-25*time.Hour))
		a = d.sendOrder(d.entries[1], old, "arm", true)
		require.Equal(t, persimwire.Outcome_OUTCOME_UNKNOWN, a.refusal.GetOutcome())
		require.Equal(t, 1, d.runCount(key))
		require.Zero(t, d.runCount(old))
	})
}

func TestOperatorCallsNeedOperatorToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, defaultDeploymentConfig())
		defer d.close()
		d.waitReady()
		_, err := d.operatorClient(d.entries[0]).Drain(d.ctx, withToken(testToken, &persimwire.DrainRequest{}))
		require.Equal(t, connect.CodeUnauthenticated, connect.CodeOf(err))
		require.True(t, d.entries[0].host.ready())
	})
}
