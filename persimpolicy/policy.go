// Package persimpolicy decides which job runs next, on which upstream, and
// which attempts are repeated. It has no clock, no goroutine and no I/O.
package persimpolicy

import (
	"time"

	"persimmonport.example/persimprofile"
	"persimmonport.example/persimrouter"
)

// A Job is one request as the policy sees it.
type Job struct {
	ID           string
	Organisation string
	Service      string
	Profile      persimprofile.Profile
	// Prefix is the hash of the prompt's head.
	Prefix       uint64
	PromptTokens int
	// MaxTokens bounds the length of the answer.
	MaxTokens int
	// Done is the number of tokens already released by earlier attempts.
	Done     int
	Arrived  time.Time
	Deadline time.Time
	// Unrepeatable forbids hedges and a retry after an attempt that may have run.
	Unrepeatable bool
	// Avoid lists addresses that the next attempt must not use.
	Avoid []string
}

// WithDone returns a copy of the job after released tokens.
func (j Job) WithDone(tokens int) Job {
	j.Done = tokens
	return j
}

// WithAvoid returns a copy of the job whose next attempt must not use the addresses.
func (j Job) WithAvoid(addresses ...string) Job {
	j.Avoid = addresses
	return j
}

// A Dispatch tells the caller to start one attempt.
type Dispatch struct {
	Job      string
	Attempt  string
	Upstream persimrouter.Upstream
	Hedge    bool
	Priority int
}

// A Refusal says why a job is not admitted and when another try may succeed.
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

// An Outcome lists what one decision brought about.
type Outcome struct {
	Starts []Dispatch
	// Refused lists queued jobs that are given up.
	Refused []Refused
}

// A Refused is a queued job that is given up.
type Refused struct {
	Job     string
	Refusal Refusal
}

// A Policy decides on the jobs of one group of upstreams. It is not safe for
// concurrent use.
type Policy interface {
	// SetUpstreams replaces the upstreams that may get work.
	SetUpstreams(upstreams []persimrouter.Upstream)
	// SetHosts sets the number of entry hosts that share the upstreams.
	SetHosts(hosts int)
	// Offer queues a job, or refuses it and reports false.
	Offer(now time.Time, job Job) (Refusal, bool)
	// Requeue queues a job again for another attempt within the retry budget.
	// It reports false when budget or deadline forbid it. A forced attempt, after
	// an announced reclaim, needs no budget.
	Requeue(now time.Time, job Job, forced bool) bool
	// Withdraw removes a waiting job.
	Withdraw(id string)
	// Next returns the attempts to start now and the jobs to give up.
	Next(now time.Time) Outcome
	// Progress records that an attempt has released tokens.
	Progress(now time.Time, attempt string, tokens int)
	// End records the end of an attempt.
	End(now time.Time, attempt string, result Result)
	// Report records what an upstream said about its load.
	Report(now time.Time, address string, report persimrouter.Report)
	// Status returns what is known of each upstream.
	Status(now time.Time) []persimrouter.Status
	// Waiting returns the number of waiting jobs.
	Waiting() int
	// Demand returns the number of slots in use or asked for, on all hosts.
	Demand(now time.Time) float64
}
