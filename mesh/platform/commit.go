package platform

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"briarrock.example/mesh/snapshot"
)

// HeadKey is the table's row that names the version in force.
const HeadKey = "head"

// auditPrefix begins the key of each audit row; the version follows in a
// fixed width, so that the order of keys is the order of versions.
const auditPrefix = "audit/"

// AuditKey returns the key of a version's audit row.
func AuditKey(version uint64) string { return fmt.Sprintf("%s%020d", auditPrefix, version) }

// writePrefix begins the key of the row by which an edit's id is known.
const writePrefix = "write/"

// WriteKey returns the key of the row of an edit's id.
func WriteKey(id string) string { return writePrefix + id }

// AuditScan asks for the audit rows of versions below before, newest first;
// 0 asks for the newest.
func AuditScan(before uint64, limit int) Scan {
	s := Scan{Prefix: auditPrefix, Limit: limit, Reverse: true}
	if before > 0 {
		s.After = AuditKey(before)
	}
	return s
}

// Head is the value of the head row.
type Head struct {
	Version uint64 `json:"version"`
	Hash    string `json:"hash"` // of the snapshot
	Text    string `json:"text"` // hash of the operator's text
	Write   string `json:"write"`
}

// Audit is one row of the audit trail, written in the same transaction as the
// head that it tells of.
type Audit struct {
	Version uint64    `json:"version"`
	Base    uint64    `json:"base"`
	Hash    string    `json:"hash"`
	Text    string    `json:"text"`
	Write   string    `json:"write"`
	Who     string    `json:"who"`
	From    string    `json:"from"` // address that the edit came from
	Host    string    `json:"host"` // host of the accepting node
	At      time.Time `json:"at"`
	Note    string    `json:"note,omitempty"`
	Changes []string  `json:"changes"`
}

// ParseHead reads the value of a head row.
func ParseHead(b []byte) (Head, snapshot.Hash, error) {
	var h Head
	if err := json.Unmarshal(b, &h); err != nil {
		return h, snapshot.Hash{}, errors.Wrap(err, "platform: head row")
	}
	hash, err := snapshot.ParseHash(h.Hash)
	return h, hash, err
}

// Outcome is how an attempt to commit ended.
type Outcome int

// The outcomes of a commit.
const (
	// Pending says that the commit goes on.
	Pending Outcome = iota
	// Accepted says that the version is the head, written exactly once.
	Accepted
	// Conflicted says that another edit came first; nothing was written.
	Conflicted
	// Refused says that nothing was written since the store was unavailable.
	Refused
	// Undecided says that the write may have taken effect. Asking again with
	// the same write id tells.
	Undecided
)

// Commit decides how one edit becomes the head. It is a step function: each
// method takes what happened and returns what to do next, without any I/O.
//
// Its safeguard is against an answer that is lost after the write took
// effect. Writing again blindly would put the edit in twice, or put it over
// another operator's. So each edit has an id, and the transaction that makes
// it the head also writes a row under that id. Before anything else, and after
// every outcome that is not clear, that row is read: if it is there the edit
// went in, as the version that the row names, however long ago and whatever
// came after it.
type Commit struct {
	audit Audit
	// sent is set once the transaction may have been carried out.
	sent  bool
	tries int
}

// maxReads is how often a commit asks what became of its write.
const maxReads = 5

// NewCommit returns the decision for one edit. The audit row names the base
// that the edit began from and the id of the write; its Version is set here.
func NewCommit(a Audit) *Commit {
	a.Version = a.Base + 1
	return &Commit{audit: a}
}

// Action is what the caller of a Commit does next.
type Action interface{ action() }

// ReadWriteRow asks to read the row of the edit's id and call WriteRowRead.
type ReadWriteRow struct {
	ID string
	// Wait is set when the last read told nothing: pause before this one.
	Wait bool
}

// ReadHead asks to read the head row and call HeadRead.
type ReadHead struct{}

// Transact asks to run the transaction and call Transacted.
type Transact struct{ Transaction Transaction }

