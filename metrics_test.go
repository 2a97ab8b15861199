package persimmonport

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// countingMetrics counts the metrics that hosts record.
type countingMetrics struct {
	nullMetrics

	mu                  sync.Mutex
	firstTokens         int
	interTokenLatencies int
	tokens              int
	requests            map[string]int
}

func (c *countingMetrics) TimeToFirstToken(string, string, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.firstTokens++
}

func (c *countingMetrics) InterTokenLatency(string, string, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interTokenLatencies++
}

func (c *countingMetrics) Tokens(_ string, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens += tokens
}

func (c *countingMetrics) Request(_, class, outcome string, _ time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[class+" "+outcome]++
}

func TestMetricsAreRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		metrics := &countingMetrics{requests: map[string]int{}}
		config := defaultDeploymentConfig()
		config.metrics = metrics
		d := newDeployment(t, config)
		defer d.close()
		d.waitReady()
		for i := range 4 {
			require.True(t, d.readStream(i, "match len=10", time.Minute).complete())
		}
		require.True(t, d.sendOrder(d.entries[0], newKey(newRandom(8), time.Now()), "arm", false).answered)
		time.Sleep(time.Second)
		metrics.mu.Lock()
		defer metrics.mu.Unlock()
		require.Equal(t, 4, metrics.firstTokens)
		require.Equal(t, 36, metrics.interTokenLatencies)
		require.Equal(t, 40, metrics.tokens)
		require.Equal(t, map[string]int{"long done": 4, "short done": 1}, metrics.requests)
	})
}
