package peer

import (
	"time"

	"github.com/pkg/errors"

	"briarrock.example/mesh/codec"
	"briarrock.example/mesh/snapshot"
)

// Frame is one message between two nodes. On the wire it is one byte for its
// type and then CBOR (RFC 8949) with small integers for field names, so that
// fields can be added without breaking older nodes.
type Frame interface{ code() byte }

// Hello opens a link, in both directions. Floor and KnownIncarnation are what the sender
// remembers of the receiver from before: a host keeps nothing, so its peers
// are its memory.
type Hello struct {
	Member Member `cbor:"1,keyasint"`
	// KnownIncarnation is the highest incarnation of the receiver that the sender holds.
	KnownIncarnation uint64 `cbor:"2,keyasint,omitempty"`
	// Floor is the highest version that the sender saw the receiver use.
	Floor   uint64        `cbor:"3,keyasint,omitempty"`
	Version uint64        `cbor:"4,keyasint,omitempty"`
	Hash    snapshot.Hash `cbor:"5,keyasint"`
	// HeadAge is the age in milliseconds of the last read of the head, as far
	// as the sender has heard; 0 for never.
	HeadAge uint64 `cbor:"6,keyasint,omitempty"`
	// DomainFloor is the highest version that the receiver's domain is known to
	// have used.
	DomainFloor uint64 `cbor:"8,keyasint,omitempty"`
	// Lazy asks that this link carries news only as a reserve.
	Lazy bool `cbor:"7,keyasint,omitempty"`
	// Seen is the position in the platform's record of changes up to which the
	// sender's version is the newest; 0 if it doesn't know.
	Cursor uint64 `cbor:"9,keyasint,omitempty"`
	// RemoteFloor is the highest version that other domains are known to remember as one
	// that the sender's domain uses.
	RemoteFloor uint64 `cbor:"10,keyasint,omitempty"`
	// Members is how many live members the sender knows, itself included.
	Members int `cbor:"11,keyasint,omitempty"`
}

// Heartbeat is the heartbeat of a link. It carries just enough to notice that the
// two sides differ.
type Heartbeat struct {
	Root    uint64 `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint,omitempty"`
	HeadAge uint64 `cbor:"3,keyasint,omitempty"`
	Cursor  uint64 `cbor:"4,keyasint,omitempty"`
}

// PollNotice floods through the mesh: one poll of the platform, how long ago it was,
// and which version was the newest then. Host, Incarnation and Serial name it, so
// that each node passes it on once.
type PollNotice struct {
	Version     uint64 `cbor:"1,keyasint,omitempty"`
	Cursor      uint64 `cbor:"2,keyasint,omitempty"` // as in Hello
	HeadAge     uint64 `cbor:"3,keyasint"`           // milliseconds
	Host        string `cbor:"4,keyasint"`
	Incarnation uint64 `cbor:"5,keyasint"`
	Serial      uint64 `cbor:"6,keyasint"` // counts the notices of this incarnation
	// Started is set where a node says that it begins to poll; it has no answer yet.
	Started bool `cbor:"7,keyasint,omitempty"`
	// Region is that of the host, and Delay the milliseconds of its way to the
	// platform and back; 0 if it doesn't know.
	Region string `cbor:"8,keyasint,omitempty"`
	RTT    uint64 `cbor:"9,keyasint,omitempty"`
}

// DomainDigest is the digest of one domain's part of the table.
type DomainDigest struct {
	Name   string `cbor:"1,keyasint"`
	Digest uint64 `cbor:"2,keyasint"`
	Count  int    `cbor:"3,keyasint"`
}

// Digests is sent when the roots differ: which domains do?
type Digests struct {
	Domains []DomainDigest `cbor:"1,keyasint"`
}

// Entry is the rank of one member, without its record.
type Entry struct {
	Host        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Seq         uint64 `cbor:"3,keyasint,omitempty"`
	State       State  `cbor:"4,keyasint,omitempty"`
}

func (e Entry) rank() rank { return rank{e.Incarnation, e.Seq, e.State} }

