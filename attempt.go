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

// attempt runs one attempt and reports its end.
func (r *runner) attempt(ctx context.Context, d persimpolicy.Dispatch) {
	ctx, unwatch := r.host.watchers.watch(ctx, d.Upstream.Address)
	defer unwatch()
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

// isOwner reports whether the request has not moved; the next owner attaches to
// the stream of a moved request.
func (r *runner) isOwner() bool {
	role, _ := r.flight.Role()
	return role == persimflight.RoleOwner
}

func (r *runner) generate(ctx context.Context, d persimpolicy.Dispatch) error {
	state := r.flight.State(time.Now())
	prior := len(state.GetTokens())
	number := r.nextNumber()
	request := persimupstream.CompletionRequest{
		Stream:    streamName(d),
		Prompt:    state.GetPrompt(),
		Prior:     strings.Join(state.GetTokens(), ""),
		PriorLen:  prior,
		MaxTokens: int(state.GetMaxTokens()),
		Priority:  d.Priority,
		Timeout:   time.Until(r.flight.Deadline()).Milliseconds(),
		Cache:     r.importCache(ctx, d.Upstream.Address),
	}
	emitted := prior
	_, err := r.host.engine.Generate(ctx, d.Upstream.Address, request, func(index int, text string) error {
		if index == prior && !r.win(d, number) {
			return errLost
		}
		if !r.flight.Append(number, index, text) {
			return errLost
		}
		emitted = index + 1
		r.scheduler.progress(d.Attempt)
		r.account()
		return nil
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if emitted == prior && !r.win(d, number) {
		return errLost
	}
	if !r.flight.Finish(number, emitted) {
		return errLost
	}
	return nil
}

// importCache hands a kept cache to the engine and returns its handle.
func (r *runner) importCache(ctx context.Context, address string) string {
	cache, ok := r.host.watchers.takeCache(r.job.ID)
	if !ok {
		return ""
	}
	if err := r.host.engine.Import(ctx, address, cache); err != nil {
		klog.V(1).Infof("runner: %s did not take the cache of %s: %v", address, r.job.ID, err)
		return ""
	}
	return cache.Handle
}

// win makes an attempt the one whose tokens count and cancels the others.
func (r *runner) win(d persimpolicy.Dispatch, number int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.winner != "" {
		return false
	}
	if !r.flight.Begin(number, d.Upstream.Address, streamName(d)) {
		return false
	}
	r.winner = d.Attempt
	for _, attempt := range r.others(d.Attempt) {
		r.cancels[attempt](errLost)
		r.host.metrics.Recomputed(recomputedHedge, r.job.PromptTokens)
	}
	return true
}

func (r *runner) others(winner string) []string {
	var names []string
	for name := range r.cancels {
		if name != winner {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// account records the time to the first token, or since the last one.
func (r *runner) account() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	class := string(r.job.Profile.Class)
	if r.started {
		r.host.metrics.Gap(r.job.Organisation, class, now.Sub(r.last))
	} else {
		r.host.metrics.FirstToken(r.job.Organisation, class, now.Sub(r.job.Arrived))
	}
	r.started = true
	r.last = now
	r.host.metrics.Tokens(r.job.Organisation, 1)
}

func (r *runner) cancelStream(d persimpolicy.Dispatch) {
	ctx, cancel := context.WithTimeout(r.host.work, cancelTimeout)
	defer cancel()
	_ = r.host.engine.Cancel(ctx, d.Upstream.Address, streamName(d))
}

// exportCache fetches the cache of a reclaimed stream for the next attempt and
// ends the stream.
func (r *runner) exportCache(d persimpolicy.Dispatch) {
	ctx, cancel := context.WithTimeout(r.host.work, cancelTimeout)
	defer cancel()
	cache, err := r.host.engine.Export(ctx, d.Upstream.Address, streamName(d))
	r.cancelStream(d)
	if err != nil {
		return
	}
	r.host.watchers.keepCache(r.job.ID, cache)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cache = cache.Handle
}

func streamName(d persimpolicy.Dispatch) string {
	return strings.ReplaceAll(d.Attempt, "/", "-")
}
