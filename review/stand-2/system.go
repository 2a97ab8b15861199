package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// system is a small deployment: the platform, workers and machines.
type system struct {
	record  *record
	dir     string
	store   *store
	address string
	hosts   []*host
	workers []*worker
	cleanup []func()
	version int
}

const (
	orders = "orders"
	model  = "model"
)

// errUnsound reports that the deployment did not work before the disruption.
var errUnsound = errors.New("the deployment does not work without the disruption")

// newSystem starts a store and prepares a number of machines in three zones.
func newSystem(rec *record, machines int) (*system, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &system{record: rec, dir: dir, store: newStore(rec)}
	address, closeStore, err := s.store.listen()
	if err != nil {
		return nil, err
	}
	s.address = address
	s.cleanup = append(s.cleanup, closeStore, func() { _ = os.RemoveAll(dir) })
	for i := range machines {
		s.hosts = append(s.hosts, &host{
			name: fmt.Sprintf("edge-%d", i+1), zone: []string{"za", "zb", "zc"}[i%3], ip: fmt.Sprintf("%s.%d", network, i+1),
			dir: dir, storeAddress: address, cloudAddress: address, record: rec, bounds: smallBounds(),
		})
	}
	return s, nil
}

// addWorker starts and registers a worker.
func (s *system) addWorker(id, service, zone string, slots int) (*worker, error) {
	w, err := newWorker(s.store, s.record, id, service, zone, slots)
	if err != nil {
		return nil, err
	}
	s.workers = append(s.workers, w)
	w.start()
	return w, nil
}

// route is a route of the configuration.
type route map[string]any

func newRoute(name, prefix, kind, service string, timeout time.Duration, attempts int) route {
	return route{
		"name": name, "host": "shop.example", "path_prefix": prefix, "kind": kind, "timeout_ms": timeout.Milliseconds(), "target_latency_ms": 500,
		"priority": 1, "service": service, "max_attempts": attempts, "anonymous": false, "sticky": false, "resumable": false,
	}
}

// routes are the routes of a small deployment.
func routes() []route {
	stream := newRoute("ask", "/ask/", "streaming", model, 5*time.Second, 2)
	stream["resumable"], stream["gap_aim_ms"] = true, 500
	draft := newRoute("draft", "/draft/", "streaming", model, 15*time.Second, 1)
	draft["gap_aim_ms"] = 500
	return []route{
		newRoute("order", "/order/", "non_idempotent", orders, 3*time.Second, 2),
		newRoute("look", "/look/", "idempotent", orders, 3*time.Second, 2), stream, draft,
	}
}

// tenant is a tenant of the configuration.
type tenant map[string]any

func newTenant(name string, keys ...string) tenant {
	if keys == nil {
		keys = []string{}
	}
	return tenant{"name": name, "api_keys": keys, "priority": 1}
}

// configure writes a new version of the configuration. It returns when the store has accepted
// it, which is the acknowledgement.
func (s *system) configure(list []route, tenants ...tenant) {
	if tenants == nil {
		tenants = []tenant{}
	}
	s.version += 3
	s.store.put("config", "main", map[string]any{
		"version": s.version, "routes": list,
		"services": []any{
			map[string]any{"name": orders, "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false},
			map[string]any{"name": model, "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	})
	s.record.printf("operator: the store has accepted version %d with %d routes and tenants %v", s.version, len(list), tenants)
}

// startHosts starts all machines and waits until they are ready and know the workers.
func (s *system) startHosts() error {
	for _, h := range s.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	end := time.Now().Add(15 * time.Second)
	for _, h := range s.hosts {
		for !h.ready() {
			if time.Now().After(end) || !h.running() {
				log, _ := os.ReadFile(filepath.Join(s.dir, h.name+".log"))
				return fmt.Errorf("%s does not get ready: %.500s", h.name, log)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
	return nil
}

// runs returns how often workers have run a request.
func (s *system) runs(id string) int {
	runs := 0
	for _, w := range s.workers {
		runs += w.runCount(id)
	}
	return runs
}

func (s *system) close() {
	for _, h := range s.hosts {
		h.kill()
	}
	for _, w := range s.workers {
		w.close()
	}
	for _, clean := range s.cleanup {
		clean()
	}
}
