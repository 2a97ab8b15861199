package persimplatform

import (
	"errors"
	"net"
	"net/http"
)

// Errors of platform calls; test for them with errors.Is.
var (
	// ErrNotFound reports that no object with the name exists.
	ErrNotFound = errors.New("platform: object not found")
	// ErrConflict reports that the object is at another version.
	ErrConflict = errors.New("platform: version conflict")
	// ErrExpired reports that the platform no longer keeps the changes since a revision.
	ErrExpired = errors.New("platform: history is gone")
	// ErrUncertain reports that a write may or may not have taken effect.
	ErrUncertain = errors.New("platform: write outcome unknown")
	// ErrUnavailable reports that the platform did not process the call.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrThrottled reports that the call exceeded a rate limit and had no effect.
	ErrThrottled = errors.New("platform: rate limit exceeded")
	// ErrTooLarge reports a value or an object above its maximum size.
	ErrTooLarge = errors.New("platform: value too large")
	// ErrRefused reports that the cloud API did not start a host.
	ErrRefused = errors.New("platform: start refused")
)

// statusError maps the HTTP status of a response to an error.
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
		return outcomeUnknownError(method)
	}
}

// transportError returns the error of a call without a response: ErrUnavailable if the
// connection was not established.
func transportError(method string, err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return ErrUnavailable
	}
	return outcomeUnknownError(method)
}

// outcomeUnknownError returns the error of a call that may or may not have been
// processed: ErrUnavailable for a read, which has no effect either way.
func outcomeUnknownError(method string) error {
	if method == http.MethodGet {
		return ErrUnavailable
	}
	return ErrUncertain
}
