package persimplatform

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"persimmonport.example/platform"
)

// Objects reads and conditionally writes the platform's objects by kind and name.
type Objects interface {
	// List returns the objects of a kind and the revision at which the list
	// began. It returns ErrThrottled or ErrUnavailable.
	List(ctx context.Context, kind string) ([]platform.Object, int64, error)
	// ListStale is List at a tenth of the price, of data that may be seconds old.
	ListStale(ctx context.Context, kind string) ([]platform.Object, int64, error)
	// Get returns an object, or ErrNotFound, ErrThrottled or ErrUnavailable.
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	// Write creates the object where its revision is zero and otherwise replaces
	// it if it is still at its revision. It returns the stored object, or
	// ErrConflict, ErrUncertain, ErrThrottled, ErrTooLarge or ErrUnavailable.
	Write(ctx context.Context, kind string, object platform.Object) (platform.Object, error)
	// Delete removes the object if it is at a revision.
	Delete(ctx context.Context, kind, name string, revision int64) error
}

const (
	// DefaultObjectTimeout bounds one call; an answer takes 4 ms, and 60 times that
	// when the store is slow.
	DefaultObjectTimeout = 900 * time.Millisecond
	dialTimeout          = 400 * time.Millisecond
	maxPages             = 100
)

type objects struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// NewObjects returns a client of the store at an address and its clean-up function.
func NewObjects(address string, opts ...Option) (Objects, func()) {
	c := config{callTimeout: DefaultObjectTimeout}
	for _, opt := range opts {
		opt(&c)
	}
	client := newHTTPClient(c.transport)
	return &objects{base: "http://" + address, timeout: c.callTimeout, http: client}, client.CloseIdleConnections
}

func newHTTPClient(transport http.RoundTripper) *http.Client {
	if transport == nil {
		transport = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		}
	}
	return &http.Client{Transport: transport}
}

func (o *objects) List(ctx context.Context, kind string) ([]platform.Object, int64, error) {
	return o.list(ctx, kind, false)
}

func (o *objects) ListStale(ctx context.Context, kind string) ([]platform.Object, int64, error) {
	return o.list(ctx, kind, true)
}

func (o *objects) list(ctx context.Context, kind string, stale bool) ([]platform.Object, int64, error) {
	var all []platform.Object
	var revision int64
	after := ""
	for range maxPages {
		data, err := o.call(ctx, http.MethodGet, platform.KindPath(kind)+platform.ListQuery(after, stale), nil)
		if err != nil {
			return nil, 0, err
		}
		page, unread, err := platform.DecodeList(data)
		if err != nil {
			return nil, 0, trace.Wrap(ErrUnavailable, "%v", err)
		}
		all = append(all, page.Objects...)
		if revision == 0 {
			revision = page.Revision
		}
		if !page.More || len(page.Objects) == 0 {
			logUnread(kind, unread)
			return all, revision, nil
		}
		after = page.Objects[len(page.Objects)-1].Name
	}
	return nil, 0, trace.Wrap(ErrUnavailable, "the list of %s has more than %d pages", kind, maxPages)
}

func (o *objects) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	data, err := o.call(ctx, http.MethodGet, platform.ObjectPath(kind, name), nil)
	if err != nil {
		return platform.Object{}, err
	}
	return decodeObject(data)
}

func decodeObject(data []byte) (platform.Object, error) {
	object, err := platform.DecodeObject(data)
	if err != nil {
		return platform.Object{}, trace.Wrap(ErrUncertain, "%v", err)
	}
	return object, nil
}

func (o *objects) Write(ctx context.Context, kind string, object platform.Object) (platform.Object, error) {
	body, err := platform.EncodeObject(object)
	if err != nil {
		return platform.Object{}, trace.Wrap(err)
	}
	if len(body) > MaxValueBytes {
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
	return decodeObject(data)
}

func (o *objects) Delete(ctx context.Context, kind, name string, revision int64) error {
	_, err := o.call(ctx, http.MethodDelete, platform.ObjectPath(kind, name)+platform.RevisionQuery(revision), nil)
	return err
}

func (o *objects) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	data, _, err := send(ctx, o.http, method, o.base+path, body, nil)
	return data, err
}

// send makes one call and returns the answer's body, or an error of this package.
func send(ctx context.Context, client *http.Client, method, url string, body []byte, mark func(http.Header)) ([]byte, int, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, 0, trace.Wrap(err)
	}
	// Without a way to read the body again, the transport does not repeat the call.
	req.GetBody = nil
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if mark != nil {
		mark(req.Header)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, 0, trace.Wrap(lostAnswer(method, err), "%s %s: %v", method, req.URL.Path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := statusError(resp.StatusCode); err != nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes))
		return nil, resp.StatusCode, err
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, resp.StatusCode, trace.Wrap(lostAnswer(method, err), "%s %s: %v", method, req.URL.Path, err)
	}
	return data, resp.StatusCode, nil
}

// lostAnswer returns what a call without an answer means.
func lostAnswer(method string, err error) error {
	if method == http.MethodGet {
		return ErrUnavailable
	}
	return writeError(err)
}
