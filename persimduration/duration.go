// Package persimduration marshals the durations in settings and profiles as text.
package persimduration

import (
	"time"

	"github.com/gravitational/trace"
)

// A Duration is a time.Duration whose text form is a string such as "1.5s".
type Duration time.Duration

// UnmarshalText parses a duration in the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return trace.BadParameter("invalid duration %q: expected a value such as 250ms, 1.5s or 10m", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText formats the duration as UnmarshalText parses it.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// String formats the duration like time.Duration.String.
func (d Duration) String() string {
	return time.Duration(d).String()
}
