package persimentry

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"persimmonport.example/persimclock"
	"persimmonport.example/persimexchange"
	"persimmonport.example/persimlog"
	"persimmonport.example/persimwire"
	"persimmonport.example/platform"
)

// exchange answers other hosts and asks them in turn.
func (e *entry) exchange(ctx context.Context) {
	links, cleanup := e.openLinks(ctx)
	if links == nil {
		return
	}
	defer cleanup()
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() {
		if err := links.Serve(ctx, e.answer); err != nil {
			klog.ErrorS(nil, "exchange: other hosts are not answered", "error", persimlog.Cause(err))
		}
	})
	every(ctx, exchangeInterval, func(ctx context.Context) {
		for name, p := range e.due() {
			running.Go(func() { e.ask(ctx, links, name, p) })
		}
	})
}

// maxBackOff bounds the pause between asks of a host that does not answer.
const maxBackOff = 2 * time.Second

// due returns the hosts to ask now: those that were not asked for longest, or in a
// large deployment hubs and few others.
func (e *entry) due() map[string]peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	names := e.askable(now)
	list := map[string]peer{}
	take := func(name string) {
		p := e.peers[name]
		p.busy = true
		p.asked = now
		e.peers[name] = p
		list[name] = p
	}
	if !e.hubbed() {
		for _, name := range names[:min(len(names), exchangeFanOut)] {
			take(name)
		}
		return list
	}
	for _, choose := range []func(time.Time, []string) (string, bool){e.hubDue, e.holderDue, e.unheardDue, e.strayDue} {
		if name, ok := choose(now, names); ok {
			take(name)
		}
	}
	return list
}

// askable returns the hosts that may be asked, those first that were not asked for
// longest. That a host is heard is no reason to leave it out: only an answer brings
// the configuration and its age.
func (e *entry) askable(now time.Time) []string {
	names := make([]string, 0, len(e.peers))
	for name, p := range e.peers {
		pause := min(time.Duration(p.fails)*exchangeInterval, maxBackOff)
		if !p.busy && now.Sub(p.asked) >= pause {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return e.peers[a].asked.Compare(e.peers[b].asked) })
	return names
}

func (e *entry) ask(ctx context.Context, links persimexchange.Links, name string, p peer) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	asked := persimclock.Now()
	reply, err := links.Ask(ctx, p.Address, e.state(nil))
	e.asked(name, p, err)
	if err != nil {
		return
	}
	e.learn(reply)
	e.learnRelayed(reply)
	e.learnSnapshots(reply, asked)
}

// failsToTell is the number of asks without an answer after which a host counts as lost.
const failsToTell = 3

func (e *entry) asked(name string, p peer, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	known, ok := e.peers[name]
	if !ok || known.hostEntry != p.hostEntry {
		return
	}
	known.busy = false
	if err != nil {
		known.fails++
		if known.fails == failsToTell {
			klog.InfoS("dependency lost", "name", "host "+name, "error", persimlog.Cause(err))
		}
	} else {
		if known.fails >= failsToTell {
			klog.InfoS("dependency regained", "name", "host "+name)
		}
		known.fails = 0
	}
	e.peers[name] = known
}

func (e *entry) answer(ask *persimwire.Exchange) *persimwire.Exchange {
	e.learn(ask)
	return e.state(ask)
}

// state returns what this host tells. With an ask, it adds the snapshots that the
// other host lacks.
func (e *entry) state(ask *persimwire.Exchange) *persimwire.Exchange {
	told := e.front.Tell()
	demand := e.front.Demand()
	now := persimclock.Now()
	age, known := e.front.Age()
	e.mu.Lock()
	defer e.mu.Unlock()
	holder, fence, beat := e.lease.Latest()
	state := &persimwire.Exchange{
		Host:        e.deployment.Host,
		Incarnation: e.incarnation,
		Admitted:    told.Admitted,
		Loads:       encodeLoads(told.Loads),
		Demand:      encodeDemand(demand),
		Windows:     encodeWindows(e.usage.Local()),
		Holder:      holder,
		Fence:       fence,
		Beat:        beat,
		Address:     e.deployment.Peers,
		Memory:      e.deployment.MemoryBytes,
		Reports:     encodeReports(told.Reports),
		Catalogue:   &persimwire.Snapshot{Version: e.raw.version, AgeMs: unknownAge},
		Roster: &persimwire.Snapshot{
			Version: e.rosterAt.revision,
			AgeMs:   now.Sub(e.rosterAt.confirmed).Milliseconds(),
			Digest:  e.rosterAt.digest,
		},
	}
	if known {
		state.Catalogue.AgeMs = age.Milliseconds()
	}
	for _, incarnation := range e.roster.Leaving() {
		state.Leaving = append(state.Leaving, &persimwire.Leaving{Id: incarnation.ID, Born: incarnation.Born})
	}
	if ask != nil {
		e.addItems(state, ask)
		e.relay(state, ask.GetHost())
	}
	return state
}

// unknownAge stands for the age of a configuration that a host does not have.
const unknownAge = int64(1) << 40

// addItems adds the contents that are newer here than at the host that asks.
func (e *entry) addItems(state, ask *persimwire.Exchange) {
	if ask.GetCatalogue().GetVersion() < e.raw.version {
		state.Catalogue.Items = []*persimwire.Item{{Name: platform.ConfigName, Value: e.raw.spec}}
	}
	if ask.GetRoster().GetVersion() < e.rosterAt.revision && ask.GetRoster().GetDigest() != e.rosterAt.digest {
		for _, object := range e.rosterAt.objects {
			state.Roster.Items = append(state.Roster.Items, &persimwire.Item{Name: object.Name, Value: object.Spec})
		}
	}
}
