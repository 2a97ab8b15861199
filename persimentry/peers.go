package persimentry

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimclock"
	"persimmonport.example/persimduty"
	"persimmonport.example/persimexchange"
	"persimmonport.example/persimfleet"
	"persimmonport.example/persimfront"
	"persimmonport.example/persimkeys"
	"persimmonport.example/persimlog"
	"persimmonport.example/persimplace"
	"persimmonport.example/persimplatform"
	"persimmonport.example/persimwire"
	"persimmonport.example/platform"
)

// Kinds and names of the objects that hosts keep in the store.
const (
	hostKind   = "persimhosts"
	dutyKind   = "persimduties"
	leaseName  = "lease"
	usageName  = "usage"
	secretName = "secret"
)

// A hostEntry tells the other hosts where a host is.
type hostEntry struct {
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
}

// A peer is another host.
type peer struct {
	hostEntry
	heard  time.Time
	demand map[string]persimfront.Demand
	// admitted is what the host admitted since its start, by organisation.
	admitted map[string]float64
	// fails counts asks in a row without an answer.
	fails int
	asked time.Time
	busy  bool
}

// followHosts registers the host and follows the entries of the others.
func (e *entry) followHosts(ctx context.Context) {
	store := &dependency{name: "store, hosts"}
	registered := false
	every(ctx, hostsInterval, func(ctx context.Context) {
		if !registered {
			registered = e.register(ctx) == nil
		}
		if registered && !e.listsHosts() {
			return
		}
		objects, _, err := e.objects.ListStale(ctx, hostKind)
		store.note(err)
		if err != nil {
			return
		}
		e.applyHosts(objects)
		registered = registered && e.listed(objects)
		if _, held := e.held(); held {
			e.forgetHosts(ctx, objects)
		}
	})
}

// listed reports whether the host's own entry is in a list.
func (e *entry) listed(objects []platform.Object) bool {
	return slices.ContainsFunc(objects, func(o platform.Object) bool { return o.Name == e.deployment.Host })
}

// forgetAfter is the time after which the entry of a host that nobody hears is
// removed; one that was only cut off registers again.
const forgetAfter = 20 * time.Second

// forgetHosts removes the entries of hosts that were not heard for long, for which
// a part of each quota would stay set aside.
func (e *entry) forgetHosts(ctx context.Context, objects []platform.Object) {
	for _, object := range e.silentHosts(time.Now(), objects) {
		err := e.objects.Delete(ctx, hostKind, object.Name, object.Revision)
		klog.InfoS("host forgotten", "name", object.Name, "error", persimlog.Cause(err))
	}
}

func (e *entry) silentHosts(now time.Time, objects []platform.Object) []platform.Object {
	e.mu.Lock()
	defer e.mu.Unlock()
	var silent []platform.Object
	for _, object := range objects {
		if p, ok := e.peers[object.Name]; ok && now.Sub(p.heard) > forgetAfter {
			silent = append(silent, object)
		}
	}
	return silent
}

// freeLists is the number of hosts up to which each reads the list in each interval.
const freeLists = 6

// listsHosts draws whether to read the list now. New hosts make themselves known,
// so many hosts need not read it often.
func (e *entry) listsHosts() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.peers) == 0 || rand.IntN(len(e.peers)+1) < freeLists
}

func (e *entry) register(ctx context.Context) error {
	spec, err := json.Marshal(hostEntry{Address: e.deployment.Peers, Incarnation: e.incarnation})
	if err != nil {
		return trace.Wrap(err)
	}
	object := platform.Object{Name: e.deployment.Host, Spec: spec}
	known, err := e.objects.Get(ctx, hostKind, e.deployment.Host)
	if err == nil {
		object.Revision = known.Revision
	}
	if err != nil && !errors.Is(err, persimplatform.ErrNotFound) {
		return err
	}
	_, err = e.objects.Write(ctx, hostKind, object)
	if err != nil {
		klog.InfoS("hosts: not registered yet", "error", persimlog.Cause(err))
	}
	return err
}

func (e *entry) applyHosts(objects []platform.Object) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := map[string]peer{}
	names := make([]string, 0, len(objects))
	for _, object := range objects {
		var told hostEntry
		if err := json.Unmarshal(object.Spec, &told); err != nil || told.Address == "" {
			klog.InfoS("hosts: entry left out", "name", object.Name, "error", persimlog.Cause(err))
			continue
		}
		if object.Name == e.deployment.Host {
			continue
		}
		known, ok := e.peers[object.Name]
		if !ok || known.hostEntry != told {
			known = peer{hostEntry: told, heard: time.Now()}
			klog.InfoS("host came", "name", object.Name, "address", told.Address)
		}
		next[object.Name] = known
		names = append(names, object.Name)
	}
	e.peers = next
	e.front.SetHosts(names)
}

// secret returns the secret that all hosts share, and makes it where there is none.
func (e *entry) secret(ctx context.Context) ([]byte, error) {
	object, err := e.objects.Get(ctx, dutyKind, secretName)
	if errors.Is(err, persimplatform.ErrNotFound) {
		return e.makeSecret(ctx)
	}
	if err != nil {
		return nil, err
	}
	var secret []byte
	return secret, trace.Wrap(json.Unmarshal(object.Spec, &secret))
}

