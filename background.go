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
	// watcherCount is the number of hosts that poll the platform frequently on behalf
	// of all others.
	watcherCount             = 5
	catalogueRefreshInterval = time.Second
	// nonWatcherInterval is the polling interval of the other hosts.
	nonWatcherInterval = 30 * time.Second
	watchTimeout       = 30 * time.Second
	watchRetryDelay    = 500 * time.Millisecond
	noticeInterval     = time.Second
	hostListInterval   = 2 * time.Second
	loadPollInterval   = time.Second
	// maxLoadPolls is the maximum number of upstreams polled for their load per interval.
	maxLoadPolls  = 32
	pruneInterval = 10 * time.Minute
	// migrationMargin is the time before the end of a reclaim notice at which the
	// remaining streams are moved.
	migrationMargin  = 2 * time.Second
	exchangeInterval = 500 * time.Millisecond
	exchangeTimeout  = time.Second
	// exchangeOverlap is how far back each exchange reaches, so that it includes
	// changes of a lost exchange.
	exchangeOverlap = 10 * time.Second
	// exchangeFanout is the number of random peers that a host exchanges with in each
	// round if it has more than allPeersLimit peers. Otherwise it exchanges with all of them.
	exchangeFanout = 4
	allPeersLimit  = 8
)

// isWatcher reports whether this host is one of those that poll the platform frequently.
func (h *host) isWatcher() bool {
	ranked := persimmember.Rank("watch", h.members.Hosts())
	for _, row := range ranked[:min(watcherCount, len(ranked))] {
		if row.GetName() == h.name() {
			return true
		}
	}
	return false
}

// pollPlatform calls poll at the given interval if this host is a watcher, otherwise
// at nonWatcherInterval.
func (h *host) pollPlatform(ctx context.Context, interval time.Duration, poll func(context.Context)) {
	var last time.Time
	runEvery(ctx, interval, func(ctx context.Context) {
		if !h.isWatcher() && time.Since(last) < nonWatcherInterval {
			return
		}
		last = time.Now()
		poll(ctx)
	})
}

// recordPlatformContact records the time of a successful call to the platform.
func (h *host) recordPlatformContact() { h.lastPlatformContact.Store(int64(time.Since(h.startTime))) }

func (h *host) platformContactWithin(bound time.Duration) bool {
	last := time.Duration(h.lastPlatformContact.Load())
	return last > 0 && time.Since(h.startTime)-last <= bound
}

func (h *host) recordPeerContact() { h.lastPeerContact.Store(int64(time.Since(h.startTime))) }

// catalogueLoop polls the catalogue, which also covers a watch that delivers nothing.
func (h *host) catalogueLoop(ctx context.Context) {
	h.pollPlatform(ctx, catalogueRefreshInterval, func(ctx context.Context) {
		if err := h.catalogue.Refresh(ctx); err != nil {
			klog.V(1).Infof("catalogue: refresh failed: %v", err)
			return
		}
		h.recordPlatformContact()
		h.announceSelf()
	})
}

// watchLoop waits for changes of the catalogue by long polls of the platform.
func (h *host) watchLoop(ctx context.Context) {
	version := uint64(0)
	for ctx.Err() == nil {
		if !h.isWatcher() {
			pause(ctx, catalogueRefreshInterval)
			continue
		}
		version = h.watchOnce(ctx, version)
	}
}

func (h *host) watchOnce(ctx context.Context, version uint64) uint64 {
	watchCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	object, err := h.platform.Await(watchCtx, persimprofile.ObjectName, version)
	if err != nil {
		if !errors.Is(err, persimplatform.ErrUnavailable) {
			klog.V(1).Infof("catalogue: watch failed: %v", err)
		}
		pause(ctx, watchRetryDelay)
		return version
	}
	catalogue, err := persimprofile.Unmarshal(object.Value)
	if err != nil {
		klog.Errorf("catalogue: stored value is unreadable: %v", err)
		pause(ctx, catalogueRefreshInterval)
		return object.Version
	}
	h.recordPlatformContact()
	h.catalogue.Apply(catalogue)
	h.announceSelf()
	return object.Version
}

// announceSelf updates the host's own membership row and triggers an exchange if the
// row or the catalogue's generation has changed.
func (h *host) announceSelf() {
	before := h.members.Self()
	state := persimwire.HostState_HOST_STATE_LIVE
	if h.isDraining() {
		state = persimwire.HostState_HOST_STATE_LEAVING
	}
	h.members.SetSelf(state, h.ready())
	generation := h.catalogue.Current().Generation()
	changed := h.announcedGeneration.Swap(generation) != generation
	if changed || h.members.Self() != before {
		h.triggerExchange()
	}
}

