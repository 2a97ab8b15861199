package persimplatform

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"persimmonport.example/persimrevision"
	"persimmonport.example/platform"
)

// MaxObjectBytes is the largest encoded object that the platform stores.
const MaxObjectBytes = 1 << 20

// Objects reads and conditionally writes the platform's objects by kind and name. Each
// revision names the era of the store in which it was read, and is a condition in that era
// only.
type Objects interface {
	// Era returns the newest era that a response has named, or the zero value.
	Era() Era
	// List returns the objects of a kind and the revision at which the list
	// started. It returns ErrThrottled or ErrUnavailable.
	List(ctx context.Context, kind string) ([]platform.Object, persimrevision.Revision, error)
	// ListStale is List at a tenth of the cost, with data that may be seconds old.
	ListStale(ctx context.Context, kind string) ([]platform.Object, persimrevision.Revision, error)
	// Get returns an object, or ErrNotFound, ErrThrottled or ErrUnavailable. With ErrNotFound
	// the object returned has no revision but the era in which there is none.
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	// Write creates the object if the number of its revision is zero, and otherwise replaces it
	// if the stored revision is the same. It returns the stored object, or
	// ErrConflict, ErrUncertain, ErrThrottled, ErrTooLarge or ErrUnavailable. A revision of a
	// former era is ErrConflict without a call, and a response of another era than that of the
	// revision is ErrUncertain.
	Write(ctx context.Context, kind string, object platform.Object) (platform.Object, error)
	// WriteStatus replaces the status of the object if the stored revision is that of the
	// object given. It returns the stored object, also with ErrConflict where the platform
	// sends it, or one of the errors of Write.
	WriteStatus(ctx context.Context, kind string, object platform.Object) (platform.Object, error)
	// Delete removes the object if its stored revision is the given one.
	Delete(ctx context.Context, kind, name string, revision persimrevision.Revision) error
	// Watch returns the changes of a kind after a revision as soon as there are any,
	// or none once wait has passed. It returns ErrExpired, also if the revision is of a former
	// era, ErrThrottled or ErrUnavailable.
	Watch(ctx context.Context, kind string, revision persimrevision.Revision, wait time.Duration) (platform.Changes, error)
}

// DefaultObjectTimeout limits one call; a response takes 4 ms, and 60 times that when
// the store is slow.
const DefaultObjectTimeout = 900 * time.Millisecond

const maxPages = 100

type objects struct {
	*client
	eras *eraRecord
}

// NewObjects returns an Objects client for an address and a function that closes its
// idle connections.
func NewObjects(address string, opts ...Option) (Objects, func()) {
	c, cleanup := newClient("http://"+address, DefaultObjectTimeout, opts)
	return newObjects(c), cleanup
}

func newObjects(c *client) objects { return objects{client: c, eras: &eraRecord{}} }

func (o objects) Era() Era { return o.eras.get() }

// read sends a GET request and returns the body of the response and the era that it belongs to.
// That is the era known before the call if the response names none or an earlier one.
func (o objects) read(ctx context.Context, timeout time.Duration, path string) ([]byte, persimrevision.Era, error) {
	known := o.eras.get().Era
	received, err := o.callWithin(ctx, timeout, http.MethodGet, path, nil, http.Header{})
	return received.body, max(known, o.eras.observe(received.header)), err
}

// write sends a request that changes an object on condition of a revision. It returns the body
// of the response and the era that the response names.
func (o objects) write(ctx context.Context, method, path string, body []byte, condition persimrevision.Revision) ([]byte, persimrevision.Era, error) {
	known := o.eras.get().Era
	conditional := condition != (persimrevision.Revision{})
	if conditional && condition.Era < known {
		return nil, known, trace.Wrap(ErrConflict, "%s %s: revision %s is of a former era, now %d", method, path, condition, known)
	}
	received, err := o.call(ctx, method, path, body)
	era := o.eras.observe(received.header)
	if err == nil && conditional && era != condition.Era {
		err = trace.Wrap(ErrUncertain, "%s %s: response of era %d to a write on revision %s", method, path, era, condition)
	}
	return received.body, era, err
}

func (o objects) List(ctx context.Context, kind string) ([]platform.Object, persimrevision.Revision, error) {
	return o.list(ctx, kind, false)
}

func (o objects) ListStale(ctx context.Context, kind string) ([]platform.Object, persimrevision.Revision, error) {
	return o.list(ctx, kind, true)
}

