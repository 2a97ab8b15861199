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

// stuck is a writer that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

func TestSinkNeverBlocks(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	sink, cleanup := New(out)
	began := time.Now()
	for i := range 10 * DefaultQueue {
		_, err := fmt.Fprintf(sink, "line %d\n", i)
		require.NoError(t, err)
	}
	require.Less(t, time.Since(began), time.Second)
	close(out.release)
	cleanup()
	require.Contains(t, out.got.String(), "lines dropped=")
	t.Run("nor after its end", func(t *testing.T) {
		for range 2 * DefaultQueue {
			_, err := sink.Write([]byte("late\n"))
			require.NoError(t, err)
		}
	})
}

func TestSinkBoundsTheRate(t *testing.T) {
	var out bytes.Buffer
	sink, cleanup := New(&out, WithPerSecond(5))
	for range 100 {
		_, _ = sink.Write([]byte("line\n"))
	}
	cleanup()
	lines := strings.Count(out.String(), "line\n")
	require.LessOrEqual(t, lines, 10)
	require.Contains(t, out.String(), "lines dropped=")
}

func TestSinkWritesWhatWaits(t *testing.T) {
	var out bytes.Buffer
	sink, cleanup := New(&out)
	_, _ = sink.Write([]byte("last\n"))
	cleanup()
	require.Equal(t, "last\n", out.String())
}