// ready reports whether the load balancer should send callers to this host.
func (h *host) ready() bool {
	return !h.isDraining() && h.catalogue.Current().Generation() > 0 && h.hasRecentContact()
}

// hasRecentContact reports whether the host has recently reached the platform or at
// least half of the peers of an exchange round. Without such contact its catalogue
// may be out of date.
func (h *host) hasRecentContact() bool {
	latest := max(h.lastPlatformContact.Load(), h.lastPeerContact.Load())
	if latest == 0 {
		return false
	}
	return time.Since(h.startTime)-time.Duration(latest) < h.settings.Timeouts.CatalogueStaleness.Std()
}

// hostListLoop polls the platform's list of hosts.
func (h *host) hostListLoop(ctx context.Context) {
	h.pollPlatform(ctx, hostListInterval, func(ctx context.Context) {
		hosts, err := h.platform.Hosts(ctx)
		if err != nil {
			return
		}
		h.recordPlatformContact()
		h.members.MergePlatformHosts(hosts, time.Now())
		for _, service := range h.catalogue.Current().Services() {
			h.schedulers.get(service.Group)
		}
		h.schedulers.update()
	})
}

// noticeLoop polls the reclaim notices for upstreams and for this host.
func (h *host) noticeLoop(ctx context.Context) {
	runEvery(ctx, noticeInterval, func(ctx context.Context) {
		notices, err := h.platform.Notices(ctx)
		if err != nil {
			return
		}
		h.recordPlatformContact()
		for _, notice := range notices {
			h.handleNotice(notice)
		}
	})
}

func (h *host) handleNotice(notice persimplatform.Notice) {
	if notice.Address == h.settings.Listen.Callers {
		if !h.isDraining() {
			klog.Infof("drain: the platform reclaims this host in %s", notice.Remaining)
		}
		h.Drain()
		return
	}
	if h.isEntryHost(notice.Address) {
		return
	}
	if h.members.MarkLeaving(notice.Address, notice.Incarnation, time.Now()) {
		klog.Infof("upstream: %s is reclaimed in %s", notice.Address, notice.Remaining)
		h.schedulers.update()
		h.triggerExchange()
	}
	h.scheduleMigration(notice)
}

// scheduleMigration moves the remaining streams off an upstream shortly before the
// end of its notice, since most streams finish before that.
func (h *host) scheduleMigration(notice persimplatform.Notice) {
	if notice.Remaining > migrationMargin+noticeInterval {
		return
	}
	delay := max(0, notice.Remaining-migrationMargin)
	time.AfterFunc(delay, func() { h.activeAttempts.cancelUpstream(notice.Address) })
}

func (h *host) isEntryHost(address string) bool {
	for _, row := range h.members.Hosts() {
		if row.GetCallerAddress() == address {
			return true
		}
	}
	return false
}

// evacuateUpstream stops scheduling on a leaving upstream and moves its attempts.
func (h *host) evacuateUpstream(address string) {
	h.schedulers.update()
	h.activeAttempts.cancelUpstream(address)
}

