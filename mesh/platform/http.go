package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// HTTP is the Store that speaks HTTP with conditional requests (RFC 9110):
//
//	GET  /table/KEY                 a row, its tag in ETag
//	GET  /table?prefix=&after=&limit=&reverse=   rows as JSON
//	POST /transact                  a Transaction as JSON; 412 if a condition fails
//	PUT  /object/NAME               If-None-Match: *; 412 says that it is there already
//	GET  /object/NAME
type HTTP struct {
	client *http.Client
	base   string
	token  string
}

// attemptTimeout bounds one request to the platform.
const attemptTimeout = 3 * time.Second

// maxObject bounds an object read from the platform, in bytes.
const maxObject = 16 << 20

// NewHTTP returns a Store at base, such as "http://127.0.0.1:7400". The token,
// if any, is sent as a bearer token.
func NewHTTP(client *http.Client, base, token string) *HTTP {
	return &HTTP{client: client, base: strings.TrimSuffix(base, "/"), token: token}
}

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key string) (Row, error) {
	res, body, err := h.do(ctx, request{method: http.MethodGet, path: "/table/" + url.PathEscape(key), limit: MaxValue})
	if err != nil {
		return Row{}, err
	}
	if res.StatusCode != http.StatusOK {
		return Row{}, readError(res)
	}
	return Row{Key: key, Value: body, Tag: res.Header.Get("ETag")}, nil
}

// List implements Store.
func (h *HTTP) List(ctx context.Context, s Scan) ([]Row, error) {
	q := url.Values{}
	q.Set("prefix", s.Prefix)
	q.Set("after", s.After)
	q.Set("limit", strconv.Itoa(s.Limit))
	q.Set("reverse", strconv.FormatBool(s.Reverse))
	res, body, err := h.do(ctx, request{method: http.MethodGet, path: "/table?" + q.Encode(), limit: maxObject})
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		return nil, readError(res)
	}
	var rows []Row
	if err := json.Unmarshal(body, &rows); err != nil {
		return nil, errors.Wrap(err, "platform: scan")
	}
	return rows, nil
}

// Transact implements Store.
func (h *HTTP) Transact(ctx context.Context, t Transaction) error {
	b, err := json.Marshal(t)
	if err != nil {
		return errors.Wrap(err, "platform: transact")
	}
	res, _, err := h.do(ctx, request{method: http.MethodPost, path: "/transact", body: b, limit: MaxValue, writes: true})
	if err != nil {
		return err
	}
	return writeError(res)
}

// PutObject implements Store.
func (h *HTTP) PutObject(ctx context.Context, name string, content []byte) error {
	res, _, err := h.do(ctx, request{
		method: http.MethodPut, path: "/object/" + url.PathEscape(name), body: content,
		ifNoneMatch: "*", limit: MaxValue, writes: true,
	})
	if err != nil {
		return err
	}
	if res.StatusCode == http.StatusPreconditionFailed {
		return nil // the name is the content's hash: it is there already
	}
	return writeError(res)
}

// GetObject implements Store.
func (h *HTTP) GetObject(ctx context.Context, name string) ([]byte, error) {
	res, body, err := h.do(ctx, request{method: http.MethodGet, path: "/object/" + url.PathEscape(name), limit: maxObject})
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		return nil, readError(res)
	}
	return body, nil
}

// request is one exchange with the platform.
type request struct {
	method, path string
	body         []byte
	ifNoneMatch  string
	limit        int64
	writes       bool
}

func (h *HTTP) do(ctx context.Context, r request) (*http.Response, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	req, err := http.NewRequestWithContext(ctx, r.method, h.base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, nil, errors.Wrap(err, "platform: request")
	}
	// Without GetBody the client can't send a write a second time by itself.
	req.GetBody = nil
	if h.token != "" {
		req.Header.Set("Authorization", "Bearer "+h.token)
	}
	if r.ifNoneMatch != "" {
		req.Header.Set("If-None-Match", r.ifNoneMatch)
	}
	res, err := h.client.Do(req)
	if err != nil {
		return nil, nil, RequestError(err, r.writes && connected)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, r.limit+1))
	if err != nil {
		return nil, nil, RequestError(err, r.writes)
	}
	if int64(len(body)) > r.limit {
		return nil, nil, errors.Errorf("platform: answer to %s %s is too large", r.method, r.path)
	}
	return res, body, nil
}

// RequestError is the error of a question that got no answer: it tells a write that
// may have taken effect from one that can't have:
// before a connection was had, no byte of it was sent.
func RequestError(err error, maybeDone bool) error {
	if maybeDone {
		return errors.Wrap(ErrUnknown, err.Error())
	}
	return errors.Wrap(ErrUnavailable, err.Error())
}

func readError(res *http.Response) error {
	if res.StatusCode == http.StatusNotFound {
		return ErrMissing
	}
	return errors.Wrap(ErrUnavailable, res.Status)
}

// writeError tells what an answer to a write means. A 5xx, 503 included, may
// come from something in between that gave up on an answer while the write
// took effect, so it proves nothing.
func writeError(res *http.Response) error {
	switch {
	case res.StatusCode < http.StatusMultipleChoices:
		return nil
	case res.StatusCode == http.StatusPreconditionFailed:
		return ErrCondition
	case res.StatusCode < http.StatusInternalServerError:
		return errors.Wrap(ErrUnavailable, res.Status)
	default:
		return errors.Wrap(ErrUnknown, res.Status)
	}
}
