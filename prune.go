package persimmonport

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"persimmonport.example/persimmember"
)

const pruneInterval = 10 * time.Minute

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