// mergeDelta merges the rows of another host and reports whether any changed. If the
// platform has not answered recently, this host may miss reclaim notices, so it also
// moves the attempts off upstreams that have left.
func (h *host) mergeDelta(delta persimmember.Delta, now time.Time) bool {
	before := liveAddresses(h.members.Upstreams())
	if !h.members.Merge(delta, now) {
		return false
	}
	after := liveAddresses(h.members.Upstreams())
	h.schedulers.update()
	for address := range before {
		if !after[address] && !h.platformContactWithin(2*noticeInterval) {
			h.activeAttempts.cancelUpstream(address)
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

// loadLoop polls the load of the upstreams in turn, at most maxLoadPolls per interval.
func (h *host) loadLoop(ctx context.Context) {
	next := 0
	runEvery(ctx, loadPollInterval, func(ctx context.Context) {
		var tasks []func()
		for _, sched := range h.schedulers.all() {
			for _, status := range sched.status() {
				tasks = append(tasks, func() { h.pollLoad(ctx, sched, status.Address, status.Incarnation) })
			}
		}
		for range min(len(tasks), maxLoadPolls) {
			next = (next + 1) % len(tasks)
			go tasks[next]()
		}
	})
}

func (h *host) pollLoad(ctx context.Context, sched *scheduler, address, incarnation string) {
	load, err := h.engine.Load(ctx, address)
	if err != nil {
		return
	}
	if load.Incarnation != "" && load.Incarnation != incarnation {
		klog.Infof("upstream: %s is now incarnation %s", address, load.Incarnation)
		if h.members.MarkLeaving(address, incarnation, time.Now()) {
			h.evacuateUpstream(address)
			h.triggerExchange()
		}
		return
	}
	sched.report(address, load.Report())
}

// pruneLoop closes the ledger's slices that are older than the retention window. One
// host does this for all.
func (h *host) pruneLoop(ctx context.Context) {
	runEvery(ctx, pruneInterval, func(ctx context.Context) {
		if persimmember.Rank("prune", h.members.Hosts())[0].GetName() != h.name() {
			return
		}
		if err := h.ledger.Prune(ctx, time.Now()); err != nil {
			klog.V(1).Infof("ledger: pruning failed: %v", err)
		}
	})
}

// triggerExchange starts an exchange round without waiting for the interval.
func (h *host) triggerExchange() {
	select {
	case h.exchangeTrigger <- struct{}{}:
	default:
	}
}

// exchangeLoop exchanges membership rows with other hosts at an interval and after
// each change.
func (h *host) exchangeLoop(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	h.exchangeWithSeeds(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-h.exchangeTrigger:
		}
		h.exchangeRound(ctx)
		h.announceSelf()
	}
}

// exchangeWithSeeds does a full exchange with each host that the settings name.
func (h *host) exchangeWithSeeds(ctx context.Context) {
	for _, address := range h.settings.Peers {
		if address != h.settings.Listen.Peers {
			_ = h.exchangeWith(ctx, address, true)
		}
	}
}

// exchangeRound exchanges in parallel with all peers, or with exchangeFanout random
// ones if there are more than allPeersLimit.
func (h *host) exchangeRound(ctx context.Context) {
	peers := h.members.Peers()
	if len(peers) == 0 {
		h.exchangeWithSeeds(ctx)
		return
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	if len(peers) > allPeersLimit {
		peers = peers[:exchangeFanout]
	}
	results := make(chan bool, len(peers))
	for _, row := range peers {
		go func() { results <- h.exchangeWithPeer(ctx, row) }()
	}
	reached := 0
	for range peers {
		if <-results {
			reached++
		}
	}
	if 2*reached >= len(peers) {
		h.recordPeerContact()
	}
}

func (h *host) exchangeWithPeer(ctx context.Context, row *persimwire.HostRow) bool {
	if err := h.exchangeWith(ctx, row.GetAddress(), false); err != nil {
		if h.members.RecordFailure(row.GetName(), time.Now()) {
			klog.Warningf("peer: host %s is dead: %v", row.GetName(), err)
			h.schedulers.update()
			h.triggerExchange()
		}
		return false
	}
	h.members.RecordSuccess(row.GetName())
	return true
}

// exchangeWith exchanges rows with one host. If the digests then differ it repeats
// the exchange with all rows.
func (h *host) exchangeWith(ctx context.Context, address string, full bool) error {
	now := time.Now()
	since := now.Add(-exchangeOverlap)
	if full {
		since = time.Time{}
	}
	delta := h.members.ChangedSince(since)
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	resp, err := h.links.Client(address).Exchange(callCtx, connect.NewRequest(&persimwire.ExchangeRequest{
		From:       h.name(),
		Hosts:      delta.Hosts,
		Upstreams:  delta.Upstreams,
		Digest:     delta.Digest,
		Generation: h.catalogue.Current().Generation(),
		Full:       full,
	}))
	if err != nil {
		h.links.Reset(address)
		return err
	}
	if h.mergeDelta(persimmember.Delta{Hosts: resp.Msg.GetHosts(), Upstreams: resp.Msg.GetUpstreams()}, now) {
		h.triggerExchange()
	}
	h.followGeneration(ctx, address, resp.Msg.GetGeneration())
	if !full && resp.Msg.GetDigest() != h.members.ChangedSince(now).Digest {
		return h.exchangeWith(ctx, address, true)
	}
	return nil
}

// followGeneration fetches the catalogue of a host whose generation is greater.
func (h *host) followGeneration(ctx context.Context, address string, generation uint64) {
	if generation > h.catalogue.Current().Generation() {
		h.fetchCatalogue(ctx, address)
	}
}

// fetchCatalogue fetches the catalogue of another host and applies it if it is newer.
func (h *host) fetchCatalogue(ctx context.Context, address string) {
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	resp, err := h.links.Client(address).GetCatalogue(callCtx, connect.NewRequest(&persimwire.GetCatalogueRequest{}))
	if err != nil {
		return
	}
	if h.catalogue.Apply(persimprofile.FromWire(resp.Msg.GetCatalogue())) {
		h.announceSelf()
	}
}