func (e *entry) makeSecret(ctx context.Context) ([]byte, error) {
	secret, err := persimkeys.NewSecret()
	if err != nil {
		return nil, err
	}
	spec, err := json.Marshal(secret)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	// Another host may be first, so the stored secret is read again afterwards.
	if _, err = e.objects.Write(ctx, dutyKind, platform.Object{Name: secretName, Spec: spec}); err != nil {
		return nil, err
	}
	return secret, nil
}

const secretRetry = 300 * time.Millisecond

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

func (e *entry) openLinks(ctx context.Context) (persimexchange.Links, func()) {
	for ctx.Err() == nil {
		links, cleanup, err := e.tryLinks(ctx)
		if err == nil {
			return links, cleanup
		}
		klog.InfoS("exchange: no links yet", "error", persimlog.Cause(err))
		select {
		case <-ctx.Done():
		case <-time.After(secretRetry):
		}
	}
	return nil, nil
}

func (e *entry) tryLinks(ctx context.Context) (persimexchange.Links, func(), error) {
	secret, err := e.secret(ctx)
	if err != nil {
		return nil, nil, err
	}
	keys, err := persimkeys.NewShared(secret)
	if err != nil {
		return nil, nil, err
	}
	return persimexchange.New(e.deployment.Peers, keys)
}

// maxBackOff bounds the pause between asks of a host that does not answer.
const maxBackOff = 2 * time.Second

