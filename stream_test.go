package persimmonport

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"

	"persimmonport.example/persimwire"
)

// streamResult is what one caller received of one model request.
type streamResult struct {
	id string
	// replicated is the value in the acceptance.
	replicated bool
	tokens     int64
	text       strings.Builder
	end        *persimwire.End
	refusal    *persimwire.Refusal
	resumes    int
	// lastRetried is the latest refusal after which the caller tried another host.
	lastRetried *persimwire.Refusal
	// retriedRefusals counts refusals after which the caller tried another host.
	retriedRefusals int
	longestGap      time.Duration
	lastSeen        time.Time
	// offsetError describes a token with a wrong offset.
	offsetError string
}

func (r *streamResult) accepted() bool { return r.id != "" }

// complete reports whether the end marker arrived and matches the received answer.
func (r *streamResult) complete() bool {
	if r.end == nil || r.offsetError != "" {
		return false
	}
	sum := sha256.Sum256([]byte(r.text.String()))
	return bytes.Equal(sum[:], r.end.GetSha256()) && r.tokens == r.end.GetTokens()
}

const (
	streamIdleTimeout = 5 * time.Second
	resumeDelay       = 200 * time.Millisecond
)

// readStream sends a request to one host and resumes it at the others until it is
// complete or refused, or the patience has ended.
func (d *deployment) readStream(first int, prompt string, patience time.Duration) *streamResult {
	r := &streamResult{lastSeen: time.Now()}
	end := time.Now().Add(patience)
	for attempt := 0; time.Now().Before(end) && r.end == nil && r.offsetError == ""; attempt++ {
		e := d.entries[(first+attempt)%len(d.entries)]
		err := d.readFromEntry(e, r, prompt)
		refusal, ok := RefusalOf(err)
		if ok && isFinalRefusal(refusal) {
			r.refusal = refusal
			return r
		}
		if ok && r.id == "" {
			r.retriedRefusals++
			r.lastRetried = refusal
		}
		if r.end == nil {
			time.Sleep(resumeDelay)
		}
	}
	return r
}

// isFinalRefusal reports whether every other host would refuse the request too.
func isFinalRefusal(refusal *persimwire.Refusal) bool {
	switch refusal.GetReason() {
	case persimwire.Reason_REASON_DRAINING, persimwire.Reason_REASON_NOT_FOUND, persimwire.Reason_REASON_CANCELLED,
		persimwire.Reason_REASON_ISOLATED, persimwire.Reason_REASON_UNREPLICATED:
		return false
	default:
		return true
	}
}

// readFromEntry reads from one host until the stream ends or has been idle for
// streamIdleTimeout.
func (d *deployment) readFromEntry(e *entry, r *streamResult, prompt string) error {
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	watchdog := time.AfterFunc(streamIdleTimeout, cancel)
	defer watchdog.Stop()
	client := d.callerClient(e)
	var stream *connect.ServerStreamForClient[persimwire.StreamEvent]
	var err error
	if r.id == "" {
		stream, err = client.Generate(ctx, withToken(testToken, &persimwire.GenerateRequest{Service: "match", Prompt: prompt}))
	} else {
		r.resumes++
		prefix := sha256.Sum256([]byte(r.text.String()))
		stream, err = client.Resume(ctx, withToken(testToken, &persimwire.ResumeRequest{Id: r.id, Offset: r.tokens, Prefix: prefix[:]}))
	}
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		watchdog.Reset(streamIdleTimeout)
		r.record(stream.Msg())
	}
	return stream.Err()
}

func (r *streamResult) record(event *persimwire.StreamEvent) {
	r.longestGap = max(r.longestGap, time.Since(r.lastSeen))
	r.lastSeen = time.Now()
	if accepted := event.GetAccepted(); accepted != nil {
		r.id = accepted.GetId()
		r.replicated = accepted.GetReplicated()
	}
	if piece := event.GetPiece(); piece != nil {
		if piece.GetOffset() != r.tokens {
			r.offsetError = fmt.Sprintf("received token %d instead of %d", piece.GetOffset(), r.tokens)
			return
		}
		r.tokens++
		r.text.WriteString(piece.GetText())
	}
	if event.GetEnd() != nil {
		r.end = event.GetEnd()
	}
}
