package persimstand

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"persimmonport.example/persimplatform"
)

// serveStart serves a start order. It only adds a host to the list and starts no process.
func (p *Platform) serveStart(w http.ResponseWriter, r *http.Request) {
	var order persimplatform.StartOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	host, ok := p.StartHost(order)
	if p.faults.consumeResponseLoss() {
		abortConnection()
	}
	if !ok {
		http.Error(w, "refused", http.StatusInsufficientStorage)
		return
	}
	writeJSON(w, host)
}

// StartHost performs a start order and reports whether it was accepted. An order that
// repeats an idempotency key returns the host of the first one; an order with an old
// fencing token is refused.
func (p *Platform) StartHost(order persimplatform.StartOrder) (persimplatform.Host, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.startedByKey[order.IdempotencyKey]; ok {
		return known, true
	}
	if order.Fence < p.fence {
		return persimplatform.Host{}, false
	}
	p.fence = order.Fence
	p.started++
	host := persimplatform.Host{
		Name:        fmt.Sprintf("started-%d", p.started),
		Address:     fmt.Sprintf("127.0.0.1:%d", 30000+p.started),
		Incarnation: fmt.Sprintf("i%d", p.started),
		Group:       order.Group,
		Centre:      order.Centre,
		Machine:     order.Machine,
		Reclaimable: order.Reclaimable,
		State:       persimplatform.HostLive,
	}
	p.startedByKey[order.IdempotencyKey] = host
	p.hosts = append(p.hosts, listedHost{host: host, addedAt: time.Now()})
	return host, true
}

func (p *Platform) serveStop(w http.ResponseWriter, r *http.Request) {
	var order persimplatform.StopOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.RemoveHost(order.Address)
}
