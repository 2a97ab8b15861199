package persimsoak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"persimmonport.example/persimstand"
)

// A Report is what one run showed.
type Report struct {
	Requests int
	Served   int
	Refused  int
	// Broken names each promise that was broken, with what was seen.
	Broken []string
}

const (
	// pardoned is the number of requests for which a promise that counts may be broken.
	pardoned = 3
	// late is how much later than a bound something may be seen because clocks of
	// callers and upstreams are read after the fact.
	late = 50 * time.Millisecond
	// outer is by how much trouble of the store stretches the bound of the configuration.
	outer       = 6 * time.Second
	recoverSpan = time.Second
)

// A judge checks promises against what callers and upstreams see.
type judge struct {
	system *system

	mu       sync.Mutex
	outcomes []outcome
	sent     map[string]bool
	broken   []string
	// counted are promises of which a few breaches are pardoned.
	counted map[string][]string
}

func newJudge(s *system) *judge {
	return &judge{system: s, sent: map[string]bool{}, counted: map[string][]string{}}
}

// breaks records a broken promise.
func (j *judge) breaks(promise, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.broken = append(j.broken, promise+": "+fmt.Sprintf(format, args...))
}

// counts records a breach that counts only when there are several.
func (j *judge) counts(promise, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counted[promise] = append(j.counted[promise], fmt.Sprintf(format, args...))
}

// must records an error of the soak itself.
func (j *judge) must(err error) {
	if err != nil {
		j.breaks("soak", "%v", err)
	}
}

func (j *judge) exited(host string) { j.breaks("processes stay up", "%s ended by itself", host) }

// saw checks what a caller saw as soon as it did.
func (j *judge) saw(o outcome) {
	runs := j.system.upstreams.runs.of(o.id)
	j.checkAnswer(o, runs)
	j.checkKey(o, runs)
	j.checkRoute(o, runs)
	j.checkDenied(o)
	j.checkLeaving(o, runs)
	j.checkLost(o, runs)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.outcomes = append(j.outcomes, o)
	j.sent[o.id] = true
}

// checkAnswer checks that an answer is the upstream's own, whole and to this request.
func (j *judge) checkAnswer(o outcome, runs []run) {
	if o.status != http.StatusOK {
		return
	}
	signed := slices.ContainsFunc(runs, func(r run) bool { return persimstand.Signature(r.upstream, o.id) == o.signature })
	if !signed || o.echoed != o.id {
		j.breaks("answers belong to their requests", "%s got signature %q and id %q", o.id, o.signature, o.echoed)
	}
	want := persimstand.AnswerTo(o.path, o.body)
	if o.isStream() {
		want = ""
		for number := 1; number <= persimstand.StreamEvents; number++ {
			want += persimstand.StreamEvent(o.id, number)
		}
	}
	got := string(o.answer)
	if o.whole && got != want || !strings.HasPrefix(want, got) {
		j.breaks("answers are unchanged", "%s got %d bytes, whole %t, of %d", o.id, len(got), o.whole, len(want))
	}
}

func (j *judge) checkKey(o outcome, runs []run) {
	at, revoked := j.system.operator.revokedAt(o.key)
	if revoked && len(runs) > 0 && o.sent.After(at.Add(bounds().Revoke+late)) {
		j.breaks("revoked keys stop working", "%s ran %s after its key was revoked", o.id, o.sent.Sub(at))
	}
}

func (j *judge) checkRoute(o outcome, runs []run) {
	if !strings.HasPrefix(o.path, addedPath) {
		return
	}
	change, ok := j.system.operator.routeAt(o.sent)
	if later, _ := j.system.operator.routeAt(o.ended); !ok || later != change {
		return
	}
	if !j.inForce(o, change.at) {
		return
	}
	if !change.there && len(runs) > 0 {
		j.breaks("configurations take effect", "%s ran %s after its route was removed", o.id, o.sent.Sub(change.at))
	}
	if change.there && o.status == http.StatusNotFound {
		j.breaks("configurations take effect", "%s got 404 %s after its route was added", o.id, o.sent.Sub(change.at))
	}
}

// inForce reports whether what was stored at a moment must be known to the host
// that an outcome is from.
func (j *judge) inForce(o outcome, stored time.Time) bool {
	h := j.system.hosts[o.host]
	return o.sent.After(stored.Add(bounds().Apply+late)) && h.undisturbed(stored, o.ended, true)
}

// checkDenied checks that proper requests are not called improper.
func (j *judge) checkDenied(o outcome) {
	if strings.HasPrefix(o.path, addedPath) {
		return
	}
	if o.status == http.StatusNotFound {
		j.breaks("proper requests are not denied", "%s got 404", o.id)
	}
	if _, revoked := j.system.operator.revokedAt(o.key); revoked || o.status != http.StatusUnauthorized {
		return
	}
	if j.inForce(o, j.system.operator.addedAt(o.key)) {
		j.breaks("proper requests are not denied", "%s got 401 with key %s", o.id, o.key)
	}
}

