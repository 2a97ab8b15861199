package persimmonport

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"persimmonport.example/persimplatform"
)

const (
	noticeInterval = time.Second
	// migrationMargin is the time before the end of a reclaim notice at which the
	// remaining streams are moved.
	migrationMargin = 2 * time.Second
)

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
