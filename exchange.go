package persimmonport

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"
	"k8s.io/klog/v2"

	"persimmonport.example/persimmember"
	"persimmonport.example/persimprofile"
	"persimmonport.example/persimwire"
)

const (
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
	delta := h.changesToSend(now, full)
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

// changesToSend returns all rows if full is set, otherwise those changed recently.
func (h *host) changesToSend(now time.Time, full bool) persimmember.Delta {
	if full {
		return h.members.ChangedSince(time.Time{})
	}
	return h.members.ChangedSince(now.Add(-exchangeOverlap))
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
