package peer

import (
	"time"

	"briarrock.example/briarrockd/proof"
	"briarrock.example/mesh/event"
	"briarrock.example/mesh/snapshot"
)

// LinkID identifies a link within one node. IDs are not reused.
type LinkID uint64

// Msg is an event that a Core processes.
type Msg interface{ msg() }

// Tick is sent every TickInterval so that time-based work is done.
type Tick struct{}

// LinkUp reports that a link is open and that the peer's Hello has arrived.
type LinkUp struct {
	Link  LinkID
	Hello Hello
	// Addr is the address that was dialed; empty for an inbound link.
	Addr string
}

// LinkDown reports that a link has closed.
type LinkDown struct{ Link LinkID }

// DialFailed reports that no link to an address could be opened.
type DialFailed struct {
	Addr string
	// Refused is set if the connection was refused, which means that no process listens
	// there.
	Refused bool
}

// Received delivers a frame that arrived on a link.
type Received struct {
	Link  LinkID
	Frame Frame
}

// TargetsChanged carries the targets that this node currently serves.
type TargetsChanged struct{ Targets []Target }

// HeadRead is the result of ReadHead. Err is set if the platform did not answer or the
// row is malformed. Version is 0 and Err nil if there is no version yet.
type HeadRead struct {
	Version uint64
	Hash    snapshot.Hash
	Err     error
}

// ObjectRead is the result of ReadObject.
type ObjectRead struct {
	Hash    snapshot.Hash
	Content []byte
	Err     error
}

// ContactsRead is the result of ReadContacts.
type ContactsRead struct {
	Addrs []string
	// OwnDomain is how many of the addresses were published by this node's own domain;
	// 0 if it has published none.
	OwnDomain int
}

// PollFailed reports that a poll of the platform by this node failed.
type PollFailed struct{}

// Committed reports that the head names a version: either this node has committed it, or
// its poll has found it.
type Committed struct {
	Version uint64
	Hash    snapshot.Hash
	Content []byte
	// Cursor and At are those of the poll that found the version, as in Polled; 0 if
	// this node committed it.
	Cursor uint64
	At     time.Time
	// Sent is as in Polled.
	Sent time.Duration
}

// Polled reports that a poll by this node found nothing newer than what it has already
// reported.
type Polled struct {
	// Cursor is the position in the platform's change feed up to which the poll has
	// read.
	Cursor uint64
	// At is the time for which the result holds.
	At time.Time
	// RTT is the round-trip time to the platform; 0 if it could not be separated from
	// the time spent waiting for a change.
	RTT time.Duration
	// Sent is the reading of the boot clock before the poll was sent; 0 if unknown.
	Sent time.Duration
}

// Crashed reports that a request was in flight when a target of this node crashed. With
// Clear it reports that a suspected request has completed.
type Crashed struct {
	Print   uint64 // fingerprint of the request
	Service string
	ID      uint64 // identifies the crash; not used with Clear
	Clear   bool
}

// Leave reports that this node is shutting down, so that the Core notifies its peers.
type Leave struct{}

func (Tick) msg()           {}
func (LinkUp) msg()         {}
func (LinkDown) msg()       {}
func (DialFailed) msg()     {}
func (Received) msg()       {}
func (TargetsChanged) msg() {}
func (HeadRead) msg()       {}
func (ObjectRead) msg()     {}
func (ContactsRead) msg()   {}
func (PollFailed) msg()     {}
func (Committed) msg()      {}
func (Polled) msg()         {}
func (Crashed) msg()        {}
func (Leave) msg()          {}

// Cmd is a command that the Transport executes.
type Cmd interface{ cmd() }

// Dial opens a link to Addr. The result is LinkUp or DialFailed.
type Dial struct {
	Addr string
	// Hello is the first frame to send.
	Hello Hello
}

// SendHello sends this node's Hello on an inbound link.
type SendHello struct {
	Link  LinkID
	Hello Hello
}

// CloseLink closes a link. LinkDown follows.
type CloseLink struct{ Link LinkID }

// Send sends a frame on a link.
type Send struct {
	Link  LinkID
	Frame Frame
}

// ReadHead reads the head. The result is HeadRead.
type ReadHead struct{}

// Watch sets whether, and how, this node polls the platform from now on.
type Watch struct {
	On bool
	// Cursor is the position in the platform's change feed up to which this node has
	// all changes; 0 if unknown.
	Cursor uint64
	// Wait is how long one poll waits for a change; 0 for an immediate answer. If Paced is
	// set, it is the time from one poll to the next and includes the round trip.
	Wait  time.Duration
	Paced bool
	// Fallback is set if this node is a fallback node: it polls only because it has
	// received no poll notice for at least pollNoticeTimeout.
	Fallback bool
}

// ReadObject reads a snapshot from the platform. The result is ObjectRead.
type ReadObject struct{ Hash snapshot.Hash }

// ReadContacts reads the contact addresses that all domains have published in the
// platform's table. The result is ContactsRead.
type ReadContacts struct{}

// WriteContacts publishes contact addresses of this domain in the platform's table.
type WriteContacts struct{ Addrs []string }

// ServeVersion tells the node to serve a verified version from now on.
type ServeVersion struct {
	Version  uint64
	Hash     snapshot.Hash
	Snapshot *snapshot.Snapshot
}

// PublishMembers publishes the live members after a change. The slice is not modified
// afterwards.
type PublishMembers struct{ Members []Member }

// PublishProof publishes a newer proof of the version in use; see package proof.
type PublishProof struct{ Proof proof.Proof }

// HeldRequest is a request that was in flight when targets crashed, identified by its
// fingerprint. Requests with this fingerprint are held back once Crashes has reached
// HoldThreshold. Crashes is 0 if the request is no longer suspected.
type HeldRequest struct {
	Print   uint64 // fingerprint of the request
	Service string
	Crashes int
}

// Log writes one event to the log.
type Log struct {
	Event  event.Event
	Fields event.Fields
}

func (Dial) cmd()           {}
func (SendHello) cmd()      {}
func (CloseLink) cmd()      {}
func (Send) cmd()           {}
func (ReadHead) cmd()       {}
func (Watch) cmd()          {}
func (ReadObject) cmd()     {}
func (ReadContacts) cmd()   {}
func (WriteContacts) cmd()  {}
func (ServeVersion) cmd()   {}
func (PublishMembers) cmd() {}
func (PublishProof) cmd()   {}
func (HeldRequest) cmd()    {}
func (Log) cmd()            {}
