package persimentry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"persimmonport.example/persimlog"
	"persimmonport.example/persimplatform"
	"persimmonport.example/persimrevision"
	"persimmonport.example/persimrollout"
	"persimmonport.example/platform"
)

const (
	// rolloutRecordKind is the kind of the objects that outlast all hosts of a rollout.
	rolloutRecordKind = "persimrollouts"
	// rolloutWatchWait is how long a watch of the operators' objects waits. The objects are
	// listed after a watch without changes, as a store may answer watches and hold changes back.
	rolloutWatchWait = 3 * time.Second
	// rolloutRetryDelay is the time between reads that fail.
	rolloutRetryDelay = 300 * time.Millisecond
)

// storedObject is an object as last read or written.
type storedObject struct {
	platform.Object
	// writing is set while a write is in progress, writtenAt is when the last one ended.
	writing   bool
	writtenAt time.Time
}

// rolloutRecord is a persimrollout.Record as stored.
type rolloutRecord struct {
	Target     string   `json:"target"`
	Revision   int64    `json:"revision"`
	DurationMS int64    `json:"duration_ms"`
	Phase      string   `json:"phase"`
	StartMS    int64    `json:"start_ms"`
	Closed     []string `json:"closed,omitempty"`
	Removed    bool     `json:"removed,omitempty"`
	Fence      int64    `json:"fence"`
}

func encodeRolloutRecord(record persimrollout.Record) ([]byte, error) {
	return json.Marshal(rolloutRecord{
		Target: record.Target, Revision: record.Revision, DurationMS: record.Duration.Milliseconds(),
		Phase: record.Phase.String(), StartMS: record.Start.UnixMilli(), Closed: record.Closed,
		Removed: record.Removed, Fence: record.Fence,
	})
}

func decodeRolloutRecord(object platform.Object) (persimrollout.Record, error) {
	var stored rolloutRecord
	if err := json.Unmarshal(object.Spec, &stored); err != nil {
		return persimrollout.Record{}, trace.BadParameter("record of a rollout: %v", err)
	}
	for phase := persimrollout.PhaseObserving; phase <= persimrollout.PhaseRolledBack; phase++ {
		if phase.String() != stored.Phase {
			continue
		}
		return persimrollout.Record{
			Order: persimrollout.Order{
				Service: object.Name, Target: stored.Target, Revision: stored.Revision,
				Duration: time.Duration(stored.DurationMS) * time.Millisecond,
			},
			Phase: phase, Start: time.UnixMilli(stored.StartMS), Closed: stored.Closed,
			Removed: stored.Removed, Fence: stored.Fence,
		}, nil
	}
	return persimrollout.Record{}, trace.BadParameter("record of a rollout: unknown phase %q", stored.Phase)
}

// watchRollouts follows the operators' objects while the host holds the lease.
func (e *entry) watchRollouts(ctx context.Context) {
	store := &dependency{name: "store, rollouts"}
	var revision persimrevision.Revision
	fence := int64(0)
	for ctx.Err() == nil {
		held, ok := e.followLease()
		if !ok || held != fence {
			fence, revision = held, persimrevision.Revision{}
		}
		delay := rolloutRetryDelay
		if ok {
			next, err := e.followRollouts(ctx, fence, revision)
			store.observe(err)
			revision = next
			if err == nil {
				delay = 0
			}
		}
		wait(ctx, delay)
	}
}

// followRollouts lists the objects if the revision is zero, or else waits for changes after
// it. It returns the revision from which to go on.
func (e *entry) followRollouts(ctx context.Context, fence int64, revision persimrevision.Revision) (persimrevision.Revision, error) {
	none := persimrevision.Revision{}
	if revision == none {
		return e.listRollouts(ctx, fence)
	}
	changes, err := e.objects.Watch(ctx, platform.RolloutKind, revision, rolloutWatchWait)
	if errors.Is(err, persimplatform.ErrExpired) {
		klog.InfoS("rollouts: history is gone, the objects are listed", "revision", revision.String())
		return none, nil
	}
	if err != nil {
		return none, err
	}
	// Whether a removed object was created again is told by a list alone.
	if len(changes.Removed) > 0 || len(changes.Objects) == 0 {
		return none, nil
	}
	for _, object := range changes.Objects {
		e.applyRolloutObject(fence, object)
	}
	return changes.Revision, nil
}

