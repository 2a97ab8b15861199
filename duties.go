package persimmonport

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"
	"k8s.io/klog/v2"

	"persimmonport.example/persimmember"
	"persimmonport.example/persimplatform"
	"persimmonport.example/persimprofile"
	"persimmonport.example/persimwire"
)

const (
	// watcherCount is the number of hosts that watch the platform for all others.
	watcherCount    = 5
	refreshInterval = time.Second
	idleInterval    = 30 * time.Second
	watchBound      = 30 * time.Second
	watchRetry      = 500 * time.Millisecond
	noticeInterval  = time.Second
	listInterval    = 2 * time.Second
	reportInterval  = time.Second
	maxReports      = 32
	pruneInterval   = 10 * time.Minute
	// migrateMargin is the time before the end of a notice at which streams move.
	migrateMargin    = 2 * time.Second
	exchangeInterval = 500 * time.Millisecond
	exchangeTimeout  = time.Second
	// exchangeOverlap covers changes that a lost exchange may have missed.
	exchangeOverlap = 10 * time.Second
	// exchangeFanout is the number of hosts that a host exchanges with in a round,
	// in a deployment that has more than exchangeAll others.
	exchangeFanout = 4
	exchangeAll    = 8
)

// isWatcher reports whether this host is one of those that read the platform often.
func (h *host) isWatcher() bool {
	ranked := persimmember.Rank("watch", h.members.Hosts())
	for _, row := range ranked[:min(watcherCount, len(ranked))] {
		if row.GetName() == h.name() {
			return true
		}
	}
	return false
}

// paced calls a function at an interval on hosts that watch the platform, and
// rarely on the others.
func (h *host) paced(ctx context.Context, interval time.Duration, do func(context.Context)) {
	var last time.Time
	every(ctx, interval, func(ctx context.Context) {
		if !h.isWatcher() && time.Since(last) < idleInterval {
			return
		}
		last = time.Now()
		do(ctx)
	})
}

// sawStore notes a successful call of the platform.
func (h *host) sawStore() { h.storeAt.Store(int64(time.Since(h.epoch))) }

func (h *host) sawStoreWithin(bound time.Duration) bool {
	at := time.Duration(h.storeAt.Load())
	return at > 0 && time.Since(h.epoch)-at <= bound
}

func (h *host) sawPeers() { h.peersAt.Store(int64(time.Since(h.epoch))) }

// catalogueDuty reads the catalogue at an interval, which also covers a silent watch.
func (h *host) catalogueDuty(ctx context.Context) {
	h.paced(ctx, refreshInterval, func(ctx context.Context) {
		if err := h.keeper.Refresh(ctx); err != nil {
			klog.V(1).Infof("catalogue: refresh failed: %v", err)
			return
		}
		h.sawStore()
		h.announce()
	})
}

// watchDuty waits at the platform for changes of the catalogue.
func (h *host) watchDuty(ctx context.Context) {
	version := uint64(0)
	for ctx.Err() == nil {
		if !h.isWatcher() {
			pause(ctx, refreshInterval)
			continue
		}
		version = h.watchOnce(ctx, version)
	}
}

func (h *host) watchOnce(ctx context.Context, version uint64) uint64 {
	bounded, cancel := context.WithTimeout(ctx, watchBound)
	defer cancel()
	object, err := h.store.Await(bounded, persimprofile.ObjectName, version)
	if err != nil {
		if !errors.Is(err, persimplatform.ErrUnavailable) {
			klog.V(1).Infof("catalogue: watch failed: %v", err)
		}
		pause(ctx, watchRetry)
		return version
	}
	catalogue, err := persimprofile.Unmarshal(object.Value)
	if err != nil {
		klog.Errorf("catalogue: stored value is unreadable: %v", err)
		pause(ctx, refreshInterval)
		return object.Version
	}
	h.sawStore()
	h.keeper.Apply(catalogue)
	h.announce()
	return object.Version
}

// announce updates the host's own row and wakes the exchange when it has changed.
func (h *host) announce() {
	before := h.members.Self()
	state := persimwire.HostState_HOST_STATE_LIVE
	if h.isDraining() {
		state = persimwire.HostState_HOST_STATE_LEAVING
	}
	h.members.SetSelf(state, h.ready())
	generation := h.keeper.Current().Generation()
	news := h.announced.Swap(generation) != generation
	if news || h.members.Self() != before {
		h.spread()
	}
}

