// Package operator defines the operator API of a node, JSON over HTTP, and a
// client for it. Every node serves the API.
//
//	c := operator.New(http.DefaultClient, "http://127.0.0.1:7104", token)
//	res, err := c.Apply(ctx, operator.Apply{Text: text, Base: 6, Write: id})
//
// An edit ends with one of the outcomes below. Refused and Undecided are
// distinct on purpose: Refused guarantees that nothing changed; Undecided means
// that the edit may have been accepted, and that a retry with the same write id
// is safe and determines whether it was.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"briarrock.example/mesh/platform"
	"briarrock.example/mesh/strict"
)

// Outcome is the result of an edit.
type Outcome string

// The outcomes of an edit.
const (
	Accepted  Outcome = "accepted"  // the edit became the head
	Unchanged Outcome = "unchanged" // the head already has the same content
	Planned   Outcome = "planned"   // dry run: the edit would be accepted
	Invalid   Outcome = "invalid"   // the text has mistakes
	Conflict  Outcome = "conflict"  // another edit was committed first
	Refused   Outcome = "refused"   // the store is unavailable; nothing changed
	Undecided Outcome = "undecided" // the edit may have taken effect; retry
)

// Paths of the operator API.
const (
	PathApply   = "/v1/apply"
	PathText    = "/v1/text"
	PathHistory = "/v1/history"
	PathStatus  = "/v1/status"
	PathExplain = "/v1/explain"
)

// Apply is an edit: a request to make Text the configuration of the mesh.
type Apply struct {
	Text []byte `json:"text"`
	// Base is the version that the edit is based on.
	Base uint64 `json:"base"`
	// Head uses the current head as the base instead of Base.
	Head bool `json:"head,omitempty"`
	// Write is the write id. It identifies the edit, so that a retry is
	// idempotent.
	Write string `json:"write"`
	Note  string `json:"note,omitempty"`
	// Dry requests a dry run, which reports the outcome and changes nothing.
	Dry bool `json:"dry,omitempty"`
}

// Result is the response to Apply.
type Result struct {
	Outcome Outcome `json:"outcome"`
	// Version is the version of an Accepted or Unchanged edit; after a Conflict it is
	// that of Other.
	Version  uint64          `json:"version,omitempty"`
	Base     uint64          `json:"base"`
	Hash     string          `json:"hash,omitempty"`
	Write    string          `json:"write,omitempty"`
	Mistakes strict.Mistakes `json:"mistakes,omitempty"`
	Changes  []string        `json:"changes,omitempty"`
	// Removed lists the services and routes of the current configuration that
	// the edit removes.
	Removed []string `json:"removed,omitempty"`
	// Nodes is the number of nodes that the change is distributed to.
	Nodes int `json:"nodes,omitempty"`
	// Other is the edit that was committed first, after a conflict.
	Other *platform.Audit `json:"other,omitempty"`
	// Text describes the outcome and what to do next in one sentence.
	Text string `json:"text"`
}

// Entry is one version in the history.
type Entry struct {
	platform.Audit
	// Converged is the time in milliseconds from the acceptance of the version
	// until all nodes used it, as measured by the accepting node; 0 if unknown.
	Converged int64 `json:"converged,omitempty"`
	// Nodes is the number of nodes that used the version then.
	Nodes int `json:"nodes,omitempty"`
}

// Attempt is an edit that was not accepted. It is stored for the audit trail.
type Attempt struct {
	At      time.Time `json:"at"`
	Who     string    `json:"who"`
	From    string    `json:"from"`
	Host    string    `json:"host"`
	Outcome Outcome   `json:"outcome"`
	Base    uint64    `json:"base"`
	Write   string    `json:"write"`
	// Text is the text of the Result, or the first mistake if there are any.
	Text string `json:"text"`
}

// History is one page of the history, newest version first.
type History struct {
	Entries  []Entry   `json:"entries"`
	Attempts []Attempt `json:"attempts,omitempty"`
	// Next is the argument before of Client.History for the next page; 0 on the
	// last page.
	Next uint64 `json:"next,omitempty"`
}

// Count is the number of nodes that use one version.
type Count struct {
	Version uint64 `json:"version"`
	Nodes   int    `json:"nodes"`
}

// Domain is the status of one failure domain.
type Domain struct {
	Domain  string  `json:"domain"`
	Region  string  `json:"region"`
	Members int     `json:"members"`
	Counts  []Count `json:"counts"`
	// Laggards lists some of the hosts that use an older version.
	Laggards []string `json:"laggards,omitempty"`
	// SilentMillis is the time in milliseconds since the last report of the domain
	// if its reports are overdue, and 0 otherwise.
	SilentMillis int64 `json:"silent,omitempty"`
}

// Held is a request that is blocked because it crashed targets. Fingerprint
// identifies the request.
type Held struct {
	Fingerprint string `json:"print"`
	Service     string `json:"service"`
	Crashes     int    `json:"crashes"`
}

// Status is the status of the mesh: the versions in use, the blocked requests
// and the age of the last read from the store.
type Status struct {
	Host    string   `json:"host"`
	Version uint64   `json:"version"`
	Hash    string   `json:"hash"`
	Domains []Domain `json:"domains"`
	// Complete is false if the node could not reach the node that aggregates the
	// status of all domains.
	Complete bool `json:"whole"`
	// HeadAgeMillis is the time in milliseconds since any node last read the head
	// from the store; -1 if none has.
	HeadAgeMillis int64  `json:"store"`
	Held          []Held `json:"held,omitempty"`
}

