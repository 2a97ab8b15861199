package persimfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestProgressIsRecordedWhileStreamLasts guards against a slow upstream that is known only
// once its streams have ended.
func TestProgressIsRecordedWhileStreamLasts(t *testing.T) {
	events, took := 0, time.Duration(0)
	p := streamPace{record: func(n int, d time.Duration) { events, took = events+n, took+d }}
	at := time.Unix(1_000_000, 0)
	for range 11 {
		p.count(at, 1)
		at = at.Add(100 * time.Millisecond)
	}
	require.Equal(t, 10, events)
	require.Equal(t, time.Second, took)
}
