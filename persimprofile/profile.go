// Package persimprofile holds the catalogue of service profiles that operators edit
// and of the services that use them.
package persimprofile

import (
	"fmt"
	"regexp"
	"time"

	"github.com/gravitational/trace"

	"persimmonport.example/persimduration"
)

// Class is the expected duration class of the requests of a profile.
type Class string

// Classes of requests.
const (
	ClassShort Class = "short"
	ClassLong  Class = "long"
)

// Profile holds the latency targets, weights and limits of a type of request.
type Profile struct {
	Name  string `toml:"name"`
	Class Class  `toml:"class"`
	// Patience is the time after which the caller no longer needs the response.
	Patience persimduration.Duration `toml:"patience"`
	// FirstToken is the target for the time to the first token.
	FirstToken persimduration.Duration `toml:"first"`
	// TokenGap is the target for the time between tokens.
	TokenGap persimduration.Duration `toml:"gap"`
	// CostWeight is the weight of paid and recomputed work in scheduling decisions.
	CostWeight float64 `toml:"cost"`
	// WaitWeight is the weight of waiting time in scheduling decisions.
	WaitWeight float64 `toml:"wait"`
	// MaxAttempts is the maximum number of attempts of one request.
	MaxAttempts int `toml:"attempts"`
	// RetryShare is the maximum ratio of retries to fresh requests.
	RetryShare float64 `toml:"retries"`
	// HedgeShare is the maximum ratio of hedged attempts to fresh requests.
	HedgeShare float64 `toml:"hedges"`
	// ReplicaRequired makes a host refuse a request of which no other host can hold a replica.
	ReplicaRequired bool `toml:"replica"`
	// Retention is how long a completed response is kept for its caller.
	Retention persimduration.Duration `toml:"retention"`
}

// DefaultProfile returns the values used for keys that are absent from a profile.
func DefaultProfile() Profile {
	return Profile{
		Class:       ClassShort,
		Patience:    persimduration.Duration(time.Minute),
		FirstToken:  persimduration.Duration(930 * time.Millisecond),
		TokenGap:    persimduration.Duration(59 * time.Millisecond),
		CostWeight:  1,
		WaitWeight:  1,
		MaxAttempts: 3,
		RetryShare:  0.1,
		HedgeShare:  0.02,
		Retention:   persimduration.Duration(time.Minute),
	}
}

// WithName returns a copy of the profile with another name.
func (p Profile) WithName(name string) Profile {
	p.Name = name
	return p
}

// WithPatience returns a copy of the profile with another patience.
func (p Profile) WithPatience(patience time.Duration) Profile {
	p.Patience = persimduration.Duration(patience)
	return p
}

// WithWeights returns a copy of the profile with other weights.
func (p Profile) WithWeights(cost, wait float64) Profile {
	p.CostWeight = cost
	p.WaitWeight = wait
	return p
}

// Fault describes a field with an invalid value.
type Fault struct {
	Field   string
	Value   string
	Allowed string
}

// String formats the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s = %s: allowed is %s", f.Field, f.Value, f.Allowed)
}

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

const nameRule = "a lower-case letter, then up to 62 letters, digits or hyphens"

type durationRange struct {
	field     string
	value     persimduration.Duration
	low, high time.Duration
}

type numberRange struct {
	field     string
	value     float64
	low, high float64
}

// Validate returns all faults of the profile, or none if it is valid.
func (p Profile) Validate() []Fault {
	var faults []Fault
	if !namePattern.MatchString(p.Name) {
		faults = append(faults, Fault{"name", fmt.Sprintf("%q", p.Name), nameRule})
	}
	if p.Class != ClassShort && p.Class != ClassLong {
		faults = append(faults, Fault{"class", fmt.Sprintf("%q", p.Class), `"short" or "long"`})
	}
	faults = append(faults, p.checkDurations()...)
	return append(faults, p.checkNumbers()...)
}

func (p Profile) checkDurations() []Fault {
	ranges := []durationRange{
		{"patience", p.Patience, 100 * time.Millisecond, time.Hour},
		{"first", p.FirstToken, time.Millisecond, time.Hour},
		{"gap", p.TokenGap, time.Millisecond, time.Minute},
		{"retention", p.Retention, 0, time.Hour},
	}
	var faults []Fault
	for _, r := range ranges {
		if r.value.Std() < r.low || r.value.Std() > r.high {
			faults = append(faults, Fault{r.field, r.value.String(), fmt.Sprintf("%s to %s", r.low, r.high)})
		}
	}
	return faults
}

func (p Profile) checkNumbers() []Fault {
	ranges := []numberRange{
		{"cost", p.CostWeight, 0, 100},
		{"wait", p.WaitWeight, 0, 100},
		{"attempts", float64(p.MaxAttempts), 1, 10},
		{"retries", p.RetryShare, 0, 1},
		{"hedges", p.HedgeShare, 0, 0.5},
	}
	var faults []Fault
	for _, r := range ranges {
		inRange := r.value >= r.low && r.value <= r.high
		if !inRange {
			faults = append(faults, Fault{r.field, fmt.Sprint(r.value), fmt.Sprintf("%g to %g", r.low, r.high)})
		}
	}
	return faults
}

// Explain describes the effect of the profile on requests, one sentence per line.
func (p Profile) Explain() []string {
	lines := []string{
		fmt.Sprintf("Work of class %s is refused once %s have passed.", p.Class, p.Patience),
		fmt.Sprintf("The target is a first token within %s and %s between tokens.", p.FirstToken, p.TokenGap),
		fmt.Sprintf("A request gets at most %d attempts; retries stay below %.0f%% and hedges below %.0f%% of fresh requests.",
			p.MaxAttempts, p.RetryShare*100, p.HedgeShare*100),
		fmt.Sprintf("A finished answer is held for %s.", p.Retention),
	}
	if p.ReplicaRequired {
		lines = append(lines, "A request is refused when no other entry host can hold a replica.")
	}
	return append(lines, p.explainWeights())
}

func (p Profile) explainWeights() string {
	if p.CostWeight > p.WaitWeight {
		return "Requests wait longer for an upstream that has their prefix cached, and are not hedged early."
	}
	return "Requests go to the upstream that is expected to finish first, even if the prompt is computed again."
}

// ValidationError returns an error that lists the faults, or nil if there are none.
func ValidationError(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	message := ""
	for i, f := range faults {
		if i > 0 {
			message += "; "
		}
		message += f.String()
	}
	return trace.BadParameter("profile: %s", message)
}
