// Package persimsettings reads and validates the settings file of an entry host.
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

// Listen holds the addresses on which the host listens.
type Listen struct {
	Callers   string `toml:"callers"`
	Peers     string `toml:"peers"`
	Operators string `toml:"operators"`
}

// Platform holds the address of the platform and the rate limits of this host, per
// second.
type Platform struct {
	URL             string  `toml:"url"`
	Token           string  `toml:"token"`
	ReadsPerSecond  float64 `toml:"reads"`
	WritesPerSecond float64 `toml:"writes"`
}

// Keys holds the paths of the TLS files for links between hosts.
type Keys struct {
	Authority string `toml:"authority"`
	Cert      string `toml:"cert"`
	Key       string `toml:"key"`
}

// Callers holds the paths of the certificate and key of the callers' interface; with
// empty paths it is served without TLS.
type Callers struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
}

// Ledger holds the layout of the ledger, which must be the same on all hosts.
type Ledger struct {
	Slices    int                     `toml:"slices"`
	Span      persimduration.Duration `toml:"span"`
	Retention persimduration.Duration `toml:"retention"`
	// Interval is the minimum time between two writes of one slice.
	Interval persimduration.Duration `toml:"interval"`
}

// Drain holds the time limits of a graceful shutdown.
type Drain struct {
	// Lag is how long the load balancer may still send requests after readiness failed.
	Lag persimduration.Duration `toml:"lag"`
	// Notice is the time within which the process must exit.
	Notice persimduration.Duration `toml:"notice"`
}

// Timeouts holds the times after which a connection counts as unresponsive or the
// catalogue as stale.
type Timeouts struct {
	Peer persimduration.Duration `toml:"peer"`
	// FirstToken limits the time to the first token of an attempt, TokenGap the time
	// between two tokens.
	FirstToken persimduration.Duration `toml:"first"`
	TokenGap   persimduration.Duration `toml:"silence"`
	Store      persimduration.Duration `toml:"store"`
	// CatalogueStaleness is how long a host stays ready without confirmation that its
	// catalogue is current.
	CatalogueStaleness persimduration.Duration `toml:"stale"`
}

// Limits holds the maximum counts and sizes of the requests that a host accepts.
type Limits struct {
	// MaxRequests limits the requests of callers that are in progress at a time.
	MaxRequests int `toml:"requests"`
	// MaxPromptBytes and MaxBodyBytes limit the sizes of the prompt and of the body of a
	// request; MaxTokens limits its max_tokens.
	MaxPromptBytes int `toml:"prompt"`
	MaxTokens      int `toml:"tokens"`
	MaxBodyBytes   int `toml:"body"`
}

// Organisation is a customer whose callers authenticate with a token.
type Organisation struct {
	Name string `toml:"name"`
	// Digest is the SHA-256 hash of the token in hexadecimal.
	Digest string `toml:"digest"`
}

// Operator is a user of the operators' interface, authenticated by a token.
type Operator struct {
	Name   string `toml:"name"`
	Digest string `toml:"digest"`
}

// Values of the setting "policy".
const (
	PolicyAdaptive = "adaptive"
	PolicyBaseline = "baseline"
)

// DefaultSettings returns the settings used for keys that are absent from a file.
func DefaultSettings() Settings {
	duration := func(d time.Duration) persimduration.Duration { return persimduration.Duration(d) }
	return Settings{
		Platform: Platform{ReadsPerSecond: 100, WritesPerSecond: 40},
		Ledger:   Ledger{Slices: 16, Span: duration(10 * time.Minute), Retention: duration(24 * time.Hour)},
		Drain:    Drain{Lag: duration(5 * time.Second), Notice: duration(25 * time.Second)},
		Timeouts: Timeouts{
			Peer:               duration(2 * time.Second),
			FirstToken:         duration(10 * time.Second),
			TokenGap:           duration(3 * time.Second),
			Store:              duration(2 * time.Second),
			CatalogueStaleness: duration(4 * time.Second),
		},
		Limits: Limits{MaxRequests: 20000, MaxPromptBytes: 256 << 10, MaxTokens: 16384, MaxBodyBytes: 1 << 20},
		Policy: PolicyAdaptive,
	}
}