// Listing lists what the sender holds of one domain that differs.
type Listing struct {
	Domain  string  `cbor:"1,keyasint"`
	Entries []Entry `cbor:"2,keyasint,omitempty"`
}

// RecordRequest asks for the records of some hosts.
type RecordRequest struct {
	Hosts []string `cbor:"1,keyasint"`
}

// Records carries members' records: news when they change, or a repair.
type Records struct {
	Members []Member `cbor:"1,keyasint"`
}

// VersionNotice says which version the sender holds.
type VersionNotice struct {
	Version uint64        `cbor:"1,keyasint"`
	Hash    snapshot.Hash `cbor:"2,keyasint"`
	// Out is set when another domain than the receiver's holds it too.
	HeldRemotely bool `cbor:"3,keyasint,omitempty"`
}

// VersionAck tells the sender of a pushed version that it has arrived.
type VersionAck struct {
	Version uint64 `cbor:"1,keyasint"`
}

// FloorNotice floods within a domain: other domains know that it uses a version.
type FloorNotice struct {
	Version uint64 `cbor:"1,keyasint"`
}

// Fetch asks for a version's content, and says which content the asker has to
// build on.
type Fetch struct {
	Version uint64        `cbor:"1,keyasint"`
	Hash    snapshot.Hash `cbor:"2,keyasint"`
	Base    snapshot.Hash `cbor:"3,keyasint"`
}

// Content answers a Fetch. Packed is compressed against Base, or by itself
// when Base is zero. An empty Packed says that the sender does not have it.
type Content struct {
	Version uint64        `cbor:"1,keyasint"`
	Hash    snapshot.Hash `cbor:"2,keyasint"`
	Base    snapshot.Hash `cbor:"3,keyasint"`
	Packed  []byte        `cbor:"4,keyasint,omitempty"`
	// HeldRemotely is as in VersionNotice. Push is set when the version was not asked for.
	HeldRemotely bool `cbor:"5,keyasint,omitempty"`
	Push         bool `cbor:"6,keyasint,omitempty"`
}

// VersionCount is how many nodes serve one version.
type VersionCount struct {
	Version uint64 `cbor:"1,keyasint" json:"version"`
	Nodes   int    `cbor:"2,keyasint" json:"nodes"`
}

// Report tells a parent of the tree what its child's subtree serves.
type Report struct {
	Counts   []VersionCount `cbor:"1,keyasint"`
	Laggards []string       `cbor:"2,keyasint,omitempty"`
}

// Summary tells other domains what a whole domain serves.
type Summary struct {
	Domain   string         `cbor:"1,keyasint"`
	Region   string         `cbor:"2,keyasint"`
	At       int64          `cbor:"3,keyasint"` // Unix milliseconds at the domain's root
	Members  int            `cbor:"4,keyasint"`
	Counts   []VersionCount `cbor:"5,keyasint"`
	Laggards []string       `cbor:"6,keyasint,omitempty"`
}

// CrashReport says that a request that crashes targets is held back everywhere.
type CrashReport struct {
	Print   uint64 `cbor:"1,keyasint"` // fingerprint of the request
	Service string `cbor:"2,keyasint"`
	Crashes int    `cbor:"3,keyasint"`
	// Clear takes the suspicion back: the request has run to its end.
	Clear bool `cbor:"4,keyasint,omitempty"`
	// ID tells two reports of the same print apart.
	ID uint64 `cbor:"5,keyasint"`
}

// The type codes on the wire. A code is never used again for another frame.
const (
	codeHello byte = iota + 1
	codeHeartbeat
	codeDigests
	codeListing
	codeRecordRequest
	codeRecords
	codeVersionNotice
	codeFetch
	codeContent
	codeReport
	codeSummary
	codeCrashReport
	codeFloorNotice
	codeVersionAck
	codePollNotice
)

