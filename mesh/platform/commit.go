package platform

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"briarrock.example/mesh/snapshot"
)

// HeadKey is the key of the head row, which identifies the current version.
const HeadKey = "head"

// auditPrefix is the key prefix of the audit rows. The version follows with a
// fixed width, so that keys sort in the order of versions.
const auditPrefix = "audit/"

// AuditKey returns the key of a version's audit row.
func AuditKey(version uint64) string { return fmt.Sprintf("%s%020d", auditPrefix, version) }

// writePrefix is the key prefix of the write rows. A write row records that the
// edit with the write id in its key was accepted, and as which version.
const writePrefix = "write/"

// WriteKey returns the key of the write row for a write id.
func WriteKey(id string) string { return writePrefix + id }

// AuditScan returns the scan for up to limit audit rows of versions below
// before, newest first. If before is 0 the scan starts at the newest version.
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
	Hash    string `json:"hash"`  // hash of the snapshot
	Text    string `json:"text"`  // hash of the operator's text
	Write   string `json:"write"` // write id of the edit
}

// Audit is the value of an audit row. It is written in the same transaction as
// the head of its version.
type Audit struct {
	Version uint64    `json:"version"`
	Base    uint64    `json:"base"`  // version that the edit was based on
	Hash    string    `json:"hash"`  // hash of the snapshot
	Text    string    `json:"text"`  // hash of the operator's text
	Write   string    `json:"write"` // write id of the edit
	Who     string    `json:"who"`   // operator who made the edit
	From    string    `json:"from"`  // address that the edit was sent from
	Host    string    `json:"host"`  // host of the node that accepted the edit
	At      time.Time `json:"at"`
	Note    string    `json:"note,omitempty"`
	Changes []string  `json:"changes"`
}

// ParseHead decodes the value of a head row and returns it with the hash of its
// snapshot.
func ParseHead(b []byte) (Head, snapshot.Hash, error) {
	var h Head
	if err := json.Unmarshal(b, &h); err != nil {
		return h, snapshot.Hash{}, errors.Wrap(err, "platform: decode head row")
	}
	hash, err := snapshot.ParseHash(h.Hash)
	return h, hash, err
}

// Outcome is the result of a commit.
type Outcome int

// The outcomes of a commit.
const (
	// Pending means that the commit has not finished.
	Pending Outcome = iota
	// Accepted means that the edit became the head, written exactly once.
	Accepted
	// Conflicted means that another edit was committed first; nothing was
	// written.
	Conflicted
	// Refused means that nothing was written because the store was unavailable.
	Refused
	// Undecided means that the write may have taken effect. A retry with the
	// same write id determines whether it did.
	Undecided
)

// Commit is the state machine that makes one edit the head. Each method takes
// the result of the previous action and returns the next action. It does no I/O
// itself.
//
// Commit guards against a response that is lost after the write took effect. A
// blind retry would then apply the edit twice or overwrite the edit of another
// operator. Therefore each edit has a write id, and the transaction that makes
// the edit the head also writes a row under this id, the write row. Commit reads
// the write row first and again after every unclear result. If the row exists,
// the edit was accepted as the version in the row, no matter how long ago and
// whatever was committed since.
type Commit struct {
	audit Audit
	// sent is set once the transaction may have taken effect.
	sent bool
	// reads counts the inconclusive reads after the transaction was sent.
	reads int
}

// maxReads is the number of inconclusive reads after which a commit whose
// transaction was sent ends as Undecided.
const maxReads = 5

// NewCommit returns a Commit for one edit. The caller sets the base version and
// the write id in a; NewCommit sets a.Version.
func NewCommit(a Audit) *Commit {
	a.Version = a.Base + 1
	return &Commit{audit: a}
}

// Action is the next step that the caller of a Commit must execute.
type Action interface{ action() }

// ReadWriteRow is the action to read the write row of an edit and to pass it to
// WriteRowRead.
type ReadWriteRow struct {
	ID string // the write id
	// Wait is set if the previous read was inconclusive. The caller then pauses
	// before this one.
	Wait bool
}

// ReadHead is the action to read the head row and to pass it to HeadRead.
type ReadHead struct{}

// Transact is the action to execute a transaction and to pass its error to
// Transacted.
type Transact struct{ Transaction Transaction }

// ReadAudit is the action to read a version's audit row and to pass it to
// AuditRead.
type ReadAudit struct{ Version uint64 }

