// Package persimpolicy decides which job runs next, on which upstream, and
// which attempts are retried or hedged. It reads no clock, starts no goroutine
// and does no I/O.
package persimpolicy

import (
	"time"

	"persimmonport.example/persimprofile"
	"persimmonport.example/persimrouter"
)

// A Job describes one request to the policy.
type Job struct {
	ID           string
	Organisation string
	Service      string
	Profile      persimprofile.Profile
	// Prefix is the hash of the prompt's prefix.
	Prefix       uint64
	PromptTokens int
	// MaxTokens bounds the length of the answer.
	MaxTokens int
	// ReleasedTokens is the number of tokens that earlier attempts have released.
	ReleasedTokens int
	Arrived        time.Time
	Deadline       time.Time
	// Unrepeatable forbids hedging, and a retry after an attempt that may have run.
	Unrepeatable bool
	// Avoid lists the upstream addresses that the next attempt must not use.
	Avoid []string
}

// WithReleasedTokens returns a copy of the job with the number of tokens released so far.
func (j Job) WithReleasedTokens(tokens int) Job {
	j.ReleasedTokens = tokens
	return j
}

// WithAvoid returns a copy of the job whose next attempt must not use the given
// upstream addresses.
func (j Job) WithAvoid(addresses ...string) Job {
	j.Avoid = addresses
	return j
}

// A Dispatch tells the caller to start one attempt.
type Dispatch struct {
	Job      string
	Attempt  string
	Upstream persimrouter.Upstream
	// Hedge reports whether the attempt is a second one of a job that still runs.
	Hedge bool
	// Priority is the scheduling priority inside the engine; lower values run first.
	Priority int
}

// A Refusal states why a job was refused and when a retry may succeed.
type Refusal struct {
	Cause      Cause
	RetryAfter time.Duration
}

// A Cause is the reason of a refusal.
type Cause int

// Causes of a refusal.
const (
	CauseNone Cause = iota
	CauseOverload
	CauseDeadline
)

// A Result is how an attempt ended.
type Result int

// Results of an attempt.
const (
	ResultDone Result = iota
	ResultFailed
	ResultCancelled
)

// A Decision lists the attempts to start and the jobs to refuse.
type Decision struct {
	Starts []Dispatch
	// Refused lists the jobs that were dropped from the queue.
	Refused []RefusedJob
}

// A RefusedJob is a queued job that was dropped.
type RefusedJob struct {
	Job     string
	Refusal Refusal
}

// A Policy decides on the jobs of one group of upstreams. It is not safe for
// concurrent use.
type Policy interface {
	// SetUpstreams replaces the set of upstreams that may receive attempts.
	SetUpstreams(upstreams []persimrouter.Upstream)
	// SetHosts sets the number of entry hosts that share the upstreams.
	SetHosts(hosts int)
	// Offer queues a job, or refuses it and reports false.
	Offer(now time.Time, job Job) (Refusal, bool)
	// Requeue queues a job for another attempt within the retry budget. It reports
	// false when the budget is exhausted or the deadline cannot be met. A forced
	// attempt, after an announced reclaim, is not charged to the budget.
	Requeue(now time.Time, job Job, forced bool) bool
	// Withdraw removes a job from the queue.
	Withdraw(id string)
	// Next returns the attempts to start now and the queued jobs to refuse.
	Next(now time.Time) Decision
	// Progress records that an attempt has released tokens.
	Progress(now time.Time, attempt string, tokens int)
	// End records the end of an attempt.
	End(now time.Time, attempt string, result Result)
	// Report records a load report of an upstream.
	Report(now time.Time, address string, report persimrouter.Report)
	// Status returns the observed state of each upstream.
	Status(now time.Time) []persimrouter.Status
	// Waiting returns the number of queued jobs.
	Waiting() int
	// Demand estimates the number of slots in use or queued for, over all entry hosts.
	Demand(now time.Time) float64
}
