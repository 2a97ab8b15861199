package persimmonport

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"persimmonport.example/persimmember"
	"persimmonport.example/persimplatform"
	"persimmonport.example/persimprofile"
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
	hostListInterval   = 2 * time.Second
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