// due returns the hosts to ask now: those that were not asked for longest, or in a
// large deployment a hub.
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
	if name, ok := e.hubDue(now, names); ok {
		take(name)
	}
	if len(names) > 0 && now.Sub(e.strayed) >= strayInterval {
		e.strayed = now
		take(names[0])
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
		Windows:     encodeWindows(e.usage.Own()),
		Holder:      holder,
		Fence:       fence,
		Beat:        beat,
		Address:     e.deployment.Peers,
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

// learn takes over what does not depend on its age.
func (e *entry) learn(told *persimwire.Exchange) {
	if told.GetHost() == "" || told.GetHost() == e.deployment.Host {
		return
	}
	e.meet(told)
	e.front.Observe(told.GetHost(), told.GetIncarnation(), persimfront.Told{
		Loads:    e.directLoads(told),
		Reports:  decodeReports(told.GetReports()),
		Admitted: told.GetAdmitted(),
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.usage.Observe(told.GetHost()+" "+told.GetIncarnation(), decodeWindows(told.GetWindows()))
	if known, ok := e.peers[told.GetHost()]; ok {
		known.heard = time.Now()
		known.demand = decodeDemand(told.GetDemand())
		known.admitted = told.GetAdmitted()
		e.peers[told.GetHost()] = known
	}
	e.lease.Heard(persimclock.Now(), told.GetHolder(), told.GetFence(), told.GetBeat())
	e.learnLeaving(told)
}

// meet takes a host that asks before its entry was read as one of the others.
func (e *entry) meet(told *persimwire.Exchange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := hostEntry{Address: told.GetAddress(), Incarnation: told.GetIncarnation()}
	if known, ok := e.peers[told.GetHost()]; ok && known.hostEntry == entry || entry.Address == "" {
		return
	}
	e.peers[told.GetHost()] = peer{hostEntry: entry, heard: time.Now()}
	klog.InfoS("host came", "name", told.GetHost(), "address", entry.Address, "source", "itself")
	e.front.SetHosts(slices.Collect(maps.Keys(e.peers)))
}

func (e *entry) learnLeaving(told *persimwire.Exchange) {
	news := false
	for _, leaving := range told.GetLeaving() {
		incarnation := persimcatalog.Incarnation{ID: leaving.GetId(), Born: leaving.GetBorn()}
		if e.roster.MarkLeaving(incarnation) {
			news = true
			klog.InfoS("upstream leaves", "id", incarnation.ID, "source", told.GetHost())
		}
	}
	if news {
		e.front.SetUpstreams(e.roster.Upstreams())
	}
}

// learnSnapshots takes over the configuration and the upstreams that another host
// confirmed at an age; asked is when this host asked.
func (e *entry) learnSnapshots(told *persimwire.Exchange, asked persimclock.Instant) {
	catalogue := told.GetCatalogue()
	confirmed := asked.Add(-time.Duration(catalogue.GetAgeMs()) * time.Millisecond)
	for _, item := range catalogue.GetItems() {
		if err := e.applyCatalogue(item.GetValue(), confirmed, told.GetHost()); err != nil {
			klog.ErrorS(nil, "configuration of another host: not applied", "source", told.GetHost(), "error", persimlog.Cause(err))
		}
	}
	e.mu.Lock()
	same := catalogue.GetVersion() == e.raw.version && e.raw.version > 0
	e.mu.Unlock()
	if same && catalogue.GetAgeMs() < unknownAge {
		e.front.Confirm(confirmed)
	}
	e.learnRoster(told, asked)
}

func (e *entry) learnRoster(told *persimwire.Exchange, asked persimclock.Instant) {
	roster := told.GetRoster()
	confirmed := asked.Add(-time.Duration(roster.GetAgeMs()) * time.Millisecond)
	e.mu.Lock()
	same := roster.GetDigest() == e.rosterAt.digest && roster.GetVersion() > 0
	e.mu.Unlock()
	if same {
		e.confirmRoster(confirmed)
		return
	}
	if len(roster.GetItems()) == 0 {
		return
	}
	objects := make([]platform.Object, 0, len(roster.GetItems()))
	for _, item := range roster.GetItems() {
		objects = append(objects, platform.Object{Name: item.GetName(), Spec: item.GetValue()})
	}
	e.applyRoster(objects, roster.GetVersion(), confirmed, told.GetHost())
}

func encodeLoads(loads map[uint64]persimplace.PeerLoad) []*persimwire.UpstreamLoad {
	list := make([]*persimwire.UpstreamLoad, 0, len(loads))
	for upstream, load := range loads {
		list = append(list, &persimwire.UpstreamLoad{
			Upstream: upstream,
			Requests: uint32(max(0, load.Requests)),
			Urgent:   uint32(max(0, load.Urgent)),
			Normal:   uint32(max(0, load.Normal)),
		})
	}
	return list
}

func decodeLoads(list []*persimwire.UpstreamLoad) map[uint64]persimplace.PeerLoad {
	loads := make(map[uint64]persimplace.PeerLoad, len(list))
	for _, load := range list {
		loads[load.GetUpstream()] = persimplace.PeerLoad{
			Requests: int(load.GetRequests()),
			Urgent:   int(load.GetUrgent()),
			Normal:   int(load.GetNormal()),
		}
	}
	return loads
}

func encodeReports(reports map[uint64]persimplace.TimedReport) []*persimwire.UpstreamReport {
	list := make([]*persimwire.UpstreamReport, 0, len(reports))
	for upstream, report := range reports {
		list = append(list, &persimwire.UpstreamReport{
			Upstream: upstream,
			Running:  uint32(max(0, report.Running)),
			Waiting:  uint32(max(0, report.Waiting)),
			Slots:    uint32(max(0, report.Slots)),
			Slowdown: uint32(max(0, report.Slowdown*hundredths)),
			AgeMs:    uint32(max(0, time.Since(report.At).Milliseconds())),
		})
	}
	return list
}

// hundredths are the units in which a slowdown is told.
const hundredths = 100

func decodeReports(list []*persimwire.UpstreamReport) map[uint64]persimplace.TimedReport {
	reports := make(map[uint64]persimplace.TimedReport, len(list))
	now := time.Now()
	for _, report := range list {
		reports[report.GetUpstream()] = persimplace.TimedReport{
			Report: persimplace.Report{
				Running:  int(report.GetRunning()),
				Waiting:  int(report.GetWaiting()),
				Slots:    int(report.GetSlots()),
				Slowdown: float64(report.GetSlowdown()) / hundredths,
			},
			At: now.Add(-time.Duration(report.GetAgeMs()) * time.Millisecond),
		}
	}
	return reports
}

func encodeDemand(demand map[string]persimfront.Demand) map[string]*persimwire.Demand {
	encoded := make(map[string]*persimwire.Demand, len(demand))
	for service, d := range demand {
		encoded[service] = &persimwire.Demand{Tokens: d.Tokens, Output: d.Output, Refused: d.Refused, Requests: d.Requests}
	}
	return encoded
}

func decodeDemand(demand map[string]*persimwire.Demand) map[string]persimfront.Demand {
	decoded := make(map[string]persimfront.Demand, len(demand))
	for service, d := range demand {
		decoded[service] = persimfront.Demand{
			Tokens: d.GetTokens(), Output: d.GetOutput(), Refused: d.GetRefused(), Requests: d.GetRequests(),
		}
	}
	return decoded
}

func encodeWindows(windows map[int64]persimduty.Counts) []*persimwire.UsageWindow {
	list := make([]*persimwire.UsageWindow, 0, len(windows))
	for window, counts := range windows {
		copied := make(map[string]int64, len(counts))
		for organisation, count := range counts {
			copied[organisation] = count
		}
		list = append(list, &persimwire.UsageWindow{Window: window, Counts: copied})
	}
	return list
}

func decodeWindows(list []*persimwire.UsageWindow) map[int64]persimduty.Counts {
	windows := make(map[int64]persimduty.Counts, len(list))
	for _, window := range list {
		windows[window.GetWindow()] = window.GetCounts()
	}
	return windows
}

// load sums what arrives for a service at all hosts that were heard lately.
func (e *entry) load(service string, own map[string]persimfront.Demand) persimfleet.Load {
	sum := persimfleet.Load{Tokens: own[service].Tokens, Output: own[service].Output}
	for _, p := range e.peers {
		if time.Since(p.heard) > peerForgotten {
			continue
		}
		sum.Tokens += p.demand[service].Tokens
		sum.Output += p.demand[service].Output
	}
	return sum
}

// peerForgotten is the time after which what a host said of its demand no longer counts.
const peerForgotten = 3 * time.Second
