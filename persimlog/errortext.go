package persimlog

import (
	"strings"

	"github.com/gravitational/trace"
)

// maxErrorBytes is the length at which the text of an error is cut off; it may quote what
// others have sent.
const maxErrorBytes = 500

// ErrorText returns the message of an error as a single line, without the stack trace
// that the trace package records, or an empty string for nil.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	text := strings.ReplaceAll(trace.UserMessage(err), "\n", " ")
	if len(text) > maxErrorBytes {
		text = text[:maxErrorBytes] + "..."
	}
	return text
}
