package persimsoak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRanOutOfTime(t *testing.T) {
	began := time.Now()
	at := func(d time.Duration) time.Time { return began.Add(d) }
	tests := map[string]struct {
		ended    time.Duration
		finished time.Duration
		want     bool
	}{
		"the upstream is at work":          {requestTimeout, 0, true},
		"the upstream has just finished":   {requestTimeout, requestTimeout - maxHoldTime, true},
		"the host held the response back":  {requestTimeout, requestTimeout - maxHoldTime - time.Millisecond, false},
		"the connection ended before that": {requestTimeout - time.Millisecond, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := execution{upstream: "u"}
			if test.finished > 0 {
				e.finished = at(test.finished)
			}
			o := outcome{began: began, ended: at(test.ended)}
			require.Equal(t, test.want, ranOutOfTime(o, []execution{e}))
		})
	}
}
