// Package persimsettings reads and checks the settings file of an entry host.
package persimsettings

import (
	"time"

	"persimmonport.example/persimduration"
)

// Settings are the settings of one entry host.
type Settings struct {
	Name          string         `toml:"name"`
	Centre        string         `toml:"centre"`
	Listen        Listen         `toml:"listen"`
	Peers         []string       `toml:"peers"`
	Platform      Platform       `toml:"platform"`
	Keys          Keys           `toml:"keys"`
	Callers       Callers        `toml:"callers"`
	Ledger        Ledger         `toml:"ledger"`
	Drain         Drain          `toml:"drain"`
	Timeouts      Timeouts       `toml:"timeouts"`
	Limits        Limits         `toml:"limits"`
	Policy        string         `toml:"policy"`
	Organisations []Organisation `toml:"organisations"`
	Operators     []Operator     `toml:"operators"`
}

// Listen holds the addresses that the host listens on.
type Listen struct {
	Callers   string `toml:"callers"`
	Peers     string `toml:"peers"`
	Operators string `toml:"operators"`
}

// Platform holds the address of the platform and this host's share of its rates.
type Platform struct {
	URL    string  `toml:"url"`
	Token  string  `toml:"token"`
	Reads  float64 `toml:"reads"`
	Writes float64 `toml:"writes"`
}

// Keys holds the paths of the certificates for links between hosts.
type Keys struct {
	Authority string `toml:"authority"`
	Cert      string `toml:"cert"`
	Key       string `toml:"key"`
}

// Callers holds the paths of the certificate that callers see; empty paths serve
// without encryption.
type Callers struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
}

// Ledger holds the shape of the ledger, which must be the same on all hosts.
type Ledger struct {
	Slices    int                     `toml:"slices"`
	Span      persimduration.Duration `toml:"span"`
	Retention persimduration.Duration `toml:"retention"`
	// Interval is the least time between two writes of one slice.
	Interval persimduration.Duration `toml:"interval"`
}

// Drain holds the times of a graceful shutdown.
type Drain struct {
	// Lag is how long the balancer may still send after readiness failed.
	Lag persimduration.Duration `toml:"lag"`
	// Notice is the time until the process must have ended.
	Notice persimduration.Duration `toml:"notice"`
}

// Timeouts holds the bounds after which a connection counts as silent.
type Timeouts struct {
	Peer    persimduration.Duration `toml:"peer"`
	First   persimduration.Duration `toml:"first"`
	Silence persimduration.Duration `toml:"silence"`
	Store   persimduration.Duration `toml:"store"`
	// Stale is how long a host stays ready without knowing that its catalogue is current.
	Stale persimduration.Duration `toml:"stale"`
}

// Limits holds the sizes and counts that bound a host's work.
type Limits struct {
	Requests int `toml:"requests"`
	Prompt   int `toml:"prompt"`
	Tokens   int `toml:"tokens"`
	Body     int `toml:"body"`
}

// An Organisation is a customer whose callers authenticate with a token.
type Organisation struct {
	Name string `toml:"name"`
	// Digest is the SHA-256 of the token in hexadecimal form.
	Digest string `toml:"digest"`
}

// An Operator may use the operators' interface with a token.
type Operator struct {
	Name   string `toml:"name"`
	Digest string `toml:"digest"`
}

// Names of the policies.
const (
	PolicyAdaptive = "adaptive"
	PolicyBaseline = "baseline"
)

// DefaultSettings returns the values of keys that a file leaves out.
func DefaultSettings() Settings {
	span := func(d time.Duration) persimduration.Duration { return persimduration.Duration(d) }
	return Settings{
		Platform: Platform{Reads: 100, Writes: 40},
		Ledger:   Ledger{Slices: 16, Span: span(10 * time.Minute), Retention: span(24 * time.Hour)},
		Drain:    Drain{Lag: span(5 * time.Second), Notice: span(25 * time.Second)},
		Timeouts: Timeouts{
			Peer:    span(2 * time.Second),
			First:   span(10 * time.Second),
			Silence: span(3 * time.Second),
			Store:   span(2 * time.Second),
			Stale:   span(4 * time.Second),
		},
		Limits: Limits{Requests: 20000, Prompt: 256 << 10, Tokens: 16384, Body: 1 << 20},
		Policy: PolicyAdaptive,
	}
}