// InForce reports whether all nodes use at least version, how many nodes do and
// how many there are. It reports false if the status is incomplete or the
// reports of a domain are overdue.
func (s Status) InForce(version uint64) (bool, int, int) {
	done, all := 0, 0
	for _, d := range s.Domains {
		all += d.Members
		for _, c := range d.Counts {
			if c.Version >= version {
				done += c.Nodes
			}
		}
		if d.SilentMillis > 0 {
			return false, done, all
		}
	}
	return s.Complete && all > 0 && done >= all, done, all
}

// Upstream is one target of a service.
type Upstream struct {
	Host   string `json:"host"`
	Domain string `json:"domain"`
	Region string `json:"region"`
	Slots  int    `json:"slots"`
}

// Explain describes how a node would route a request: the matching route, its
// policy and the targets, or the failure kind if the request would be rejected.
type Explain struct {
	Version uint64 `json:"version"`
	Kind    string `json:"kind,omitempty"` // failure kind, see package kind
	Text    string `json:"text,omitempty"`
	// Key is what the caller's key is in a version with workspaces, and empty in
	// any other. With KeyKnown, Workspace is the key's workspace.
	Key       KeyState   `json:"key,omitempty"`
	Workspace string     `json:"workspace,omitempty"`
	Open      bool       `json:"open,omitempty"` // the route needs no key
	Service   string     `json:"service,omitempty"`
	Route     string     `json:"route,omitempty"`
	Mode      string     `json:"mode,omitempty"`
	Deadline  string     `json:"deadline,omitempty"`
	Retries   int        `json:"retries"`
	Priority  string     `json:"priority,omitempty"`
	Callers   []string   `json:"callers,omitempty"`
	Slots     int        `json:"slots,omitempty"`
	Queue     int        `json:"queue,omitempty"`
	Upstreams []Upstream `json:"upstreams,omitempty"`
}

// KeyState says whether a version knows a caller's key.
type KeyState string

// The states of a caller's key.
const (
	KeyKnown     KeyState = "known"
	KeyMissing   KeyState = "missing"
	KeyMalformed KeyState = "malformed"
	KeyUnknown   KeyState = "unknown"
)

// Request is a request that a node explains.
type Request struct {
	Method string
	URL    string // absolute
	Caller string
	// KeyHash is the hash of the caller's key (snapshot.HashKey) in hexadecimal;
	// empty if there is none. The key itself is not sent.
	KeyHash string
}

// Query returns the request as a query of PathExplain.
func (r Request) Query() url.Values {
	q := url.Values{"method": {r.Method}, "url": {r.URL}, "caller": {r.Caller}}
	if r.KeyHash != "" {
		q.Set("keyhash", r.KeyHash)
	}
	return q
}

// ParseRequest is the inverse of Request.Query.
func ParseRequest(q url.Values) Request {
	return Request{Method: q.Get("method"), URL: q.Get("url"), Caller: q.Get("caller"), KeyHash: q.Get("keyhash")}
}

// Client is a client for the operator API of one node.
type Client struct {
	http  *http.Client
	base  string
	token string
}

// New returns a Client for the node at the URL base. A non-empty token is sent
// as a bearer token.
func New(c *http.Client, base, token string) *Client { return &Client{c, base, token} }

// ErrUnreachable means that the node did not return a complete response.
var ErrUnreachable = errors.New("operator: node cannot be reached")

const maxResponseBytes = 32 << 20

// Apply sends an edit and returns its result.
func (c *Client) Apply(ctx context.Context, a Apply) (Result, error) {
	var out Result
	err := c.do(ctx, http.MethodPost, PathApply, a, &out)
	return out, err
}

// Status returns the status of the mesh.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	err := c.do(ctx, http.MethodGet, PathStatus, nil, &out)
	return out, err
}

// History returns up to limit versions before the given one, newest first. If
// before is 0 the page starts at the newest version.
func (c *Client) History(ctx context.Context, before uint64, limit int) (History, error) {
	var out History
	q := url.Values{"before": {strconv.FormatUint(before, 10)}, "limit": {strconv.Itoa(limit)}}
	err := c.do(ctx, http.MethodGet, PathHistory+"?"+q.Encode(), nil, &out)
	return out, err
}

// Explain returns how the node would route a request.
func (c *Client) Explain(ctx context.Context, r Request) (Explain, error) {
	var out Explain
	err := c.do(ctx, http.MethodGet, PathExplain+"?"+r.Query().Encode(), nil, &out)
	return out, err
}

// Version is the operator's text of one version.
type Version struct {
	Version uint64 `json:"version"`
	Text    []byte `json:"text"`
}

// Text returns the text of a version, or of the head if version is 0. The
// returned Version is 0 if there is no version yet.
func (c *Client) Text(ctx context.Context, version uint64) (Version, error) {
	var out Version
	err := c.do(ctx, http.MethodGet, PathText+"?version="+strconv.FormatUint(version, 10), nil, &out)
	return out, err
}

// do sends in as JSON, if it is not nil, and decodes the JSON response into out.
func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "operator: encode request")
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return errors.Wrap(err, "operator: build request")
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("operator: %s: %s", res.Status, bytes.TrimSpace(b))
	}
	return errors.Wrap(json.Unmarshal(b, out), "operator: decode response")
}
