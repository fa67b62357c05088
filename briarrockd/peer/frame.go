package peer

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"briarrock.example/briarrockd/proof"
	"briarrock.example/mesh/codec"
	"briarrock.example/mesh/snapshot"
)

// Frame is one message between two nodes. On the wire it is one byte for its type
// followed by CBOR (RFC 8949) with small integers as field keys, so that fields can be
// added without breaking older nodes.
type Frame interface{ code() byte }

// Hello opens a link and is sent in both directions. Floor and KnownIncarnation are what
// the sender has recorded of the receiver, possibly before the receiver restarted: a
// host stores no state on disk and restores it from its peers.
type Hello struct {
	Member Member `cbor:"1,keyasint"`
	// KnownIncarnation is the highest incarnation of the receiver that the sender holds.
	KnownIncarnation uint64 `cbor:"2,keyasint,omitempty"`
	// Floor is the highest version that the sender has recorded as used by the receiver.
	Floor   uint64        `cbor:"3,keyasint,omitempty"`
	Version uint64        `cbor:"4,keyasint,omitempty"`
	Hash    snapshot.Hash `cbor:"5,keyasint"`
	// HeadAge is the age in milliseconds of the last read of the head known to the
	// sender; 0 for never.
	HeadAge uint64 `cbor:"6,keyasint,omitempty"`
	// DomainFloor is the highest version that the sender has recorded as used by the
	// receiver's domain.
	DomainFloor uint64 `cbor:"8,keyasint,omitempty"`
	// Lazy marks this link as a backup: versions are announced on it only after a
	// delay, and changed records, summaries and poll notices are not flooded on it.
	Lazy bool `cbor:"7,keyasint,omitempty"`
	// Cursor is the position in the platform's change feed up to which the sender's
	// version is the newest; 0 if unknown.
	Cursor uint64 `cbor:"9,keyasint,omitempty"`
	// RemoteFloor is the highest version that other domains are known to have recorded
	// as used by the sender's domain.
	RemoteFloor uint64 `cbor:"10,keyasint,omitempty"`
	// Members is the number of live members known to the sender, itself included.
	Members int `cbor:"11,keyasint,omitempty"`
	// Proofs is set if the sender takes Proof frames. Other nodes close the link on
	// one, since they can't decode it.
	Proofs bool `cbor:"14,keyasint,omitempty"`
	// Rollouts is set if the sender takes Rollout frames, for the same reason.
	Rollouts bool `cbor:"15,keyasint,omitempty"`
}

// Heartbeat is sent periodically over each link. It carries just enough for the
// receiver to detect that the two sides differ.
type Heartbeat struct {
	Root    uint64 `cbor:"1,keyasint"` // digest of the sender's member table
	Version uint64 `cbor:"2,keyasint,omitempty"`
	HeadAge uint64 `cbor:"3,keyasint,omitempty"` // as in Hello
	Cursor  uint64 `cbor:"4,keyasint,omitempty"` // as in Hello
}

// PollNotice is flooded through the mesh to announce one poll of the platform: how long
// ago it was, and which version was the newest then. Host, Incarnation and Serial
// identify it, so that each node forwards it once.
type PollNotice struct {
	Version     uint64 `cbor:"1,keyasint,omitempty"`
	Cursor      uint64 `cbor:"2,keyasint,omitempty"` // as in Hello
	HeadAge     uint64 `cbor:"3,keyasint"`           // milliseconds
	Host        string `cbor:"4,keyasint"`
	Incarnation uint64 `cbor:"5,keyasint"`
	Serial      uint64 `cbor:"6,keyasint"` // counts the notices of this incarnation
	// Started is set when the host begins to poll and has no answer yet.
	Started bool `cbor:"7,keyasint,omitempty"`
	// Region is the host's region, and RTT its round-trip time to the platform in
	// milliseconds; 0 if unknown.
	Region string `cbor:"8,keyasint,omitempty"`
	RTT    uint64 `cbor:"9,keyasint,omitempty"`
}

// DomainDigest is the digest of one domain's part of the member table.
type DomainDigest struct {
	Name   string `cbor:"1,keyasint"`
	Digest uint64 `cbor:"2,keyasint"`
	Count  int    `cbor:"3,keyasint"` // number of live members
}

