package persimupstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/gravitational/trace"
)

// A Call is one call of a plain service.
type Call struct {
	Method string
	Body   []byte
	// Key is the caller's key, if any.
	Key string
	// Fence is the fencing number for services that check it; zero sends none.
	Fence uint64
}

// A Service sends calls to plain services.
type Service interface {
	// Do sends a call once and returns the answer. It returns ErrNotRun, ErrRejected
	// or ErrBroken; only after ErrNotRun the call has provably not run.
	Do(ctx context.Context, address string, call Call) ([]byte, error)
}

type service struct {
	http *http.Client
}

// NewService returns a client of plain services and its clean-up function.
func NewService(opts ...Option) (Service, func()) {
	client, cleanup := newClient(newConfig(opts))
	return &service{http: client}, cleanup
}

func (s *service) Do(ctx context.Context, address string, call Call) ([]byte, error) {
	target := "http://" + address + "/call/" + url.PathEscape(call.Method)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(call.Body))
	if err != nil {
		return nil, trace.Wrap(ErrNotRun)
	}
	// Without GetBody the transport cannot send the call a second time.
	req.GetBody = nil
	if call.Key != "" {
		req.Header.Set(HeaderKey, call.Key)
	}
	if call.Fence > 0 {
		req.Header.Set(HeaderFence, strconv.FormatUint(call.Fence, 10))
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return nil, trace.Wrap(sendError(err))
	}
	defer func() { _ = resp.Body.Close() }()
	if err := statusError(resp); err != nil {
		return nil, trace.Wrap(err)
	}
	return readAnswer(resp)
}

// readAnswer returns the whole answer or ErrBroken; a shorter body than announced is an error.
func readAnswer(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil || len(body) > maxAnswerBytes {
		return nil, trace.Wrap(ErrBroken)
	}
	return body, nil
}
