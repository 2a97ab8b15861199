package persimmonport

import (
	"time"

	"persimmonport.example/persimwire"
)

// recordPlatformContact records the time of a successful call to the platform.
func (h *host) recordPlatformContact() { h.lastPlatformContact.Store(int64(time.Since(h.startTime))) }

func (h *host) platformContactWithin(bound time.Duration) bool {
	last := time.Duration(h.lastPlatformContact.Load())
	return last > 0 && time.Since(h.startTime)-last <= bound
}

func (h *host) recordPeerContact() { h.lastPeerContact.Store(int64(time.Since(h.startTime))) }

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

// ready reports whether the load balancer should send callers to this host.
func (h *host) ready() bool {
	return !h.isDraining() && h.catalogue.Current().Generation() > 0 && h.hasRecentContact()
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