// ready reports whether the balancer should send callers here.
func (h *host) ready() bool {
	return !h.isDraining() && h.keeper.Current().Generation() > 0 && h.isCurrent()
}

// isCurrent reports whether the host can know that its catalogue is current: it
// has lately reached the platform or the greater part of the other hosts.
func (h *host) isCurrent() bool {
	latest := max(h.storeAt.Load(), h.peersAt.Load())
	if latest == 0 {
		return false
	}
	return time.Since(h.epoch)-time.Duration(latest) < h.settings.Timeouts.Stale.Std()
}

// listDuty reads the platform's list of hosts.
func (h *host) listDuty(ctx context.Context) {
	h.paced(ctx, listInterval, func(ctx context.Context) {
		hosts, err := h.store.Hosts(ctx)
		if err != nil {
			return
		}
		h.sawStore()
		h.members.MergeList(hosts, time.Now())
		for _, service := range h.keeper.Current().Services() {
			h.schedulers.get(service.Group)
		}
		h.schedulers.update()
	})
}

// noticeDuty reads reclaim notices of upstreams and of this host.
func (h *host) noticeDuty(ctx context.Context) {
	every(ctx, noticeInterval, func(ctx context.Context) {
		notices, err := h.store.Notices(ctx)
		if err != nil {
			return
		}
		h.sawStore()
		for _, notice := range notices {
			h.takeNotice(notice)
		}
	})
}

func (h *host) takeNotice(notice persimplatform.Notice) {
	if notice.Address == h.settings.Listen.Callers {
		if !h.isDraining() {
			klog.Infof("drain: the platform takes this host back in %s", notice.Remaining)
		}
		h.Drain()
		return
	}
	if h.isEntryHost(notice.Address) {
		return
	}
	if h.members.Leave(notice.Address, notice.Incarnation, time.Now()) {
		klog.Infof("upstream: %s is reclaimed in %s", notice.Address, notice.Remaining)
		h.schedulers.update()
		h.spread()
	}
	h.migrateBefore(notice)
}

// migrateBefore moves the streams that are left on an upstream shortly before the
// end of its notice; most have finished by then.
func (h *host) migrateBefore(notice persimplatform.Notice) {
	if notice.Remaining > migrateMargin+noticeInterval {
		return
	}
	pauseFor := max(0, notice.Remaining-migrateMargin)
	time.AfterFunc(pauseFor, func() { h.watchers.reclaim(notice.Address) })
}

func (h *host) isEntryHost(address string) bool {
	for _, row := range h.members.Hosts() {
		if row.GetCallerAddress() == address {
			return true
		}
	}
	return false
}

// left moves work away from an upstream that is leaving.
func (h *host) left(address string) {
	h.schedulers.update()
	h.watchers.reclaim(address)
}

// mergeDelta joins another host's rows and acts on upstreams that have left.
func (h *host) mergeDelta(delta persimmember.Delta, now time.Time) bool {
	before := liveAddresses(h.members.Upstreams())
	if !h.members.Merge(delta, now) {
		return false
	}
	after := liveAddresses(h.members.Upstreams())
	h.schedulers.update()
	for address := range before {
		if !after[address] && !h.sawStoreWithin(2*noticeInterval) {
			h.watchers.reclaim(address)
		}
	}
	return true
}

func liveAddresses(rows []*persimwire.UpstreamRow) map[string]bool {
	addresses := make(map[string]bool, len(rows))
	for _, row := range rows {
		addresses[row.GetAddress()] = true
	}
	return addresses
}

// reportDuty asks the upstreams for their load, at most maxReports in a round.
func (h *host) reportDuty(ctx context.Context) {
	next := 0
	every(ctx, reportInterval, func(ctx context.Context) {
		var tasks []func()
		for _, s := range h.schedulers.all() {
			for _, status := range s.status() {
				tasks = append(tasks, func() { h.reportOne(ctx, s, status.Address, status.Incarnation) })
			}
		}
		for range min(len(tasks), maxReports) {
			next = (next + 1) % len(tasks)
			go tasks[next]()
		}
	})
}