func (o objects) list(ctx context.Context, kind string, stale bool) ([]platform.Object, persimrevision.Revision, error) {
	var all []platform.Object
	var revision persimrevision.Revision
	after := ""
	for range maxPages {
		data, era, err := o.read(ctx, o.timeout, platform.KindPath(kind)+platform.ListQuery(after, stale))
		if err != nil {
			return nil, persimrevision.Revision{}, err
		}
		page, skipped, err := platform.DecodeList(era, data)
		if err != nil {
			return nil, persimrevision.Revision{}, trace.Wrap(ErrUnavailable, "%v", err)
		}
		if after == "" {
			revision = page.Revision
		}
		if page.Revision.Era != revision.Era {
			return nil, persimrevision.Revision{}, trace.Wrap(ErrUnavailable, "the list of %s has pages of two eras", kind)
		}
		all = append(all, page.Objects...)
		logSkipped(kind, skipped)
		if !page.More {
			return all, revision, nil
		}
		if page.Last == "" || page.Last == after {
			return nil, persimrevision.Revision{}, trace.Wrap(ErrUnavailable, "the list of %s does not go on after %q", kind, after)
		}
		after = page.Last
	}
	return nil, persimrevision.Revision{}, trace.Wrap(ErrUnavailable, "the list of %s has more than %d pages", kind, maxPages)
}

func (o objects) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	data, era, err := o.read(ctx, o.timeout, platform.ObjectPath(kind, name))
	if errors.Is(err, ErrNotFound) {
		return platform.Object{Name: name, Revision: persimrevision.Revision{Era: era}}, err
	}
	if err != nil {
		return platform.Object{}, err
	}
	return decodeObject(http.MethodGet, era, data)
}

func decodeObject(method string, era persimrevision.Era, data []byte) (platform.Object, error) {
	object, err := platform.DecodeObject(era, data)
	if err != nil {
		return platform.Object{}, trace.Wrap(outcomeUnknownError(method), "%v", err)
	}
	return object, nil
}

func (o objects) Write(ctx context.Context, kind string, object platform.Object) (platform.Object, error) {
	body, err := platform.EncodeObject(object)
	if err != nil {
		return platform.Object{}, trace.Wrap(err)
	}
	if len(body) > MaxObjectBytes {
		return platform.Object{}, trace.Wrap(ErrTooLarge)
	}
	method, path := http.MethodPut, platform.ObjectPath(kind, object.Name)
	if object.Revision.Number == 0 {
		method, path = http.MethodPost, platform.KindPath(kind)
	}
	data, era, err := o.write(ctx, method, path, body, object.Revision)
	if err != nil {
		return platform.Object{}, err
	}
	return decodeObject(method, era, data)
}

func (o objects) WriteStatus(ctx context.Context, kind string, object platform.Object) (platform.Object, error) {
	body, err := platform.EncodeStatus(object)
	if err != nil {
		return platform.Object{}, trace.Wrap(err)
	}
	data, era, err := o.write(ctx, http.MethodPut, platform.StatusPath(kind, object.Name), body, object.Revision)
	if errors.Is(err, ErrConflict) {
		// The object is not needed to report the conflict.
		current, errDecode := platform.DecodeObject(era, data)
		if errDecode != nil {
			return platform.Object{}, err
		}
		return current, err
	}
	if err != nil {
		return platform.Object{}, err
	}
	return decodeObject(http.MethodPut, era, data)
}

func (o objects) Delete(ctx context.Context, kind, name string, revision persimrevision.Revision) error {
	path := platform.ObjectPath(kind, name) + platform.RevisionQuery(revision)
	_, _, err := o.write(ctx, http.MethodDelete, path, nil, revision)
	return err
}

func (o objects) Watch(ctx context.Context, kind string, revision persimrevision.Revision, wait time.Duration) (platform.Changes, error) {
	path := platform.KindPath(kind) + platform.WatchQuery(revision, wait)
	data, era, err := o.read(ctx, wait+o.timeout, path)
	if err != nil {
		return platform.Changes{}, err
	}
	if revision.Number != 0 && era != revision.Era {
		return platform.Changes{}, trace.Wrap(ErrExpired, "watch of %s from revision %s in era %d", kind, revision, era)
	}
	changes, skipped, err := platform.DecodeChanges(era, data)
	if err != nil {
		return platform.Changes{}, trace.Wrap(ErrUnavailable, "%v", err)
	}
	logSkipped(kind, skipped)
	return changes, nil
}

// logSkipped logs the number of list entries that could not be decoded.
func logSkipped(kind string, skipped int) {
	if skipped > 0 {
		klog.V(1).InfoS("list: undecodable entries skipped", "kind", kind, "unread", skipped)
	}
}
