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
	nameRule    = "want a lower-case letter, then up to 62 letters, digits or hyphens"
	digestBytes = 32
)

// checker validates settings and collects the faults, except those of skippedKeys.
type checker struct {
	lines       lineIndex
	skippedKeys map[string]bool
	faults      []Fault
}

func check(s Settings, lines lineIndex, skippedKeys map[string]bool) []Fault {
	c := &checker{lines: lines, skippedKeys: skippedKeys}
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
	c.keyPair(s.Callers)
	c.ledger(s.Ledger)
	c.durations(s)
	c.limits(s.Limits)
	c.policy(s.Policy)
	c.identities(s)
	return c.faults
}

func (c *checker) addFault(key, format string, args ...any) {
	if c.skippedKeys[key] {
		return
	}
	c.faults = append(c.faults, Fault{Line: c.lines.line(key), Key: key, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) name(key, value string) {
	if !namePattern.MatchString(value) {
		c.addFault(key, "%q: %s", value, nameRule)
	}
}

func (c *checker) required(key, value string) {
	if value == "" {
		c.addFault(key, "missing")
	}
}

func (c *checker) address(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.addFault(key, "%q: want an IP address and a port, such as 127.0.0.1:7001", value)
	}
}

func (c *checker) platform(p Platform) {
	parsed, err := url.Parse(p.URL)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		c.addFault("platform.url", "%q: want a URL such as http://127.0.0.1:7000", p.URL)
	}
	c.float("platform.reads", p.ReadsPerSecond, 1, 2000)
	c.float("platform.writes", p.WritesPerSecond, 1, 500)
}

func (c *checker) float(key string, value, low, high float64) {
	inRange := value >= low && value <= high
	if !inRange {
		c.addFault(key, "%g: allowed is %g to %g", value, low, high)
	}
}

func (c *checker) keyPair(callers Callers) {
	if (callers.Cert == "") != (callers.Key == "") {
		c.addFault("callers.cert", "cert and key must be set together")
	}
}

func (c *checker) ledger(l Ledger) {
	c.integer("ledger.slices", l.Slices, 1, 4096)
	c.duration("ledger.span", l.Span.Std(), time.Minute, time.Hour)
	c.duration("ledger.interval", l.Interval.Std(), 0, 2*time.Second)
	c.duration("ledger.retention", l.Retention.Std(), time.Hour, 30*24*time.Hour)
}

func (c *checker) durations(s Settings) {
	c.duration("drain.lag", s.Drain.Lag.Std(), 0, time.Minute)
	c.duration("drain.notice", s.Drain.Notice.Std(), time.Second, time.Hour)
	if s.Drain.Notice <= s.Drain.Lag {
		c.addFault("drain.notice", "%s: must be longer than drain.lag", s.Drain.Notice)
	}
	c.duration("timeouts.peer", s.Timeouts.Peer.Std(), 100*time.Millisecond, 10*time.Second)
	c.duration("timeouts.first", s.Timeouts.FirstToken.Std(), 100*time.Millisecond, 10*time.Minute)
	c.duration("timeouts.silence", s.Timeouts.TokenGap.Std(), 100*time.Millisecond, time.Minute)
	c.duration("timeouts.store", s.Timeouts.Store.Std(), 100*time.Millisecond, 30*time.Second)
	c.duration("timeouts.stale", s.Timeouts.CatalogueStaleness.Std(), time.Second, time.Minute)
}

func (c *checker) duration(key string, value, low, high time.Duration) {
	if value < low || value > high {
		c.addFault(key, "%s: allowed is %s to %s", value, low, high)
	}
}

func (c *checker) limits(l Limits) {
	c.integer("limits.requests", l.MaxRequests, 1, 1_000_000)
	c.integer("limits.prompt", l.MaxPromptBytes, 1, 4<<20)
	c.integer("limits.tokens", l.MaxTokens, 1, 1_000_000)
	c.integer("limits.body", l.MaxBodyBytes, 1, 4<<20)
}

func (c *checker) integer(key string, value, low, high int) {
	if value < low || value > high {
		c.addFault(key, "%d: allowed is %d to %d", value, low, high)
	}
}

func (c *checker) policy(policy string) {
	if policy != PolicyAdaptive && policy != PolicyBaseline {
		c.addFault("policy", "%q: allowed is %q or %q", policy, PolicyAdaptive, PolicyBaseline)
	}
}

func (c *checker) identities(s Settings) {
	used := map[string]bool{}
	for i, o := range s.Organisations {
		c.identity(fmt.Sprintf("organisations[%d]", i), o.Name, o.Digest, used)
	}
	used = map[string]bool{}
	for i, o := range s.Operators {
		c.identity(fmt.Sprintf("operators[%d]", i), o.Name, o.Digest, used)
	}
}

func (c *checker) identity(key, name, digest string, used map[string]bool) {
	c.name(key+".name", name)
	if raw, err := hex.DecodeString(digest); err != nil || len(raw) != digestBytes {
		c.addFault(key+".digest", "want the SHA-256 of the token as 64 hexadecimal digits")
	}
	if used[name] || used[digest] {
		c.addFault(key, "name or digest is used twice")
	}
	used[name] = true
	used[digest] = true
}
