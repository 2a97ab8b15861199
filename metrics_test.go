package persimmonport

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// countingMetrics counts what hosts record.
type countingMetrics struct {
	nullMetrics

	mu     sync.Mutex
	first  int
	gaps   int
	tokens int
	ended  map[string]int
}

func (c *countingMetrics) FirstToken(string, string, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.first++
}

func (c *countingMetrics) Gap(string, string, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gaps++
}

func (c *countingMetrics) Tokens(_ string, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens += tokens
}

func (c *countingMetrics) Request(_, class, outcome string, _ time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended[class+" "+outcome]++
}

func TestUsageIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		metrics := &countingMetrics{ended: map[string]int{}}
		s := defaultShape()
		s.metrics = metrics
		d := newDeployment(t, s)
		defer d.close()
		d.awaitReady()
		for i := range 4 {
			require.True(t, d.read(i, "match len=10", time.Minute).whole())
		}
		require.True(t, d.order(d.entries[0], newKey(randomOf(8), time.Now()), "arm", false).answered)
		time.Sleep(time.Second)
		metrics.mu.Lock()
		defer metrics.mu.Unlock()
		require.Equal(t, 4, metrics.first)
		require.Equal(t, 36, metrics.gaps)
		require.Equal(t, 40, metrics.tokens)
		require.Equal(t, map[string]int{"long done": 4, "short done": 1}, metrics.ended)
	})
}