// Digests is sent when the table digests in heartbeats differ, to find the domains
// whose records differ.
type Digests struct {
	Domains []DomainDigest `cbor:"1,keyasint"`
}

// Entry identifies the revision of one member's record, without the record itself.
type Entry struct {
	Host        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Seq         uint64 `cbor:"3,keyasint,omitempty"`
	State       State  `cbor:"4,keyasint,omitempty"`
}

func (e Entry) rank() rank { return rank{e.Incarnation, e.Seq, e.State} }

// Listing lists the revisions that the sender holds of one domain whose digest differs.
type Listing struct {
	Domain  string  `cbor:"1,keyasint"`
	Entries []Entry `cbor:"2,keyasint,omitempty"`
}

// RecordRequest requests the records of some hosts.
type RecordRequest struct {
	Hosts []string `cbor:"1,keyasint"`
}

// Records carries members' records, when they change or in answer to a RecordRequest.
type Records struct {
	Members []Member `cbor:"1,keyasint"`
}

// VersionNotice announces the version that the sender holds.
type VersionNotice struct {
	Version uint64        `cbor:"1,keyasint"`
	Hash    snapshot.Hash `cbor:"2,keyasint"`
	// HeldRemotely is set when a domain other than the receiver's holds it too.
	HeldRemotely bool `cbor:"3,keyasint,omitempty"`
}

// VersionAck acknowledges a received version to the peer that sent it.
type VersionAck struct {
	Version uint64 `cbor:"1,keyasint"`
}

// FloorNotice is flooded within a domain to announce that other domains have recorded
// that this domain uses a version.
type FloorNotice struct {
	Version uint64 `cbor:"1,keyasint"`
}

// Fetch requests the content of a version. Base is the content that the sender holds
// and can apply a delta to; zero requests the full snapshot.
type Fetch struct {
	Version uint64        `cbor:"1,keyasint"`
	Hash    snapshot.Hash `cbor:"2,keyasint"`
	Base    snapshot.Hash `cbor:"3,keyasint"`
}

// Content answers a Fetch, or pushes a version. Packed is a delta against Base, or the
// compressed full snapshot if Base is zero. Packed is empty if the sender doesn't hold
// the version.
type Content struct {
	Version uint64        `cbor:"1,keyasint"`
	Hash    snapshot.Hash `cbor:"2,keyasint"`
	Base    snapshot.Hash `cbor:"3,keyasint"`
	Packed  []byte        `cbor:"4,keyasint,omitempty"`
	// HeldRemotely is as in VersionNotice. Push is set when no Fetch was sent for the
	// version.
	HeldRemotely bool `cbor:"5,keyasint,omitempty"`
	Push         bool `cbor:"6,keyasint,omitempty"`
}

// VersionCount is the number of nodes that serve one version.
type VersionCount struct {
	Version uint64 `cbor:"1,keyasint" json:"version"`
	Nodes   int    `cbor:"2,keyasint" json:"nodes"`
}

// Report is sent by a node to its parent in the tree: which versions the nodes of its
// subtree serve.
type Report struct {
	Counts   []VersionCount `cbor:"1,keyasint"`
	Laggards []string       `cbor:"2,keyasint,omitempty"` // some hosts with an older version
}

// Summary is sent to other domains: which versions the nodes of one domain serve.
type Summary struct {
	Domain   string         `cbor:"1,keyasint"`
	Region   string         `cbor:"2,keyasint"`
	At       int64          `cbor:"3,keyasint"` // Unix milliseconds at the domain's root
	Members  int            `cbor:"4,keyasint"`
	Counts   []VersionCount `cbor:"5,keyasint"`
	Laggards []string       `cbor:"6,keyasint,omitempty"`
}

// CrashReport is flooded to all nodes after a target crashed with a request in flight.
// A request that was in flight at HoldThreshold crashes is held back on all nodes.
type CrashReport struct {
	Print   uint64 `cbor:"1,keyasint"` // fingerprint of the request
	Service string `cbor:"2,keyasint"`
	Crashes int    `cbor:"3,keyasint"` // always 1; receivers count the IDs
	// Clear clears the request of the crash with this ID: it has completed elsewhere.
	Clear bool `cbor:"4,keyasint,omitempty"`
	// ID identifies the crash. All reports of one crash have the same ID, also those of
	// other requests.
	ID uint64 `cbor:"5,keyasint"`
}

