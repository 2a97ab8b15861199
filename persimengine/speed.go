// Package persimengine learns how fast the engines of a service work from the
// responses of real requests.
//
// It is built for services whose engines nobody has described: what fits one
// deployment would let twice as many requests wait in another. It also learns how much
// each upstream of a service differs from the others. It reads no clock and does no I/O.
package persimengine

import "time"

// Speed is how fast an engine of a service works. It is immutable.
type Speed struct {
	// FirstByte is the time to the first byte of a response to an empty prompt.
	FirstByte time.Duration
	// PromptToken is the time to prefill one token of a prompt, OutputToken the time
	// between two tokens of one response.
	PromptToken time.Duration
	OutputToken time.Duration
	// Run is the time from the first to the last byte of a response.
	Run time.Duration
}

// DefaultSpeed is assumed until responses were observed.
var DefaultSpeed = Speed{
	PromptToken: 10 * time.Microsecond,
	OutputToken: 5 * time.Millisecond,
	Run:         2 * time.Second,
}

// Prefill returns the time to the first byte of a response after a number of prompt
// tokens have been prefilled.
func (s Speed) Prefill(tokens int) time.Duration {
	return s.FirstByte + time.Duration(tokens)*s.PromptToken
}

// QueueStep returns the time by which each request that waits for one of the slots
// delays the next one.
func (s Speed) QueueStep(slots int) time.Duration { return s.Run / time.Duration(max(1, slots)) }

// Busy returns the number of engines that a load keeps busy, given the prompt tokens to
// prefill and the tokens to generate in a second. An engine is busy when it prefills
// all the time or when all its slots are taken, whichever comes first.
func (s Speed) Busy(promptTokens, outputTokens float64, slots int) float64 {
	prefilling := promptTokens * s.PromptToken.Seconds()
	generating := outputTokens * s.OutputToken.Seconds() / float64(max(1, slots))
	return max(prefilling, generating)
}

// WithFirstByte returns a copy with another time to the first byte.
func (s Speed) WithFirstByte(d time.Duration) Speed {
	s.FirstByte = d
	return s
}

// WithPromptToken returns a copy with another time for a prompt token.
func (s Speed) WithPromptToken(d time.Duration) Speed {
	s.PromptToken = d
	return s
}
