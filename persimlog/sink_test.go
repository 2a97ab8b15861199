package persimlog

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockedWriter is a writer whose writes block until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

func TestSinkNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	sink, cleanup := New(out)
	start := time.Now()
	for i := range 10 * DefaultQueueSize {
		_, err := fmt.Fprintf(sink, "line %d\n", i)
		require.NoError(t, err)
	}
	require.Less(t, time.Since(start), time.Second)
	close(out.release)
	cleanup()
	require.Contains(t, out.written.String(), "lines dropped=")
	t.Run("after cleanup", func(t *testing.T) {
		for range 2 * DefaultQueueSize {
			_, err := sink.Write([]byte("late\n"))
			require.NoError(t, err)
		}
	})
}

func TestSinkLimitsRate(t *testing.T) {
	var out bytes.Buffer
	sink, cleanup := New(&out, WithLinesPerSecond(5))
	for range 100 {
		_, _ = sink.Write([]byte("line\n"))
	}
	cleanup()
	lines := strings.Count(out.String(), "line\n")
	require.LessOrEqual(t, lines, 10)
	require.Contains(t, out.String(), "lines dropped=")
}

func TestCleanupWritesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	sink, cleanup := New(&out)
	_, _ = sink.Write([]byte("last\n"))
	cleanup()
	require.Equal(t, "last\n", out.String())
}
