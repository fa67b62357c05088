package peer

import (
	"time"

	"briarrock.example/mesh/event"
	"briarrock.example/mesh/snapshot"
)

// LinkID names a link within one node; it is never used twice.
type LinkID uint64

// Msg is something that happened to this node.
type Msg interface{ msg() }

// Tick says that time has passed. It comes every TickInterval.
type Tick struct{}

// LinkUp says that a link is open and its peer has said hello.
type LinkUp struct {
	Link  LinkID
	Hello Hello
	// Addr is the address that was dialed; empty for a link that the peer
	// opened.
	Addr string
}

// LinkDown says that a link is gone.
type LinkDown struct{ Link LinkID }

// DialFailed says that an address could not be linked to.
type DialFailed struct {
	Addr string
	// Refused is set when something answered that nobody listens there.
	Refused bool
}

// Received is a frame that came over a link.
type Received struct {
	Link  LinkID
	Frame Frame
}

// TargetsChanged says what this node's own targets are now.
type TargetsChanged struct{ Targets []Target }

// HeadRead is the answer to ReadHead. Err is set when the platform did not
// answer; a Version of 0 without Err says that there is no version yet.
type HeadRead struct {
	Version uint64
	Hash    snapshot.Hash
	Err     error
}

// ObjectRead is the answer to ReadObject.
type ObjectRead struct {
	Hash    snapshot.Hash
	Content []byte
	Err     error
}

// ContactsRead is the answer to ReadContacts.
type ContactsRead struct {
	Addrs []string
	// OwnDomain is how many of them this node's own domain has left; 0 if it has left
	// none yet.
	OwnDomain int
}

// PollFailed says that this node's own poll of the platform had no answer.
type PollFailed struct{}

// Committed says that a version is in the head: this node has put it there, or
// its watch has seen it.
type Committed struct {
	Version uint64
	Hash    snapshot.Hash
	Content []byte
	// Seen and At are those of the poll that found it, as in Polled; 0 if this
	// node has put it there.
	Cursor uint64
	At     time.Time
}

// Polled says that this node's watch has found nothing newer than it has told.
type Polled struct {
	// Seen is the position in the platform's record of changes up to which
	// there was nothing else.
	Cursor uint64
	// At is the time for which that holds.
	At time.Time
	// Delay is the way to the platform and back; 0 where it could not be told from
	// the wait for a change.
	RTT time.Duration
}

// Crashed says that a request was in flight when a target of this node
// crashed, or, with Clear, that a suspected one has run to its end.
type Crashed struct {
	Print   uint64
	Service string
	Clear   bool
}

// Leave says that this node is going: it must tell its peers.
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

// Cmd is something for the shell to do.
type Cmd interface{ cmd() }

// Dial asks for a link to Addr; the answer is LinkUp or DialFailed.
type Dial struct {
	Addr string
	// Hello is what to open the link with.
	Hello Hello
}

// SendHello sends this node's hello on a link that its peer opened.
type SendHello struct {
	Link  LinkID
	Hello Hello
}

// CloseLink asks to close a link. LinkDown follows.
type CloseLink struct{ Link LinkID }

// Send puts a frame on a link.
type Send struct {
	Link  LinkID
	Frame Frame
}

// ReadHead asks for the head row; the answer is HeadRead.
type ReadHead struct{}

// Watch says whether this node is to poll the platform from now on, and how.
type Watch struct {
	On bool
	// Seen is the position in the platform's record of changes up to which this
	// node holds everything; 0 if it doesn't know.
	Cursor uint64
	// Wait is how long one poll waits for a change; 0 for an answer at once.
	Wait time.Duration
	// Spare is set where this node polls only since nobody else seems to.
	Fallback bool
}

// ReadObject asks the platform for a snapshot; the answer is ObjectRead.
type ReadObject struct{ Hash snapshot.Hash }

// ReadContacts asks for the addresses that domains have left in the table; the
// answer is ContactsRead.
type ReadContacts struct{}

// WriteContacts asks to leave some addresses of this domain in the table.
type WriteContacts struct{ Addrs []string }

// Use says that a version is whole and verified: serve it from now on.
type ServeVersion struct {
	Version  uint64
	Hash     snapshot.Hash
	Snapshot *snapshot.Snapshot
}

// Publish says that the members changed. The slice is never changed again.
type PublishMembers struct{ Members []Member }

// Held says what to hold back: requests with this print crash targets.
type HeldRequest struct {
	Print   uint64
	Service string
	Crashes int
}

// Log asks to write one event.
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
func (HeldRequest) cmd()    {}
func (Log) cmd()            {}
