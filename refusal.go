package persimmonport

import (
	"errors"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"persimmonport.example/persimpolicy"
	"persimmonport.example/persimwire"
)

// notRunRefusal returns the refusal of a request that has not run.
func notRunRefusal(reason persimwire.Reason, message string) *persimwire.Refusal {
	return &persimwire.Refusal{Outcome: persimwire.Outcome_OUTCOME_NOT_RUN, Reason: reason, Message: message}
}

// unknownOutcomeRefusal returns the refusal of a request that may have run.
func unknownOutcomeRefusal(reason persimwire.Reason, message string) *persimwire.Refusal {
	return &persimwire.Refusal{Outcome: persimwire.Outcome_OUTCOME_UNKNOWN, Reason: reason, Message: message}
}

// alreadyRunRefusal returns the refusal of a request that has run and whose answer
// is no longer stored.
func alreadyRunRefusal(message string) *persimwire.Refusal {
	return &persimwire.Refusal{
		Outcome: persimwire.Outcome_OUTCOME_ALREADY_RUN,
		Reason:  persimwire.Reason_REASON_KEY,
		Message: message,
	}
}

// otherBodyRefusal returns the refusal of a call whose key was used with another body.
func otherBodyRefusal() *persimwire.Refusal {
	return notRunRefusal(persimwire.Reason_REASON_KEY, "the key was used with another body")
}

func withRetryAfter(r *persimwire.Refusal, wait time.Duration) *persimwire.Refusal {
	if wait > 0 {
		r.RetryAfter = durationpb.New(wait)
	}
	return r
}

func policyRefusal(refusal persimpolicy.Refusal) *persimwire.Refusal {
	if refusal.Cause == persimpolicy.CauseDeadline {
		return withRetryAfter(notRunRefusal(persimwire.Reason_REASON_DEADLINE, "the deadline cannot be met"), refusal.RetryAfter)
	}
	return withRetryAfter(notRunRefusal(persimwire.Reason_REASON_OVERLOADED, "too much work is waiting"), refusal.RetryAfter)
}

func connectCode(reason persimwire.Reason) connect.Code {
	switch reason {
	case persimwire.Reason_REASON_INVALID, persimwire.Reason_REASON_KEY:
		return connect.CodeInvalidArgument
	case persimwire.Reason_REASON_UNAUTHENTICATED:
		return connect.CodeUnauthenticated
	case persimwire.Reason_REASON_NOT_FOUND:
		return connect.CodeNotFound
	case persimwire.Reason_REASON_OVERLOADED:
		return connect.CodeResourceExhausted
	case persimwire.Reason_REASON_DEADLINE:
		return connect.CodeDeadlineExceeded
	case persimwire.Reason_REASON_CANCELLED:
		return connect.CodeCanceled
	default:
		return connect.CodeUnavailable
	}
}

// refusalError returns a Connect error with the refusal as its detail.
func refusalError(refusal *persimwire.Refusal) *connect.Error {
	code := connectCode(refusal.GetReason())
	if refusal.GetOutcome() == persimwire.Outcome_OUTCOME_ALREADY_RUN {
		code = connect.CodeAlreadyExists
	}
	err := connect.NewError(code, errors.New(refusal.GetMessage()))
	if detail, detailErr := connect.NewErrorDetail(refusal); detailErr == nil {
		err.AddDetail(detail)
	}
	return err
}

// RefusalOf returns the refusal in the details of a Connect error, if there is one.
func RefusalOf(err error) (*persimwire.Refusal, bool) {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return nil, false
	}
	for _, detail := range connectErr.Details() {
		value, valueErr := detail.Value()
		if valueErr != nil {
			continue
		}
		if refusal, ok := value.(*persimwire.Refusal); ok {
			return refusal, true
		}
	}
	return nil, false
}