// Finish is the last action. It holds the result of the commit.
type Finish struct {
	Outcome Outcome
	Audit   Audit // the accepted edit or, after a conflict, the one committed first
}

func (ReadWriteRow) action() {}
func (ReadHead) action()     {}
func (Transact) action()     {}
func (ReadAudit) action()    {}
func (Finish) action()       {}

// Begin returns the first action.
func (c *Commit) Begin() Action { return ReadWriteRow{ID: c.audit.Write} }

// writeRow is the value of a write row.
type writeRow struct {
	Version uint64 `json:"version"`
	Hash    string `json:"hash"`
}

// WriteRowRead takes the result of ReadWriteRow. err is nil, ErrMissing or the
// error of a failed read.
func (c *Commit) WriteRowRead(row Row, err error) Action {
	if errors.Is(err, ErrMissing) {
		return ReadHead{}
	}
	var w writeRow
	if err == nil {
		err = json.Unmarshal(row.Value, &w)
	}
	if err != nil {
		return c.readFailed()
	}
	a := c.audit
	a.Version, a.Hash, a.Base = w.Version, w.Hash, w.Version-1
	return Finish{Outcome: Accepted, Audit: a}
}

// readFailed returns the action after an inconclusive read. As long as the
// transaction was not sent, the commit ends as Refused.
func (c *Commit) readFailed() Action {
	if !c.sent {
		return Finish{Outcome: Refused}
	}
	c.reads++
	if c.reads >= maxReads {
		return Finish{Outcome: Undecided, Audit: c.audit}
	}
	return ReadWriteRow{ID: c.audit.Write, Wait: true}
}

// HeadRead takes the result of ReadHead. err is nil, ErrMissing or the error of
// a failed read.
func (c *Commit) HeadRead(row Row, err error) Action {
	if err != nil && !errors.Is(err, ErrMissing) {
		return c.readFailed()
	}
	var head Head
	if err == nil {
		if head, _, err = ParseHead(row.Value); err != nil {
			return c.readFailed()
		}
	}
	if head.Version != c.audit.Base {
		// Another edit was committed first. A transaction of this commit that is
		// still in flight can no longer take effect, since it is conditional on
		// the tag of the previous head.
		return ReadAudit{Version: c.audit.Base + 1}
	}
	if c.sent {
		return c.readFailed()
	}
	return c.transact(Condition{Key: HeadKey, Tag: row.Tag})
}

// transact returns the transaction that writes the head, audit and write rows,
// provided that cond holds for the head row and the other two do not exist.
func (c *Commit) transact(cond Condition) Action {
	headValue, err := json.Marshal(Head{
		Version: c.audit.Version, Hash: c.audit.Hash, Text: c.audit.Text, Write: c.audit.Write,
	})
	if err != nil {
		return Finish{Outcome: Refused}
	}
	auditValue, err := json.Marshal(c.audit)
	if err != nil || len(auditValue) > MaxValue {
		return Finish{Outcome: Refused}
	}
	writeValue, err := json.Marshal(writeRow{c.audit.Version, c.audit.Hash})
	if err != nil {
		return Finish{Outcome: Refused}
	}
	auditKey, writeKey := AuditKey(c.audit.Version), WriteKey(c.audit.Write)
	return Transact{Transaction{
		Conditions: []Condition{cond, {Key: auditKey}, {Key: writeKey}},
		Writes:     []Write{{HeadKey, headValue}, {auditKey, auditValue}, {writeKey, writeValue}},
	}}
}

// Transacted takes the error of the transaction.
func (c *Commit) Transacted(err error) Action {
	switch {
	case err == nil:
		return Finish{Outcome: Accepted, Audit: c.audit}
	case errors.Is(err, ErrUnavailable):
		return Finish{Outcome: Refused}
	default:
		// The write row is also read after a failed condition: a lower layer may
		// have delivered the request twice, so that the first delivery took
		// effect and made the second one fail.
		c.sent = true
		return ReadWriteRow{ID: c.audit.Write}
	}
}

// AuditRead takes the result of ReadAudit for the edit that was committed first.
// The outcome is a conflict even if the row could not be read.
func (c *Commit) AuditRead(row Row, err error) Action {
	var found Audit
	if err == nil && json.Unmarshal(row.Value, &found) == nil {
		return Finish{Outcome: Conflicted, Audit: found}
	}
	return Finish{Outcome: Conflicted}
}
