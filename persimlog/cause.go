package persimlog

import (
	"strings"

	"github.com/gravitational/trace"
)

// Cause returns an error as one line for the log, without the places in the code
// that it passed.
func Cause(err error) string {
	if err == nil {
		return ""
	}
	return strings.ReplaceAll(trace.UserMessage(err), "\n", " ")
}
