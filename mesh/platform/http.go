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

// HTTP is a Store over HTTP with conditional requests (RFC 9110):
//
//	GET  /table/KEY                 reads a row; its tag is in ETag
//	GET  /table?prefix=&after=&limit=&reverse=   reads rows as JSON
//	POST /transact                  executes a Transaction in JSON; 412 if a condition fails
//	PUT  /object/NAME               writes an object with If-None-Match: *; 412 if it exists
//	GET  /object/NAME               reads an object
type HTTP struct {
	client *http.Client
	base   string
	token  string
}

// requestTimeout limits the duration of one request to the platform.
const requestTimeout = 3 * time.Second

// maxObjectBytes is the maximum size of an object or of a page of rows that is
// read from the platform.
const maxObjectBytes = 16 << 20

// NewHTTP returns a Store for the platform at the URL base, such as
// "http://127.0.0.1:7400". A non-empty token is sent as a bearer token.
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
	res, body, err := h.do(ctx, request{method: http.MethodGet, path: "/table?" + q.Encode(), limit: maxObjectBytes})
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		return nil, readError(res)
	}
	var rows []Row
	if err := json.Unmarshal(body, &rows); err != nil {
		return nil, errors.Wrap(err, "platform: decode rows of a scan")
	}
	return rows, nil
}

// Transact implements Store.
func (h *HTTP) Transact(ctx context.Context, t Transaction) error {
	b, err := json.Marshal(t)
	if err != nil {
		return errors.Wrap(err, "platform: encode transaction")
	}
	res, _, err := h.do(ctx, request{method: http.MethodPost, path: "/transact", body: b, limit: MaxValue, isWrite: true})
	if err != nil {
		return err
	}
	return writeError(res)
}

// PutObject implements Store.
func (h *HTTP) PutObject(ctx context.Context, name string, content []byte) error {
	res, _, err := h.do(ctx, request{
		method: http.MethodPut, path: "/object/" + url.PathEscape(name), body: content,
		ifNoneMatch: "*", limit: MaxValue, isWrite: true,
	})
	if err != nil {
		return err
	}
	if res.StatusCode == http.StatusPreconditionFailed {
		return nil // the object exists; its name is the content hash, so it is equal
	}
	return writeError(res)
}

// GetObject implements Store.
func (h *HTTP) GetObject(ctx context.Context, name string) ([]byte, error) {
	res, body, err := h.do(ctx, request{method: http.MethodGet, path: "/object/" + url.PathEscape(name), limit: maxObjectBytes})
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		return nil, readError(res)
	}
	return body, nil
}

// request is one request to the platform.
type request struct {
	method, path string
	body         []byte
	ifNoneMatch  string
	limit        int64 // maximum size of the response body in bytes
	isWrite      bool
}

func (h *HTTP) do(ctx context.Context, r request) (*http.Response, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	req, err := http.NewRequestWithContext(ctx, r.method, h.base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, nil, errors.Wrap(err, "platform: build request")
	}
	// Without GetBody the HTTP client cannot retry a write on its own.
	req.GetBody = nil
	if h.token != "" {
		req.Header.Set("Authorization", "Bearer "+h.token)
	}
	if r.ifNoneMatch != "" {
		req.Header.Set("If-None-Match", r.ifNoneMatch)
	}
	res, err := h.client.Do(req)
	if err != nil {
		return nil, nil, RequestError(err, r.isWrite && connected)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, r.limit+1))
	if err != nil {
		return nil, nil, RequestError(err, r.isWrite)
	}
	if int64(len(body)) > r.limit {
		return nil, nil, errors.Errorf("platform: response to %s %s is too large", r.method, r.path)
	}
	return res, body, nil
}

// RequestError returns the error for a request that got no complete response. It wraps
// ErrUnknown if maybeApplied is set, that is for a write that may have taken
// effect, and ErrUnavailable otherwise. A write cannot have taken effect if it
// failed before there was a connection, since no byte of it was sent.
func RequestError(err error, maybeApplied bool) error {
	if maybeApplied {
		return errors.Wrap(ErrUnknown, err.Error())
	}
	return errors.Wrap(ErrUnavailable, err.Error())
}

// readError returns the error for a response to a read whose status is not 200.
func readError(res *http.Response) error {
	if res.StatusCode == http.StatusNotFound {
		return ErrMissing
	}
	return errors.Wrap(ErrUnavailable, res.Status)
}

// writeError returns the error for a response to a write; nil means that the
// write took effect. A 5xx status, including 503, returns ErrUnknown: it may come
// from an intermediary that timed out while the write took effect.
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