func (Hello) code() byte         { return codeHello }
func (Heartbeat) code() byte     { return codeHeartbeat }
func (Digests) code() byte       { return codeDigests }
func (Listing) code() byte       { return codeListing }
func (RecordRequest) code() byte { return codeRecordRequest }
func (Records) code() byte       { return codeRecords }
func (VersionNotice) code() byte { return codeVersionNotice }
func (Fetch) code() byte         { return codeFetch }
func (Content) code() byte       { return codeContent }
func (Report) code() byte        { return codeReport }
func (Summary) code() byte       { return codeSummary }
func (CrashReport) code() byte   { return codeCrashReport }
func (FloorNotice) code() byte   { return codeFloorNotice }
func (VersionAck) code() byte    { return codeVersionAck }
func (PollNotice) code() byte    { return codePollNotice }

// Bounds of the lists in frames.
const (
	maxRecords        = 256
	maxEntries        = MaxMembers
	maxRequestedHosts = 1024
	maxDomains        = 256
	maxCounts         = 16
	maxLaggards       = 8
	// MaxFrame bounds one encoded frame: a packed snapshot and its envelope.
	MaxFrame = snapshot.MaxBytes + 4096
)

// ErrFrame says that bytes from a peer are no frame.
var ErrFrame = errors.New("peer: malformed frame")

// EncodeFrame returns the bytes of f.
func EncodeFrame(f Frame) ([]byte, error) {
	body, err := codec.Encode(f)
	if err != nil {
		return nil, errors.Wrap(err, "peer: encode")
	}
	return append([]byte{f.code()}, body...), nil
}

// DecodeFrame reads a frame and checks its bounds; its error is ErrFrame.
func DecodeFrame(b []byte) (Frame, error) {
	if len(b) == 0 || len(b) > MaxFrame {
		return nil, ErrFrame
	}
	switch b[0] {
	case codeHello:
		return decode(b[1:], func(f Hello) bool { return f.Member.valid() })
	case codeHeartbeat:
		return decode(b[1:], func(Heartbeat) bool { return true })
	case codeDigests:
		return decode(b[1:], func(f Digests) bool { return len(f.Domains) <= maxDomains })
	case codeListing:
		return decode(b[1:], func(f Listing) bool { return len(f.Domain) <= maxNameSize })
	case codeRecordRequest:
		return decode(b[1:], func(f RecordRequest) bool { return len(f.Hosts) <= maxRequestedHosts })
	case codeRecords:
		return decode(b[1:], Records.valid)
	case codeVersionNotice:
		return decode(b[1:], func(VersionNotice) bool { return true })
	case codeFetch:
		return decode(b[1:], func(Fetch) bool { return true })
	case codeContent:
		return decode(b[1:], func(f Content) bool { return len(f.Packed) <= snapshot.MaxBytes })
	case codeReport:
		return decode(b[1:], func(f Report) bool { return boundedCounts(f.Counts, f.Laggards) })
	case codeSummary:
		return decode(b[1:], func(f Summary) bool {
			return boundedCounts(f.Counts, f.Laggards) && len(f.Domain) <= maxNameSize && len(f.Region) <= maxNameSize
		})
	case codeCrashReport:
		return decode(b[1:], func(f CrashReport) bool { return len(f.Service) <= maxNameSize })
	case codeVersionAck:
		return decode(b[1:], func(VersionAck) bool { return true })
	case codePollNotice:
		return decode(b[1:], func(f PollNotice) bool { return f.Host != "" && len(f.Host) <= maxNameSize })
	case codeFloorNotice:
		return decode(b[1:], func(FloorNotice) bool { return true })
	default:
		return nil, ErrFrame
	}
}

func decode[F Frame](b []byte, valid func(F) bool) (Frame, error) {
	var f F
	if err := codec.Decode(b, &f); err != nil || !valid(f) {
		return nil, ErrFrame
	}
	return f, nil
}

func (r Records) valid() bool {
	if len(r.Members) > maxRecords {
		return false
	}
	for i := range r.Members {
		if !r.Members[i].valid() {
			return false
		}
	}
	return true
}

func boundedCounts(counts []VersionCount, laggard []string) bool {
	return len(counts) <= maxCounts && len(laggard) <= maxLaggards
}

// age is a time as milliseconds before now, at least 1; 0 for never.
func age(now, t time.Time) uint64 {
	if t.IsZero() {
		return 0
	}
	return uint64(max(now.Sub(t).Milliseconds(), 1))
}