// listRollouts reads the operators' objects, and the records once under each fencing token.
func (e *entry) listRollouts(ctx context.Context, fence int64) (persimrevision.Revision, error) {
	began := time.Now()
	if !e.recordsRead(fence) {
		records, _, err := e.objects.List(ctx, rolloutRecordKind)
		if err != nil {
			return persimrevision.Revision{}, err
		}
		e.applyRolloutRecords(fence, began, records)
	}
	objects, revision, err := e.objects.List(ctx, platform.RolloutKind)
	if err != nil {
		return persimrevision.Revision{}, err
	}
	e.applyRolloutObjects(fence, began, objects)
	return revision, nil
}

func (e *entry) recordsRead(fence int64) bool {
	r := &e.rollouts
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fence == fence && r.recordsRead
}

// applyRolloutRecords applies the list of all records.
func (e *entry) applyRolloutRecords(fence int64, began time.Time, records []platform.Object) {
	r := &e.rollouts
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fence != fence {
		return
	}
	r.recordsRead = true
	listed := map[string]platform.Object{}
	for _, object := range records {
		listed[object.Name] = object
		e.rolloutServiceLocked(began, object.Name)
	}
	for name, s := range r.services {
		if !s.record.writing && !s.record.writtenAt.After(began) {
			s.setRecord(name, listed[name])
		}
	}
	r.wakeUp()
}

// setRecord takes over the record of a service as stored; an object without a name is none.
func (s *rolloutService) setRecord(service string, object platform.Object) {
	s.record.Object = object
	if object.Name == "" {
		s.controller.SetRecord(time.Now(), nil)
		return
	}
	record, err := decodeRolloutRecord(object)
	if err != nil {
		// The object is replaced by the next write.
		klog.ErrorS(nil, "rollout: record is unreadable", "service", service, "error", persimlog.ErrorText(err))
		s.controller.SetRecord(time.Now(), nil)
		return
	}
	s.controller.SetRecord(time.Now(), &record)
}

// applyRolloutObjects applies the list of all operators' objects.
func (e *entry) applyRolloutObjects(fence int64, began time.Time, objects []platform.Object) {
	r := &e.rollouts
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fence != fence {
		return
	}
	r.objectsRead = true
	listed := map[string]platform.Object{}
	for _, object := range objects {
		service := decodeRolloutObject(object).Service
		if other, ok := listed[service]; ok {
			klog.InfoS("rollout: second object for a service is ignored", "service", service, "name", object.Name, "used", other.Name)
			continue
		}
		listed[service] = object
		e.rolloutServiceLocked(began, service)
	}
	for service, s := range r.services {
		if !s.object.writing && !s.object.writtenAt.After(began) {
			s.setObject(listed[service])
		}
	}
	r.wakeUp()
}

// setObject takes over the operator's object; an object without a name is none.
func (s *rolloutService) setObject(object platform.Object) {
	s.object.Object = object
	if object.Name == "" {
		s.controller.SetObject(time.Now(), nil)
		return
	}
	decoded := decodeRolloutObject(object)
	s.controller.SetObject(time.Now(), &decoded)
}

// applyRolloutObject applies one changed object. If it named another service before, the order
// of that service is ended first. It is left out if the service has another object.
func (e *entry) applyRolloutObject(fence int64, object platform.Object) {
	r := &e.rollouts
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fence != fence {
		return
	}
	service := decodeRolloutObject(object).Service
	for name, other := range r.services {
		if name != service && other.object.Name == object.Name {
			other.setObject(platform.Object{})
		}
	}
	s := e.rolloutServiceLocked(time.Now(), service)
	if s.object.Name == object.Name && !object.Revision.After(s.object.Revision) || s.object.Name != "" && s.object.Name != object.Name {
		return
	}
	s.setObject(object)
	r.wakeUp()
}

