// Package persimduration reads and writes time spans in settings and profiles.
package persimduration

import (
	"time"

	"github.com/gravitational/trace"
)

// A Duration is a time span that is written as text such as "1.5s".
type Duration time.Duration

// UnmarshalText parses a span in the form that time.ParseDuration reads.
func (d *Duration) UnmarshalText(text []byte) error {
	span, err := time.ParseDuration(string(text))
	if err != nil {
		return trace.BadParameter("time span %q: want a form such as 250ms, 1.5s or 10m", text)
	}
	*d = Duration(span)
	return nil
}

// MarshalText writes the span in the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the span as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// String returns the text form of the span.
func (d Duration) String() string {
	return time.Duration(d).String()
}
