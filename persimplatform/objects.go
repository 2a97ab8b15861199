package persimplatform

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"persimmonport.example/platform"
)

// MaxObjectBytes is the largest encoded object that the platform stores.
const MaxObjectBytes = 1 << 20

// Objects reads and conditionally writes the platform's objects by kind and name.
type Objects interface {
	// List returns the objects of a kind and the revision at which the list
	// started. It returns ErrThrottled or ErrUnavailable.
	List(ctx context.Context, kind string) ([]platform.Object, int64, error)
	// ListStale is List at a tenth of the cost, with data that may be seconds old.
	ListStale(ctx context.Context, kind string) ([]platform.Object, int64, error)
	// Get returns an object, or ErrNotFound, ErrThrottled or ErrUnavailable.
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	// Write creates the object if its revision is zero, and otherwise replaces it if
	// the stored revision is the same. It returns the stored object, or
	// ErrConflict, ErrUncertain, ErrThrottled, ErrTooLarge or ErrUnavailable.
	Write(ctx context.Context, kind string, object platform.Object) (platform.Object, error)
	// WriteStatus replaces the status of the object if the stored revision is that of the
	// object given. It returns the stored object, also with ErrConflict where the platform
	// sends it, or one of the errors of Write.
	WriteStatus(ctx context.Context, kind string, object platform.Object) (platform.Object, error)
	// Delete removes the object if its stored revision is the given one.
	Delete(ctx context.Context, kind, name string, revision int64) error
	// Watch returns the changes of a kind after a revision as soon as there are any,
	// or none once wait has passed. It returns ErrExpired, ErrThrottled or
	// ErrUnavailable.
	Watch(ctx context.Context, kind string, revision int64, wait time.Duration) (platform.Changes, error)
}

// DefaultObjectTimeout limits one call; a response takes 4 ms, and 60 times that when
// the store is slow.
const DefaultObjectTimeout = 900 * time.Millisecond

const maxPages = 100

type objects struct{ *client }

// NewObjects returns an Objects client for an address and a function that closes its
// idle connections.
func NewObjects(address string, opts ...Option) (Objects, func()) {
	c, cleanup := newClient("http://"+address, DefaultObjectTimeout, opts)
	return objects{c}, cleanup
}

func (o objects) List(ctx context.Context, kind string) ([]platform.Object, int64, error) {
	return o.list(ctx, kind, false)
}

func (o objects) ListStale(ctx context.Context, kind string) ([]platform.Object, int64, error) {
	return o.list(ctx, kind, true)
}

func (o objects) list(ctx context.Context, kind string, stale bool) ([]platform.Object, int64, error) {
	var all []platform.Object
	var revision int64
	after := ""
	for range maxPages {
		data, err := o.call(ctx, http.MethodGet, platform.KindPath(kind)+platform.ListQuery(after, stale), nil)
		if err != nil {
			return nil, 0, err
		}
		page, skipped, err := platform.DecodeList(data)
		if err != nil {
			return nil, 0, trace.Wrap(ErrUnavailable, "%v", err)
		}
		all = append(all, page.Objects...)
		if revision == 0 {
			revision = page.Revision
		}
		logSkipped(kind, skipped)
		if !page.More {
			return all, revision, nil
		}
		if page.Last == "" || page.Last == after {
			return nil, 0, trace.Wrap(ErrUnavailable, "the list of %s does not go on after %q", kind, after)
		}
		after = page.Last
	}
	return nil, 0, trace.Wrap(ErrUnavailable, "the list of %s has more than %d pages", kind, maxPages)
}

func (o objects) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	data, err := o.call(ctx, http.MethodGet, platform.ObjectPath(kind, name), nil)
	if err != nil {
		return platform.Object{}, err
	}
	return decodeObject(http.MethodGet, data)
}

func decodeObject(method string, data []byte) (platform.Object, error) {
	object, err := platform.DecodeObject(data)
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
	if object.Revision == 0 {
		method, path = http.MethodPost, platform.KindPath(kind)
	}
	data, err := o.call(ctx, method, path, body)
	if err != nil {
		return platform.Object{}, err
	}
	return decodeObject(method, data)
}

func (o objects) WriteStatus(ctx context.Context, kind string, object platform.Object) (platform.Object, error) {
	body, err := platform.EncodeStatus(object)
	if err != nil {
		return platform.Object{}, trace.Wrap(err)
	}
	data, err := o.call(ctx, http.MethodPut, platform.StatusPath(kind, object.Name), body)
	if errors.Is(err, ErrConflict) {
		// The object is not needed to report the conflict.
		current, errDecode := platform.DecodeObject(data)
		if errDecode != nil {
			return platform.Object{}, err
		}
		return current, err
	}
	if err != nil {
		return platform.Object{}, err
	}
	return decodeObject(http.MethodPut, data)
}

func (o objects) Delete(ctx context.Context, kind, name string, revision int64) error {
	_, err := o.call(ctx, http.MethodDelete, platform.ObjectPath(kind, name)+platform.RevisionQuery(revision), nil)
	return err
}

func (o objects) Watch(ctx context.Context, kind string, revision int64, wait time.Duration) (platform.Changes, error) {
	path := platform.KindPath(kind) + platform.WatchQuery(revision, wait)
	data, err := o.callWithin(ctx, wait+o.timeout, http.MethodGet, path, nil, http.Header{})
	if err != nil {
		return platform.Changes{}, err
	}
	changes, skipped, err := platform.DecodeChanges(data)
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
