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

// reading is what one caller saw of one model request.
type reading struct {
	id string
	// replicated is what the acceptance said.
	replicated bool
	tokens     int64
	text       strings.Builder
	end        *persimwire.End
	refusal    *persimwire.Refusal
	resumes    int
	// last is the newest refusal after which another host was asked.
	last *persimwire.Refusal
	// turnedAway counts refusals after which another host was asked.
	turnedAway int
	longest    time.Duration
	lastSeen   time.Time
	fault      string
}

func (r *reading) accepted() bool { return r.id != "" }

// whole reports whether the answer came with its end marker and matches it.
func (r *reading) whole() bool {
	if r.end == nil || r.fault != "" {
		return false
	}
	sum := sha256.Sum256([]byte(r.text.String()))
	return bytes.Equal(sum[:], r.end.GetSha256()) && r.tokens == r.end.GetTokens()
}

const (
	readSilence = 5 * time.Second
	readPause   = 200 * time.Millisecond
)

// read sends a request to one host and resumes it at the others until it is
// whole, refused, or the patience has ended.
func (d *deployment) read(first int, prompt string, patience time.Duration) *reading {
	r := &reading{lastSeen: time.Now()}
	end := time.Now().Add(patience)
	for try := 0; time.Now().Before(end) && r.end == nil && r.fault == ""; try++ {
		e := d.entries[(first+try)%len(d.entries)]
		err := d.readFrom(e, r, prompt)
		refusal, ok := RefusalOf(err)
		if ok && isFinalRefusal(refusal) {
			r.refusal = refusal
			return r
		}
		if ok && r.id == "" {
			r.turnedAway++
			r.last = refusal
		}
		if r.end == nil {
			time.Sleep(readPause)
		}
	}
	return r
}

// isFinalRefusal reports a refusal that no other host would change.
func isFinalRefusal(refusal *persimwire.Refusal) bool {
	switch refusal.GetReason() {
	case persimwire.Reason_REASON_DRAINING, persimwire.Reason_REASON_NOT_FOUND, persimwire.Reason_REASON_CANCELLED,
		persimwire.Reason_REASON_ISOLATED, persimwire.Reason_REASON_UNREPLICATED:
		return false
	default:
		return true
	}
}

// readFrom reads from one host until its stream ends; a silent stream is given up.
func (d *deployment) readFrom(e *entry, r *reading, prompt string) error {
	ctx, cancel := context.WithCancel(d.root)
	defer cancel()
	watchdog := time.AfterFunc(readSilence, cancel)
	defer watchdog.Stop()
	client := d.client(e)
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
		watchdog.Reset(readSilence)
		r.take(stream.Msg())
	}
	return stream.Err()
}

func (r *reading) take(event *persimwire.StreamEvent) {
	r.longest = max(r.longest, time.Since(r.lastSeen))
	r.lastSeen = time.Now()
	if accepted := event.GetAccepted(); accepted != nil {
		r.id = accepted.GetId()
		r.replicated = accepted.GetReplicated()
	}
	if piece := event.GetPiece(); piece != nil {
		if piece.GetOffset() != r.tokens {
			r.fault = fmt.Sprintf("token %d came in place of %d", piece.GetOffset(), r.tokens)
			return
		}
		r.tokens++
		r.text.WriteString(piece.GetText())
	}
	if event.GetEnd() != nil {
		r.end = event.GetEnd()
	}
}