// holdsRolloutFence reports whether this host holds the lease under a fencing token.
func (e *entry) holdsRolloutFence(fence int64) bool {
	held, ok := e.heldFence()
	return ok && held == fence
}

// writeRolloutStatus writes the status of an operator's object. Whatever comes of it, the
// object is read again before the next write.
func (e *entry) writeRolloutStatus(ctx context.Context, fence int64, service string, object platform.Object, status persimrollout.Status) {
	var err error
	object.Status, err = platform.EncodeRolloutStatus(platform.RolloutStatus{State: platform.RolloutState(status.State), Target: status.Target})
	if err == nil && e.holdsRolloutFence(fence) {
		var written platform.Object
		written, err = e.objects.WriteStatus(ctx, platform.RolloutKind, object)
		logStatusWrite(service, status, object.Revision, fence, err)
		if err != nil {
			written, err = e.readAgain(ctx, fence, platform.RolloutKind, object.Name)
		}
		object = written
	}
	r := &e.rollouts
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.services[service]
	if r.fence != fence || !ok {
		return
	}
	s.object.writing, s.object.writtenAt = false, time.Now()
	if err == nil && (object.Name == "" || !s.object.Revision.After(object.Revision)) {
		s.setObject(object)
		r.wakeUp()
	}
}

func logStatusWrite(service string, status persimrollout.Status, revision persimrevision.Revision, fence int64, err error) {
	if err != nil {
		klog.ErrorS(nil, "rollout status not written", "service", service, "state", status.State, "target", status.Target,
			"revision", revision.String(), "fence", fence, "error", persimlog.ErrorText(err))
		return
	}
	klog.InfoS("rollout status written", "service", service, "state", status.State, "target", status.Target,
		"revision", revision.String(), "fence", fence)
}

// writeRolloutRecord writes the record of a service, or deletes it if it is nil.
func (e *entry) writeRolloutRecord(ctx context.Context, fence int64, service string, stored platform.Object, record *persimrollout.Record) {
	object, err := stored, error(nil)
	if e.holdsRolloutFence(fence) {
		object, err = e.storeRolloutRecord(ctx, service, stored, record)
	}
	if err != nil {
		klog.InfoS("rollout record not written", "service", service, "fence", fence, "error", persimlog.ErrorText(err))
		object, err = e.readAgain(ctx, fence, rolloutRecordKind, service)
	}
	r := &e.rollouts
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.services[service]
	if r.fence != fence || !ok {
		return
	}
	s.record.writing, s.record.writtenAt = false, time.Now()
	if err == nil {
		s.setRecord(service, object)
		r.wakeUp()
	}
}

func (e *entry) storeRolloutRecord(ctx context.Context, service string, stored platform.Object, record *persimrollout.Record) (platform.Object, error) {
	if record == nil {
		return platform.Object{}, e.objects.Delete(ctx, rolloutRecordKind, service, stored.Revision)
	}
	spec, err := encodeRolloutRecord(*record)
	if err != nil {
		return platform.Object{}, trace.Wrap(err)
	}
	return e.objects.Write(ctx, rolloutRecordKind, platform.Object{Name: service, Revision: stored.Revision, Spec: spec})
}

// readAgain reads an object whose write has failed, until a read succeeds or the lease is lost.
// It returns an object without a name if there is none.
func (e *entry) readAgain(ctx context.Context, fence int64, kind, name string) (platform.Object, error) {
	for {
		read, err := e.objects.Get(ctx, kind, name)
		if errors.Is(err, persimplatform.ErrNotFound) {
			return platform.Object{}, nil
		}
		if err == nil || ctx.Err() != nil || !e.holdsRolloutFence(fence) {
			return read, err
		}
		wait(ctx, rolloutRetryDelay)
	}
}

// wait waits for a time or the end of the context.
func wait(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}
