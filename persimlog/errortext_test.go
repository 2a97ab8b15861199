package persimlog

import (
	"errors"
	"testing"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"
)

func TestErrorTextIsSingleLine(t *testing.T) {
	require.Empty(t, ErrorText(nil))
	err := trace.Wrap(trace.Wrap(errors.New("store unavailable"), "GET /objects: refused"))
	require.NotContains(t, ErrorText(err), "\n")
	require.Contains(t, ErrorText(err), "refused")
}
