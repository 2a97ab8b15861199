package persimsettings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"time"
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

const (
	nameRule   = "want a lower-case letter, then up to 62 letters, digits or hyphens"
	digestSize = 32
)

// checker collects the faults of a settings file.
type checker struct {
	index  index
	skip   map[string]bool
	faults []Fault
}

func check(s Settings, ix index, skip map[string]bool) []Fault {
	c := &checker{index: ix, skip: skip}
	c.name("name", s.Name)
	c.name("centre", s.Centre)
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.peers", s.Listen.Peers)
	c.address("listen.operators", s.Listen.Operators)
	for _, peer := range s.Peers {
		c.address("peers", peer)
	}
	c.platform(s.Platform)
	c.required("keys.authority", s.Keys.Authority)
	c.required("keys.cert", s.Keys.Cert)
	c.required("keys.key", s.Keys.Key)
	c.pair(s.Callers)
	c.ledger(s.Ledger)
	c.durations(s)
	c.limits(s.Limits)
	c.policy(s.Policy)
	c.identities(s)
	return c.faults
}

func (c *checker) add(key, format string, args ...any) {
	if c.skip[key] {
		return
	}
	c.faults = append(c.faults, Fault{Line: c.index.line(key), Key: key, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) name(key, value string) {
	if !namePattern.MatchString(value) {
		c.add(key, "%q: %s", value, nameRule)
	}
}

func (c *checker) required(key, value string) {
	if value == "" {
		c.add(key, "missing")
	}
}

func (c *checker) address(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(key, "%q: want an IP number and a port, such as 127.0.0.1:7001", value)
	}
}

func (c *checker) platform(p Platform) {
	parsed, err := url.Parse(p.URL)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		c.add("platform.url", "%q: want an address such as http://127.0.0.1:7000", p.URL)
	}
	c.float("platform.reads", p.Reads, 1, 2000)
	c.float("platform.writes", p.Writes, 1, 500)
}

func (c *checker) float(key string, value, low, high float64) {
	inRange := value >= low && value <= high
	if !inRange {
		c.add(key, "%g: allowed is %g to %g", value, low, high)
	}
}

func (c *checker) pair(callers Callers) {
	if (callers.Cert == "") != (callers.Key == "") {
		c.add("callers.cert", "cert and key go together")
	}
}

func (c *checker) ledger(l Ledger) {
	c.count("ledger.slices", l.Slices, 1, 4096)
	c.duration("ledger.span", l.Span.Std(), time.Minute, time.Hour)
	c.duration("ledger.interval", l.Interval.Std(), 0, 2*time.Second)
	c.duration("ledger.retention", l.Retention.Std(), time.Hour, 30*24*time.Hour)
}

func (c *checker) durations(s Settings) {
	c.duration("drain.lag", s.Drain.Lag.Std(), 0, time.Minute)
	c.duration("drain.notice", s.Drain.Notice.Std(), time.Second, time.Hour)
	if s.Drain.Notice <= s.Drain.Lag {
		c.add("drain.notice", "%s: must be longer than drain.lag", s.Drain.Notice)
	}
	c.duration("timeouts.peer", s.Timeouts.Peer.Std(), 100*time.Millisecond, 10*time.Second)
	c.duration("timeouts.first", s.Timeouts.First.Std(), 100*time.Millisecond, 10*time.Minute)
	c.duration("timeouts.silence", s.Timeouts.Silence.Std(), 100*time.Millisecond, time.Minute)
	c.duration("timeouts.store", s.Timeouts.Store.Std(), 100*time.Millisecond, 30*time.Second)
	c.duration("timeouts.stale", s.Timeouts.Stale.Std(), time.Second, time.Minute)
}

func (c *checker) duration(key string, value, low, high time.Duration) {
	if value < low || value > high {
		c.add(key, "%s: allowed is %s to %s", value, low, high)
	}
}

func (c *checker) limits(l Limits) {
	c.count("limits.requests", l.Requests, 1, 1_000_000)
	c.count("limits.prompt", l.Prompt, 1, 4<<20)
	c.count("limits.tokens", l.Tokens, 1, 1_000_000)
	c.count("limits.body", l.Body, 1, 4<<20)
}

func (c *checker) count(key string, value, low, high int) {
	if value < low || value > high {
		c.add(key, "%d: allowed is %d to %d", value, low, high)
	}
}

func (c *checker) policy(policy string) {
	if policy != PolicyAdaptive && policy != PolicyBaseline {
		c.add("policy", "%q: allowed is %q or %q", policy, PolicyAdaptive, PolicyBaseline)
	}
}

func (c *checker) identities(s Settings) {
	seen := map[string]bool{}
	for i, o := range s.Organisations {
		c.identity(fmt.Sprintf("organisations[%d]", i), o.Name, o.Digest, seen)
	}
	seen = map[string]bool{}
	for i, o := range s.Operators {
		c.identity(fmt.Sprintf("operators[%d]", i), o.Name, o.Digest, seen)
	}
}

func (c *checker) identity(key, name, digest string, seen map[string]bool) {
	c.name(key+".name", name)
	if raw, err := hex.DecodeString(digest); err != nil || len(raw) != digestSize {
		c.add(key+".digest", "want the SHA-256 of the token as 64 hexadecimal digits")
	}
	if seen[name] || seen[digest] {
		c.add(key, "name or digest is used twice")
	}
	seen[name] = true
	seen[digest] = true
}
