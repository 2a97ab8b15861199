package persimplatform

import (
	"errors"
	"net"
	"net/http"
)

// Errors of calls; callers test for them with errors.Is.
var (
	// ErrNotFound reports that no object has the name.
	ErrNotFound = errors.New("platform: object not found")
	// ErrConflict reports that the object is at another version.
	ErrConflict = errors.New("platform: version conflict")
	// ErrExpired reports that changes since a revision are no longer known.
	ErrExpired = errors.New("platform: history is gone")
	// ErrUncertain reports that a write may or may not have taken effect.
	ErrUncertain = errors.New("platform: write outcome unknown")
	// ErrUnavailable reports that the platform did not serve the call.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrThrottled reports that the call exceeded a rate limit and had no effect.
	ErrThrottled = errors.New("platform: rate limit exceeded")
	// ErrTooLarge reports a value above MaxValueBytes.
	ErrTooLarge = errors.New("platform: value too large")
	// ErrRefused reports that the cloud API did not start a host.
	ErrRefused = errors.New("platform: start refused")
)

// statusError returns what the status of an answer means.
func statusError(method string, status int) error {
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusConflict:
		return ErrConflict
	case status == http.StatusGone:
		return ErrExpired
	case status == http.StatusTooManyRequests:
		return ErrThrottled
	case status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case status == http.StatusServiceUnavailable:
		return ErrUnavailable
	case status == http.StatusInsufficientStorage:
		return ErrRefused
	default:
		return unknownOutcome(method)
	}
}

// lostAnswer returns what a call without an answer means.
func lostAnswer(method string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrUnavailable
	}
	return unknownOutcome(method)
}

// unknownOutcome returns what it means that nobody knows whether a call was served:
// a read has no effect in any case.
func unknownOutcome(method string) error {
	if method == http.MethodGet {
		return ErrUnavailable
	}
	return ErrUncertain
}