// Proof states that no version newer than its own had been accepted at some time, with
// what bounds the time for which the frame is under way.
type Proof proof.Frame

// The type codes on the wire. A code is never reused for another frame.
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

// codeProof is the code of Proof.
const codeProof byte = 19

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
func (Proof) code() byte         { return codeProof }

// Bounds of the lists in frames, in elements, and of an encoded frame.
const (
	maxRecords        = 256
	maxEntries        = MaxMembers
	maxRequestedHosts = 1024
	maxDomains        = 256
	maxCounts         = 16
	maxLaggards       = 8
	// MaxFrame bounds one encoded frame in bytes: a packed snapshot and its envelope.
	MaxFrame = snapshot.MaxBytes + 4096
)

// ErrFrame is returned for bytes from a peer that are not a valid frame.
var ErrFrame = errors.New("peer: malformed frame")

// EncodeFrame returns the bytes of f.
func EncodeFrame(f Frame) ([]byte, error) {
	body, err := codec.Encode(f)
	if err != nil {
		return nil, errors.Wrap(err, "peer: encode frame")
	}
	return append([]byte{f.code()}, body...), nil
}

// DecodeFrame decodes a frame and checks its bounds. Its only error is ErrFrame.
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
		return decode(b[1:], func(f Digests) bool {
			return len(f.Domains) <= maxDomains && !slices.ContainsFunc(f.Domains, func(d DomainDigest) bool { return len(d.Name) > maxNameSize })
		})
	case codeListing:
		return decode(b[1:], func(f Listing) bool {
			return len(f.Domain) <= maxNameSize && len(f.Entries) <= maxEntries && !slices.ContainsFunc(f.Entries, func(e Entry) bool { return len(e.Host) > maxNameSize })
		})
	case codeRecordRequest:
		return decode(b[1:], func(f RecordRequest) bool { return len(f.Hosts) <= maxRequestedHosts && boundedNames(f.Hosts) })
	case codeRecords:
		return decodeList(b[1:], maxRecords, func(m *Member) bool { return m.valid() }, func(_ rawRecords, m []Member) Records { return Records{m} })
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
		return decode(b[1:], func(f PollNotice) bool { return f.Host != "" && max(len(f.Host), len(f.Region)) <= maxNameSize })
	case codeProof:
		return decode(b[1:], func(Proof) bool { return true })
	case codeSums:
		return decode(b[1:], func(f Sums) bool { return validCounters(f.Counters) && len(f.Domain) <= maxNameSize })
	case codeTotals:
		return decode(b[1:], func(f Totals) bool { return validCounters(f.Counters) })
	case codeRollout:
		return decodeList(b[1:], maxRollouts, (*RolloutState).valid, rawRollout.frame)
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

// rawRecords is Records with elements that are not decoded.
type rawRecords struct {
	Members []codec.Raw `cbor:"1,keyasint"`
}

func (f rawRecords) elements() []codec.Raw { return f.Members }

// decodeList decodes a frame with a list of at most limit elements. Elements that can't be decoded
// or are not valid are left out: the others are about other hosts or services.
func decodeList[R interface{ elements() []codec.Raw }, E any, F Frame](b []byte, limit int, valid func(*E) bool, frame func(R, []E) F) (Frame, error) {
	var raw R
	if err := codec.Decode(b, &raw); err != nil || len(raw.elements()) > limit {
		return nil, ErrFrame
	}
	var list []E
	for _, x := range raw.elements() {
		var e E
		if codec.Decode(x, &e) == nil && valid(&e) {
			list = append(list, e)
		}
	}
	return frame(raw, list), nil
}

func boundedCounts(counts []VersionCount, laggards []string) bool {
	return len(counts) <= maxCounts && len(laggards) <= maxLaggards && boundedNames(laggards)
}

func boundedNames(names []string) bool {
	return !slices.ContainsFunc(names, func(s string) bool { return len(s) > maxNameSize })
}

// age converts a time to its age in milliseconds at now, at least 1. The zero time,
// which stands for never, gives 0.
func age(now, t time.Time) uint64 {
	if t.IsZero() {
		return 0
	}
	return uint64(max(now.Sub(t).Milliseconds(), 1))
}