func (h *host) reportOne(ctx context.Context, s *scheduler, address, incarnation string) {
	load, err := h.engine.Load(ctx, address)
	if err != nil {
		return
	}
	if load.Incarnation != "" && load.Incarnation != incarnation {
		klog.Infof("upstream: %s is now incarnation %s", address, load.Incarnation)
		if h.members.Leave(address, incarnation, time.Now()) {
			h.left(address)
			h.spread()
		}
		return
	}
	s.report(address, load.Report())
}

// pruneDuty closes the ledger's slices that have left the retention window.
func (h *host) pruneDuty(ctx context.Context) {
	every(ctx, pruneInterval, func(ctx context.Context) {
		if persimmember.Rank("prune", h.members.Hosts())[0].GetName() != h.name() {
			return
		}
		if err := h.ledger.Prune(ctx, time.Now()); err != nil {
			klog.V(1).Infof("ledger: pruning failed: %v", err)
		}
	})
}

// spread wakes the exchange duty.
func (h *host) spread() {
	select {
	case h.incidents <- struct{}{}:
	default:
	}
}

// exchangeDuty exchanges membership rows with other hosts, at once after news.
func (h *host) exchangeDuty(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	h.greetSeeds(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-h.incidents:
		}
		h.exchangeRound(ctx)
		h.announce()
	}
}

// greetSeeds exchanges once with the hosts that the settings name.
func (h *host) greetSeeds(ctx context.Context) {
	for _, address := range h.settings.Peers {
		if address != h.settings.Listen.Peers {
			_ = h.exchangeWith(ctx, address, true)
		}
	}
}

// exchangeRound exchanges with all hosts of a small deployment, or with some
// hosts of a large one, in parallel.
func (h *host) exchangeRound(ctx context.Context) {
	peers := h.members.Peers()
	if len(peers) == 0 {
		h.greetSeeds(ctx)
		return
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	if len(peers) > exchangeAll {
		peers = peers[:exchangeFanout]
	}
	results := make(chan bool, len(peers))
	for _, row := range peers {
		go func() { results <- h.exchangeRow(ctx, row) }()
	}
	reached := 0
	for range peers {
		if <-results {
			reached++
		}
	}
	if 2*reached >= len(peers) {
		h.sawPeers()
	}
}

func (h *host) exchangeRow(ctx context.Context, row *persimwire.HostRow) bool {
	if err := h.exchangeWith(ctx, row.GetAddress(), false); err != nil {
		if h.members.Failed(row.GetName(), time.Now()) {
			klog.Warningf("peer: host %s is dead: %v", row.GetName(), err)
			h.schedulers.update()
			h.spread()
		}
		return false
	}
	h.members.Succeeded(row.GetName())
	return true
}

func (h *host) exchangeWith(ctx context.Context, address string, full bool) error {
	now := time.Now()
	since := now.Add(-exchangeOverlap)
	if full {
		since = time.Time{}
	}
	delta := h.members.Since(since)
	bounded, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	resp, err := h.links.Client(address).Exchange(bounded, connect.NewRequest(&persimwire.ExchangeRequest{
		From:       h.name(),
		Hosts:      delta.Hosts,
		Upstreams:  delta.Upstreams,
		Digest:     delta.Digest,
		Generation: h.keeper.Current().Generation(),
		Full:       full,
	}))
	if err != nil {
		h.links.Reset(address)
		return err
	}
	if h.mergeDelta(persimmember.Delta{Hosts: resp.Msg.GetHosts(), Upstreams: resp.Msg.GetUpstreams()}, now) {
		h.spread()
	}
	h.followGeneration(ctx, address, resp.Msg.GetGeneration())
	if !full && resp.Msg.GetDigest() != h.members.Since(now).Digest {
		return h.exchangeWith(ctx, address, true)
	}
	return nil
}

// followGeneration fetches the catalogue of a host that has a greater generation.
func (h *host) followGeneration(ctx context.Context, address string, generation uint64) {
	if generation > h.keeper.Current().Generation() {
		h.fetchCatalogue(ctx, address)
	}
}

// fetchCatalogue takes a newer catalogue from another host.
func (h *host) fetchCatalogue(ctx context.Context, address string) {
	bounded, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	resp, err := h.links.Client(address).GetCatalogue(bounded, connect.NewRequest(&persimwire.GetCatalogueRequest{}))
	if err != nil {
		return
	}
	if h.keeper.Apply(persimprofile.FromWire(resp.Msg.GetCatalogue())) {
		h.announce()
	}
}
