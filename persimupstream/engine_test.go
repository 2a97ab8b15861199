package persimupstream

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// eventCase is a body of server-sent events with the expected text and error.
type eventCase struct {
	name     string
	body     string
	wantText string
	wantErr  error
}

const (
	eventA   = `data: {"index":0,"choices":[{"text":"a"}]}` + "\n\n"
	eventB   = `data: {"index":1,"choices":[{"text":"b"}]}` + "\n\n"
	eventEnd = `data: {"index":2,"choices":[{"finish_reason":"stop"}]}` + "\n\n"
)

func TestReadEvents(t *testing.T) {
	for _, c := range []eventCase{
		{"complete", eventA + eventB + eventEnd, "ab", nil},
		{"comment between events", eventA + ": keep-alive\n\n" + eventB + eventEnd, "ab", nil},
		{"truncated before the end marker", eventA + eventB, "ab", ErrBroken},
		{"truncated within the end marker", eventA + eventB + strings.TrimSpace(eventEnd), "ab", ErrBroken},
		{"missing token", eventB + eventEnd, "", ErrBroken},
		{"duplicate token", eventA + eventA, "a", ErrBroken},
		{"end marker too early", eventA + eventEnd, "a", ErrBroken},
		{"no choice", "data: {}\n\n", "", ErrBroken},
		{"malformed", "data: {\n\n", "", ErrBroken},
		{"empty", "", "", ErrBroken},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := ""
			_, err := readEvents(strings.NewReader(c.body), 0, func(_ int, token string) error {
				text += token
				return nil
			})
			require.ErrorIs(t, err, c.wantErr)
			require.Equal(t, c.wantText, text)
		})
	}
}

func FuzzReadEvents(f *testing.F) {
	f.Add(eventA + eventB + eventEnd)
	f.Add("data: {\"choices\":null}\n")
	f.Fuzz(func(t *testing.T, body string) {
		next := 0
		_, _ = readEvents(strings.NewReader(body), 0, func(index int, _ string) error {
			require.Equal(t, next, index)
			next++
			return nil
		})
	})
}