func (j *judge) checkLeaving(o outcome, runs []run) {
	for _, r := range runs {
		left, ok := j.system.upstreams.leftAt(r.upstream)
		if ok && r.at.After(left.Add(bounds().Drain+late)) && j.system.hosts[o.host].undisturbed(left, o.ended, true) {
			j.breaks("leaving upstreams get nothing more", "%s reached %s %s after it left", o.id, r.upstream, r.at.Sub(left))
		}
	}
}

// checkLost checks that a host ends no connection on a request that it passed on.
func (j *judge) checkLost(o outcome, runs []run) {
	h := j.system.hosts[o.host]
	if o.whole || o.gaveUp || len(runs) == 0 || !h.undisturbed(o.sent, o.ended, false) {
		return
	}
	for _, r := range runs {
		if j.system.upstreams.disturbed(r.upstream, r.at.Add(-bounds().Contact), o.ended) {
			return
		}
	}
	record := j.counts
	if !h.undisturbed(o.sent, o.ended, true) {
		// While a host stops as planned, none is pardoned.
		record = j.breaks
	}
	record("requests are not lost", "%s on %s got status %d and no end", o.id, h.name, o.status)
}

// awaitRecovery waits until requests are served again after the last trouble.
func (j *judge) awaitRecovery() {
	end := time.Now().Add(recoverLimit)
	for {
		from := time.Now()
		time.Sleep(recoverSpan)
		if j.servedSince(from) >= recoverShare && j.allReady() {
			return
		}
		if time.Now().After(end) {
			j.breaks("service recovers", "after %s a share of %.2f is served, all hosts ready: %t",
				recoverLimit, j.servedSince(from), j.allReady())
			return
		}
	}
}

func (j *judge) allReady() bool {
	return !slices.ContainsFunc(j.system.hosts, func(h *host) bool { return !h.inRotation() })
}

func (j *judge) servedSince(from time.Time) float64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	asked, served := 0, 0
	for _, o := range slices.Backward(j.outcomes) {
		if o.sent.Before(from) || strings.HasPrefix(o.path, addedPath) {
			continue
		}
		asked++
		if o.served() {
			served++
		}
	}
	return float64(served) / float64(max(1, asked))
}

// finish checks what can be known only at the end, and returns the report.
func (j *judge) finish() Report {
	for _, o := range j.outcomes {
		runs := j.system.upstreams.runs.of(o.id)
		j.checkOnce(o, runs)
		j.checkAsked(o, runs)
	}
	j.checkUnknown()
	for _, seen := range j.system.store.Broken() {
		j.breaks("duties are done by one", "%s", seen)
	}
	for promise, breaches := range j.counted {
		if len(breaches) > pardoned {
			j.breaks(promise, "%d times, first %s", len(breaches), breaches[0])
		}
	}
	report := Report{Requests: len(j.outcomes), Broken: j.broken}
	for _, o := range j.outcomes {
		if o.served() {
			report.Served++
		}
		if o.status == http.StatusTooManyRequests || o.status == http.StatusServiceUnavailable {
			report.Refused++
		}
	}
	return report
}

// checkOnce checks that a request runs no more often than it may, and not at all
// where the answer says so.
func (j *judge) checkOnce(o outcome, runs []run) {
	places := map[string]bool{}
	for _, r := range runs {
		places[r.upstream] = true
	}
	if o.mayRepeat() {
		if len(places) > maxAttempts {
			j.counts("requests are not sent too often", "%s ran at %d upstreams", o.id, len(places))
		}
		return
	}
	if len(runs) > 1 {
		j.breaks("at most once", "%s ran %d times", o.id, len(runs))
	}
	refused := o.status == http.StatusTooManyRequests || o.status == http.StatusServiceUnavailable ||
		o.status == http.StatusRequestTimeout || o.status == http.StatusMisdirectedRequest
	if refused && len(runs) > 0 {
		j.breaks("refusals are true", "%s got %d and ran", o.id, o.status)
	}
}

// checkAsked checks that upstreams get what callers sent, and what hosts add.
func (j *judge) checkAsked(o outcome, runs []run) {
	for _, r := range runs {
		if r.path != o.path || r.organisation != organisationName || r.key != "" {
			j.breaks("requests are unchanged", "%s arrived as %s of %q with key %q", o.id, r.path, r.organisation, r.key)
		}
	}
}

func (j *judge) checkUnknown() {
	recorded := j.system.upstreams.runs
	recorded.mu.Lock()
	defer recorded.mu.Unlock()
	for id := range recorded.by {
		if !j.sent[id] {
			j.breaks("only what was asked runs", "nobody sent %s", id)
		}
	}
}
