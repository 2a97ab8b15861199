package persimlog

import (
	"strings"

	"github.com/gravitational/trace"
)

// ErrorText returns the message of an error as a single line, without the stack trace
// that the trace package records, or an empty string for nil.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	return strings.ReplaceAll(trace.UserMessage(err), "\n", " ")
}
