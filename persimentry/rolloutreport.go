package persimentry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"persimmonport.example/persimclock"
	"persimmonport.example/persimexchange"
	"persimmonport.example/persimlog"
	"persimmonport.example/persimrollout"
	"persimmonport.example/persimwire"
)

// reportRolloutsLoop sends the counters of this host to the lease holder while a rollout is not
// final.
func (e *entry) reportRolloutsLoop(ctx context.Context, links persimexchange.Links) {
	holder := &dependency{name: "lease holder, rollouts"}
	for ctx.Err() == nil {
		began := time.Now()
		e.reportRollouts(ctx, links, holder)
		wait(ctx, time.Until(began.Add(persimrollout.ReportInterval(e.hostTotal()))))
	}
}

func (e *entry) hostTotal() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.peers) + 1
}

// reportRollouts sends one report to the lease holder, if it is another host, and applies the
// state of the rollouts in the reply.
func (e *entry) reportRollouts(ctx context.Context, links persimexchange.Links, holder *dependency) {
	reports := e.front.RolloutReports()
	e.recordShares(reports)
	name, address := e.leaseHolder()
	if len(reports) == 0 || address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	message := e.rolloutMessage()
	message.RolloutReports = encodeRolloutReports(reports)
	reply, err := links.Exchange(ctx, address, message)
	holder.observe(err)
	if err != nil {
		klog.V(1).InfoS("rollouts: report not sent", "holder", name, "error", persimlog.ErrorText(err))
		return
	}
	e.applyRolloutMessage(reply)
}

// recordShares sets the share of the requests of this host that its rollouts have sent to the
// target.
func (e *entry) recordShares(reports []persimrollout.Report) {
	for _, report := range reports {
		begun := map[persimrollout.Side]int64{}
		for _, count := range report.Counts {
			begun[count.Side] += count.Begun
		}
		target, current := begun[persimrollout.SideTarget], begun[persimrollout.SideCurrent]
		e.metrics.RolloutShare(report.Service, float64(target)/float64(max(1, target+current)))
	}
}

// leaseHolder returns the name and the address of the host that holds the lease as far as it
// is known, or nothing if that is this host.
func (e *entry) leaseHolder() (string, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	holder, fence, beat := e.lease.Latest()
	if told := e.toldHolder; told.newer(fence, beat) {
		holder = told.name
	}
	if holder == e.deployment.Host {
		return "", ""
	}
	return holder, e.peers[holder].Address
}

// toldHolder is the holder of the lease as other hosts tell it. A host of a large deployment that
// is no hub never reads the lease, and its own state of the lease stays empty.
type toldHolder struct {
	name        string
	fence, beat int64
}

func (h toldHolder) newer(fence, beat int64) bool {
	return h.fence > fence || h.fence == fence && h.beat > beat
}

// noteHolder records the holder that a message names. It needs the lock of the entry.
func (e *entry) noteHolder(received *persimwire.Exchange) {
	told := toldHolder{name: received.GetHolder(), fence: received.GetFence(), beat: received.GetBeat()}
	if told.name != "" && told.newer(e.toldHolder.fence, e.toldHolder.beat) {
		e.toldHolder = told
	}
}

// rolloutMessage returns a message that tells nothing but who this host is, the lease and the
// state of the rollouts.
func (e *entry) rolloutMessage() *persimwire.Exchange {
	news := e.front.RolloutNews()
	e.mu.Lock()
	defer e.mu.Unlock()
	holder, fence, beat := e.lease.Latest()
	return &persimwire.Exchange{
		Host: e.deployment.Host, Incarnation: e.incarnation, Centre: e.deployment.Centre,
		Address: e.deployment.PeerAddress, Memory: e.deployment.MemoryBytes,
		Holder: holder, Fence: fence, Beat: beat, Rollouts: encodeRolloutNews(news),
	}
}

// handleRolloutReports adds the counters of another host and replies with the state of the
// rollouts.
func (e *entry) handleRolloutReports(request *persimwire.Exchange) *persimwire.Exchange {
	e.applyRolloutMessage(request)
	now := time.Now()
	r := &e.rollouts
	r.mu.Lock()
	for _, report := range decodeRolloutReports(request.GetRolloutReports()) {
		if s, ok := r.services[report.Service]; ok {
			s.controller.Observe(now, request.GetHost(), request.GetIncarnation(), report)
		}
	}
	r.mu.Unlock()
	return e.rolloutMessage()
}

// applyRolloutMessage applies a message that rolloutMessage returned at another host.
func (e *entry) applyRolloutMessage(received *persimwire.Exchange) {
	if received.GetHost() == "" || received.GetHost() == e.deployment.Host {
		return
	}
	e.addPeer(received)
	e.mergeRollouts(received.GetHost(), decodeRolloutNews(received.GetRollouts()))
	e.mu.Lock()
	defer e.mu.Unlock()
	if p, ok := e.peers[received.GetHost()]; ok {
		p.lastHeard = time.Now()
		e.peers[received.GetHost()] = p
	}
	e.lease.ObserveHeartbeat(persimclock.Now(), received.GetHolder(), received.GetFence(), received.GetBeat())
	e.noteHolder(received)
}
