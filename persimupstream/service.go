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
	// IdempotencyKey is the caller's idempotency key, if any.
	IdempotencyKey string
	// Fence is the fencing token for services that check it; zero sends none.
	Fence uint64
}

// A Service is a client of plain services.
type Service interface {
	// Do sends a call once, without retries, and returns the body of the response.
	// It fails with ErrNotRun, ErrRejected or ErrBroken; only ErrNotRun guarantees
	// that the call has not run.
	Do(ctx context.Context, address string, call Call) ([]byte, error)
}

type service struct {
	client *http.Client
}

// NewService returns a client of plain services and a function that closes its idle
// connections.
func NewService(opts ...Option) (Service, func()) {
	client, cleanup := newClient(newConfig(opts))
	return &service{client: client}, cleanup
}

func (s *service) Do(ctx context.Context, address string, call Call) ([]byte, error) {
	target := "http://" + address + "/call/" + url.PathEscape(call.Method)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(call.Body))
	if err != nil {
		return nil, trace.Wrap(ErrNotRun)
	}
	// Without GetBody, the transport cannot resend the call on another connection.
	req.GetBody = nil
	if call.IdempotencyKey != "" {
		req.Header.Set(HeaderIdempotencyKey, call.IdempotencyKey)
	}
	if call.Fence > 0 {
		req.Header.Set(HeaderFence, strconv.FormatUint(call.Fence, 10))
	}
	req, exchange := identify(req)
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, trace.Wrap(classifySendError(err))
	}
	defer func() { _ = resp.Body.Close() }()
	if err := exchange.classifyStatus(resp); err != nil {
		return nil, trace.Wrap(err)
	}
	return readBody(resp)
}

// readBody returns the complete body. It returns ErrBroken for a body that is
// shorter than announced or longer than maxBodyBytes.
func readBody(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes+1))
	if err != nil || len(body) > maxBodyBytes {
		return nil, trace.Wrap(ErrBroken)
	}
	return body, nil
}
