package persimmonport

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"persimmonport.example/persimflight"
	"persimmonport.example/persimpolicy"
	"persimmonport.example/persimupstream"
)

// attempt runs one attempt and sends its result to the results channel.
func (r *modelRunner) attempt(ctx context.Context, d persimpolicy.Dispatch) {
	ctx, unregister := r.host.activeAttempts.register(ctx, d.Upstream.Address)
	defer unregister()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.mu.Lock()
	r.cancels[d.Attempt] = cancel
	r.mu.Unlock()
	err := r.generate(ctx, d)
	if err != nil && context.Cause(ctx) != nil {
		err = context.Cause(ctx)
	}
	r.mu.Lock()
	delete(r.cancels, d.Attempt)
	if !errors.Is(err, persimupstream.ErrNotRun) {
		r.ran = true
	}
	r.mu.Unlock()
	if err != nil && !errors.Is(err, errReclaimed) && r.isOwner() {
		r.cancelStream(d)
	}
	r.results <- attemptResult{dispatch: d, err: err}
}

// isOwner reports whether this host still owns the request. The streams of a moved
// request are not cancelled, since the next owner attaches to them.
func (r *modelRunner) isOwner() bool {
	role, _ := r.flight.Role()
	return role == persimflight.RoleOwner
}

// generate streams a completion that continues after the released tokens and appends
// its tokens to the flight. It returns errSuperseded if another attempt was selected.
func (r *modelRunner) generate(ctx context.Context, d persimpolicy.Dispatch) error {
	state := r.flight.State(time.Now())
	prior := len(state.GetTokens())
	attemptNumber := r.nextAttemptNumber()
	request := persimupstream.CompletionRequest{
		RequestID:   streamName(d),
		Prompt:      state.GetPrompt(),
		PriorText:   strings.Join(state.GetTokens(), ""),
		PriorTokens: prior,
		MaxTokens:   int(state.GetMaxTokens()),
		Priority:    d.Priority,
		Timeout:     time.Until(r.flight.Deadline()).Milliseconds(),
		CacheHandle: r.importCache(ctx, d.Upstream.Address),
	}
	emitted := prior
	limit := newAnswerLimit(state, r.host.settings.Limits.MaxTokens)
	_, err := r.host.engine.Generate(ctx, d.Upstream.Address, request, func(index int, text string) error {
		if index == prior && !r.selectWinner(d, attemptNumber) {
			return errSuperseded
		}
		if err := r.keepToken(limit, attemptNumber, index, text); err != nil {
			return err
		}
		emitted = index + 1
		r.scheduler.progress(d.Attempt)
		return nil
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if emitted == prior && !r.selectWinner(d, attemptNumber) {
		return errSuperseded
	}
	if !r.flight.Finish(attemptNumber, emitted) {
		return errSuperseded
	}
	return nil
}

// importCache sends the cache exported by an earlier attempt to the engine and
// returns its handle, or "" if there is none.
func (r *modelRunner) importCache(ctx context.Context, address string) string {
	cache, ok := r.host.activeAttempts.takeCache(r.job.ID)
	if !ok {
		return ""
	}
	if err := r.host.engine.Import(ctx, address, cache); err != nil {
		klog.V(1).Infof("runner: upstream %s did not import the cache of %s: %v", address, r.job.ID, err)
		return ""
	}
	return cache.Handle
}

// selectWinner makes an attempt the one whose tokens are released and cancels the
// others. It returns false if another attempt was selected before.
func (r *modelRunner) selectWinner(d persimpolicy.Dispatch, attemptNumber int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.winner != "" {
		return false
	}
	if !r.flight.BeginAttempt(attemptNumber, d.Upstream.Address, streamName(d)) {
		return false
	}
	r.winner = d.Attempt
	for _, attempt := range r.attemptsExcept(d.Attempt) {
		r.cancels[attempt](errSuperseded)
		r.host.metrics.RecomputedTokens(recomputedHedge, r.job.PromptTokens)
	}
	return true
}

func (r *modelRunner) attemptsExcept(except string) []string {
	var names []string
	for name := range r.cancels {
		if name != except {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// keepToken adds a token of an attempt to the answer. It returns errAnswerTooLong if the answer may
// not have it, and errSuperseded if the attempt is not the current one.
func (r *modelRunner) keepToken(limit *answerLimit, attemptNumber, index int, text string) error {
	if err := limit.add(index, text); err != nil {
		klog.Warningf("runner: request %s: %v", r.job.ID, err)
		return err
	}
	if !r.flight.Append(attemptNumber, index, text) {
		return errSuperseded
	}
	r.recordToken()
	return nil
}

// recordToken records the time to the first token or since the previous one.
func (r *modelRunner) recordToken() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	class := string(r.job.Profile.Class)
	if r.hasTokens {
		r.host.metrics.InterTokenLatency(r.job.Organisation, class, now.Sub(r.lastTokenAt))
	} else {
		r.host.metrics.TimeToFirstToken(r.job.Organisation, class, now.Sub(r.job.Arrived))
	}
	r.hasTokens = true
	r.lastTokenAt = now
	r.host.metrics.Tokens(r.job.Organisation, 1)
}

func (r *modelRunner) cancelStream(d persimpolicy.Dispatch) {
	ctx, cancel := context.WithTimeout(r.host.requestCtx, cancelStreamTimeout)
	defer cancel()
	_ = r.host.engine.Cancel(ctx, d.Upstream.Address, streamName(d))
}

// exportCache fetches the cache of a stream on a reclaimed upstream for the next
// attempt and ends the stream.
func (r *modelRunner) exportCache(d persimpolicy.Dispatch) {
	ctx, cancel := context.WithTimeout(r.host.requestCtx, cancelStreamTimeout)
	defer cancel()
	cache, err := r.host.engine.Export(ctx, d.Upstream.Address, streamName(d))
	r.cancelStream(d)
	if err != nil {
		return
	}
	r.host.activeAttempts.storeCache(r.job.ID, cache)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cacheHandle = cache.Handle
}

// streamName returns the ID under which the engine runs an attempt.
func streamName(d persimpolicy.Dispatch) string {
	return strings.ReplaceAll(d.Attempt, "/", "-")
}
