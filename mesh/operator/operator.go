// Package operator is the interface between an operator's command line and
// any node: its messages, as JSON over HTTP, and a client.
//
//	c := operator.New(http.DefaultClient, "http://127.0.0.1:7104", token)
//	res, err := c.Apply(ctx, operator.Apply{Text: text, Base: 6, Write: id})
//
// An edit has one of the outcomes below. Accepted, Refused and Undecided are
// three different answers on purpose: an operator who is told Refused knows
// that nothing changed, and one who is told Undecided knows that asking again
// with the same write id is safe and will tell.
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

// Outcome is how an edit ended.
type Outcome string

// The outcomes of an edit.
const (
	Accepted  Outcome = "accepted"  // it is the head now
	Unchanged Outcome = "unchanged" // the head says the same already
	Planned   Outcome = "planned"   // a dry run: it would be accepted
	Invalid   Outcome = "invalid"   // the text has mistakes
	Conflict  Outcome = "conflict"  // another edit came first
	Refused   Outcome = "refused"   // the store is unavailable, nothing changed
	Undecided Outcome = "undecided" // it may have taken effect; ask again
)

// Paths of the interface.
const (
	PathApply   = "/v1/apply"
	PathText    = "/v1/text"
	PathHistory = "/v1/history"
	PathStatus  = "/v1/status"
	PathExplain = "/v1/explain"
)

// Apply asks to make a text the configuration.
type Apply struct {
	Text []byte `json:"text"`
	// Base is the version that the edit began from.
	Base uint64 `json:"base"`
	// Head takes whatever is the head now for the base.
	Head bool `json:"head,omitempty"`
	// Write identifies the edit, so that it can be asked about again.
	Write string `json:"write"`
	Note  string `json:"note,omitempty"`
	// Dry only says what would happen.
	Dry bool `json:"dry,omitempty"`
}

// Result answers Apply.
type Result struct {
	Outcome  Outcome         `json:"outcome"`
	Version  uint64          `json:"version,omitempty"`
	Base     uint64          `json:"base"`
	Hash     string          `json:"hash,omitempty"`
	Write    string          `json:"write,omitempty"`
	Mistakes strict.Mistakes `json:"mistakes,omitempty"`
	Changes  []string        `json:"changes,omitempty"`
	// Removed are routes and services in use that the edit takes away.
	Removed []string `json:"removed,omitempty"`
	// Nodes is how many nodes the change goes to.
	Nodes int `json:"nodes,omitempty"`
	// Other is the edit that came first, after a conflict.
	Other *platform.Audit `json:"other,omitempty"`
	// Text says in a sentence what happened and what to do.
	Text string `json:"text"`
}

// Entry is one version in the history.
type Entry struct {
	platform.Audit
	// Converged is how many milliseconds after its acceptance the version was
	// in force on every node, as the accepting node saw it; 0 if not known.
	Converged int64 `json:"converged,omitempty"`
	Nodes     int   `json:"nodes,omitempty"`
}

// Attempt is an edit that was not accepted, kept for the audit trail.
type Attempt struct {
	At      time.Time `json:"at"`
	Who     string    `json:"who"`
	From    string    `json:"from"`
	Host    string    `json:"host"`
	Outcome Outcome   `json:"outcome"`
	Base    uint64    `json:"base"`
	Write   string    `json:"write"`
	Text    string    `json:"text"`
}

// History answers a page of the history, newest first.
type History struct {
	Entries  []Entry   `json:"entries"`
	Attempts []Attempt `json:"attempts,omitempty"`
	// Next is the version to ask before for the next page; 0 at the end.
	Next uint64 `json:"next,omitempty"`
}

// Count is how many nodes use one version.
type Count struct {
	Version uint64 `json:"version"`
	Nodes   int    `json:"nodes"`
}

// Domain is what one failure domain serves.
type Domain struct {
	Domain  string  `json:"domain"`
	Region  string  `json:"region"`
	Members int     `json:"members"`
	Counts  []Count `json:"counts"`
	// Laggards are some of the hosts that use an older version.
	Laggards []string `json:"laggards,omitempty"`
	// SilentMillis is for how many milliseconds nothing was heard of the domain; 0
	// while it is heard of as usual.
	SilentMillis int64 `json:"silent,omitempty"`
}

// Held is a request that is held back since it crashes targets.
type Held struct {
	Fingerprint string `json:"print"`
	Service     string `json:"service"`
	Crashes     int    `json:"crashes"`
}

// Status is what the mesh serves.
type Status struct {
	Host    string   `json:"host"`
	Version uint64   `json:"version"`
	Hash    string   `json:"hash"`
	Domains []Domain `json:"domains"`
	// Complete is unset when the node could not reach the one that knows all.
	Complete bool `json:"whole"`
	// HeadAgeMillis is for how many milliseconds nobody has read the head; -1 for
	// never.
	HeadAgeMillis int64  `json:"store"`
	Held          []Held `json:"held,omitempty"`
}

// InForce tells whether every node that is heard of uses at least version,
// and how many do and how many there are.
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

// Upstream is one target in the set of a service.
type Upstream struct {
	Host   string `json:"host"`
	Domain string `json:"domain"`
	Region string `json:"region"`
	Slots  int    `json:"slots"`
}

// Explain tells which way a request would take, and why.
type Explain struct {
	Version   uint64     `json:"version"`
	Kind      string     `json:"kind,omitempty"` // why it would be refused
	Text      string     `json:"text,omitempty"`
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

// Client speaks to one node.
type Client struct {
	http  *http.Client
	base  string
	token string
}

// New returns a client for the operator address of a node.
func New(c *http.Client, base, token string) *Client { return &Client{c, base, token} }

// ErrUnreachable says that the node could not be asked.
var ErrUnreachable = errors.New("operator: node cannot be reached")

const maxAnswer = 32 << 20

// Apply sends an edit.
func (c *Client) Apply(ctx context.Context, a Apply) (Result, error) {
	var out Result
	err := c.ask(ctx, http.MethodPost, PathApply, a, &out)
	return out, err
}

// Status asks what the mesh serves.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	err := c.ask(ctx, http.MethodGet, PathStatus, nil, &out)
	return out, err
}

// History asks for versions before one, newest first; 0 for the newest.
func (c *Client) History(ctx context.Context, before uint64, limit int) (History, error) {
	var out History
	q := url.Values{"before": {strconv.FormatUint(before, 10)}, "limit": {strconv.Itoa(limit)}}
	err := c.ask(ctx, http.MethodGet, PathHistory+"?"+q.Encode(), nil, &out)
	return out, err
}

// Explain asks which way a request would take.
func (c *Client) Explain(ctx context.Context, method, target, caller string) (Explain, error) {
	var out Explain
	q := url.Values{"method": {method}, "url": {target}, "caller": {caller}}
	err := c.ask(ctx, http.MethodGet, PathExplain+"?"+q.Encode(), nil, &out)
	return out, err
}

// Version is a text with the version that it is.
type Version struct {
	Version uint64 `json:"version"`
	Text    []byte `json:"text"`
}

// Text asks for a version's text; 0 for the head's. Version 0 in the answer
// says that there is none yet.
func (c *Client) Text(ctx context.Context, version uint64) (Version, error) {
	var out Version
	err := c.ask(ctx, http.MethodGet, PathText+"?version="+strconv.FormatUint(version, 10), nil, &out)
	return out, err
}

func (c *Client) ask(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return errors.WithStack(err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return errors.WithStack(err)
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("operator: %s: %s", res.Status, bytes.TrimSpace(b))
	}
	return errors.WithStack(json.Unmarshal(b, out))
}