// ReadAudit asks to read a version's audit row and call AuditRead.
type ReadAudit struct{ Version uint64 }

// Finish ends the commit.
type Finish struct {
	Outcome Outcome
	Audit   Audit // the edit accepted, or the one that came first
}

func (ReadWriteRow) action() {}
func (ReadHead) action()     {}
func (Transact) action()     {}
func (ReadAudit) action()    {}
func (Finish) action()       {}

// Begin starts the commit.
func (c *Commit) Begin() Action { return ReadWriteRow{ID: c.audit.Write} }

// written is the value of the row of an edit's id.
type written struct {
	Version uint64 `json:"version"`
	Hash    string `json:"hash"`
}

// WriteRowRead takes the row of the edit's id. err is nil, ErrMissing, or a
// failed read.
func (c *Commit) WriteRowRead(row Row, err error) Action {
	if errors.Is(err, ErrMissing) {
		return ReadHead{}
	}
	var w written
	if err == nil {
		err = json.Unmarshal(row.Value, &w)
	}
	if err != nil {
		return c.unclear()
	}
	a := c.audit
	a.Version, a.Hash, a.Base = w.Version, w.Hash, w.Version-1
	return Finish{Outcome: Accepted, Audit: a}
}

// unclear is for a read that told nothing. As long as nothing was sent, that
// is a plain refusal.
func (c *Commit) unclear() Action {
	if !c.sent {
		return Finish{Outcome: Refused}
	}
	c.tries++
	if c.tries >= maxReads {
		return Finish{Outcome: Undecided, Audit: c.audit}
	}
	return ReadWriteRow{ID: c.audit.Write, Wait: true}
}

// HeadRead takes the head row. err is nil, ErrMissing, or a failed read.
func (c *Commit) HeadRead(row Row, err error) Action {
	if err != nil && !errors.Is(err, ErrMissing) {
		return c.unclear()
	}
	var head Head
	if err == nil {
		if head, _, err = ParseHead(row.Value); err != nil {
			return c.unclear()
		}
	}
	if head.Version != c.audit.Base {
		// Another edit came first. One of ours that is still on its way can't
		// take effect any more, since its condition names the old head.
		return ReadAudit{Version: c.audit.Base + 1}
	}
	if c.sent {
		return c.unclear()
	}
	return c.try(Condition{Key: HeadKey, Tag: row.Tag})
}

func (c *Commit) try(cond Condition) Action {
	head, err := json.Marshal(Head{
		Version: c.audit.Version, Hash: c.audit.Hash, Text: c.audit.Text, Write: c.audit.Write,
	})
	if err != nil {
		return Finish{Outcome: Refused}
	}
	row, err := json.Marshal(c.audit)
	if err != nil || len(row) > MaxValue {
		return Finish{Outcome: Refused}
	}
	mark, err := json.Marshal(written{c.audit.Version, c.audit.Hash})
	if err != nil {
		return Finish{Outcome: Refused}
	}
	audit, write := AuditKey(c.audit.Version), WriteKey(c.audit.Write)
	return Transact{Transaction{
		Conditions: []Condition{cond, {Key: audit}, {Key: write}},
		Writes:     []Write{{HeadKey, head}, {audit, row}, {write, mark}},
	}}
}

// Transacted takes the outcome of the transaction.
func (c *Commit) Transacted(err error) Action {
	switch {
	case err == nil:
		return Finish{Outcome: Accepted, Audit: c.audit}
	case errors.Is(err, ErrUnavailable):
		return Finish{Outcome: Refused}
	default:
		// A condition that failed is looked up too: the request may have been
		// delivered twice below us, and the first delivery have won.
		c.sent = true
		return ReadWriteRow{ID: c.audit.Write}
	}
}

// AuditRead takes the audit row of the edit that came first, if it could be
// read; that something came first is known without it.
func (c *Commit) AuditRead(row Row, err error) Action {
	var found Audit
	if err == nil && json.Unmarshal(row.Value, &found) == nil {
		return Finish{Outcome: Conflicted, Audit: found}
	}
	return Finish{Outcome: Conflicted}
}
