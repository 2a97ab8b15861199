package persimprofile

import (
	"fmt"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// MaxChanges is the number of changes in the history of a catalogue.
const MaxChanges = 200

// MaxEntries is the maximum number of profiles, and of services, in a catalogue.
const MaxEntries = 500

// Service maps the service name that callers use to a group of upstreams and a profile.
type Service struct {
	Name    string `toml:"name"`
	Group   string `toml:"group"`
	Profile string `toml:"profile"`
	// AtMostOnceMethods lists the methods whose calls have at-most-once semantics.
	AtMostOnceMethods []string `toml:"once"`
}

// RunsAtMostOnce reports whether calls of the method have at-most-once semantics.
func (s Service) RunsAtMostOnce(method string) bool {
	return slices.Contains(s.AtMostOnceMethods, method)
}

// Change records one accepted edit of the catalogue.
type Change struct {
	Generation  uint64
	ID          string
	Operator    string
	Time        time.Time
	Differences []string
}

// Catalogue is the immutable set of profiles and services of one generation.
type Catalogue struct {
	generation uint64
	profiles   []Profile
	services   []Service
	changes    []Change
}

// NewCatalogue returns the catalogue of a generation.
func NewCatalogue(generation uint64, profiles []Profile, services []Service, changes []Change) Catalogue {
	return Catalogue{
		generation: generation,
		profiles:   slices.Clone(profiles),
		services:   slices.Clone(services),
		changes:    slices.Clone(changes),
	}
}

// Generation returns the number of changes accepted so far.
func (c Catalogue) Generation() uint64 { return c.generation }

// Profiles returns the profiles sorted by name.
func (c Catalogue) Profiles() []Profile { return slices.Clone(c.profiles) }

// Services returns the services sorted by name.
func (c Catalogue) Services() []Service { return slices.Clone(c.services) }

// Changes returns the last changes, oldest first.
func (c Catalogue) Changes() []Change { return slices.Clone(c.changes) }

// Profile returns the profile with the name.
func (c Catalogue) Profile(name string) (Profile, bool) {
	i := slices.IndexFunc(c.profiles, func(p Profile) bool { return p.Name == name })
	if i < 0 {
		return Profile{}, false
	}
	return c.profiles[i], true
}

// Service returns the service with the name and its profile.
func (c Catalogue) Service(name string) (Service, Profile, bool) {
	i := slices.IndexFunc(c.services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, Profile{}, false
	}
	profile, ok := c.Profile(c.services[i].Profile)
	return c.services[i], profile, ok
}

// HasChange reports whether the history contains a change with the identifier.
func (c Catalogue) HasChange(id string) bool {
	return slices.ContainsFunc(c.changes, func(change Change) bool { return change.ID == id })
}

// ChangesSince returns the changes in the history after a generation.
func (c Catalogue) ChangesSince(generation uint64) []Change {
	return slices.DeleteFunc(slices.Clone(c.changes), func(change Change) bool { return change.Generation <= generation })
}

// WithProfile returns the next generation, with the profile added or replaced. It
// returns an error that lists every fault of an invalid profile.
func (c Catalogue) WithProfile(profile Profile, change Change) (Catalogue, error) {
	if err := ValidationError(profile.Validate()); err != nil {
		return c, trace.Wrap(err)
	}
	old, _ := c.Profile(profile.Name)
	next := c
	next.profiles = upsert(c.profiles, profile, func(p Profile) string { return p.Name })
	return next.withChange(change, diffProfile(old, profile))
}

// WithService returns the next generation, with the service added or replaced. It
// returns an error for an invalid name or an unknown profile.
func (c Catalogue) WithService(service Service, change Change) (Catalogue, error) {
	if err := ValidationError(c.checkService(service)); err != nil {
		return c, trace.Wrap(err)
	}
	old, _, _ := c.Service(service.Name)
	next := c
	next.services = upsert(c.services, service, func(s Service) string { return s.Name })
	return next.withChange(change, diffService(old, service))
}

func (c Catalogue) checkService(s Service) []Fault {
	var faults []Fault
	if !namePattern.MatchString(s.Name) {
		faults = append(faults, Fault{"name", fmt.Sprintf("%q", s.Name), nameRule})
	}
	if !namePattern.MatchString(s.Group) {
		faults = append(faults, Fault{"group", fmt.Sprintf("%q", s.Group), nameRule})
	}
	if _, ok := c.Profile(s.Profile); !ok {
		faults = append(faults, Fault{"profile", fmt.Sprintf("%q", s.Profile), "the name of a profile"})
	}
	return faults
}

func (c Catalogue) withChange(change Change, differences []string) (Catalogue, error) {
	if len(c.profiles) > MaxEntries || len(c.services) > MaxEntries {
		return c, trace.LimitExceeded("catalogue: more than %d entries", MaxEntries)
	}
	c.generation++
	change.Generation = c.generation
	change.Differences = differences
	c.changes = append(slices.Clone(c.changes), change)
	if excess := len(c.changes) - MaxChanges; excess > 0 {
		c.changes = c.changes[excess:]
	}
	return c, nil
}

// upsert returns the entries with entry added or replaced, sorted by name.
func upsert[T any](entries []T, entry T, name func(T) string) []T {
	updated := slices.DeleteFunc(slices.Clone(entries), func(e T) bool { return name(e) == name(entry) })
	updated = append(updated, entry)
	slices.SortFunc(updated, func(a, b T) int {
		if name(a) < name(b) {
			return -1
		}
		return 1
	})
	return updated
}

type difference struct {
	field    string
	old, new any
}

func diffProfile(old, new Profile) []string {
	return formatDifferences("profile "+new.Name, []difference{
		{"class", old.Class, new.Class},
		{"patience", old.Patience, new.Patience},
		{"first", old.FirstToken, new.FirstToken},
		{"gap", old.TokenGap, new.TokenGap},
		{"cost", old.CostWeight, new.CostWeight},
		{"wait", old.WaitWeight, new.WaitWeight},
		{"attempts", old.MaxAttempts, new.MaxAttempts},
		{"retries", old.RetryShare, new.RetryShare},
		{"hedges", old.HedgeShare, new.HedgeShare},
		{"replica", old.ReplicaRequired, new.ReplicaRequired},
		{"retention", old.Retention, new.Retention},
	})
}

func diffService(old, new Service) []string {
	return formatDifferences("service "+new.Name, []difference{
		{"group", old.Group, new.Group},
		{"profile", old.Profile, new.Profile},
		{"once", fmt.Sprint(old.AtMostOnceMethods), fmt.Sprint(new.AtMostOnceMethods)},
	})
}

func formatDifferences(subject string, differences []difference) []string {
	var lines []string
	for _, diff := range differences {
		if diff.old != diff.new {
			lines = append(lines, fmt.Sprintf("%s: %s: %v -> %v", subject, diff.field, diff.old, diff.new))
		}
	}
	return lines
}
