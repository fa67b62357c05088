package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"briarrock.example/briarrockd/peer"
	"briarrock.example/briarrockd/target"
	"briarrock.example/mesh/event"
	"briarrock.example/mesh/snapshot"
)

// Platform is what a platform's adapter brings along: translations at the
// node's edges. Fields that are nil leave the edge as it is.
type Platform struct {
	// Watch looks at the platform when it is this node's turn, until ctx ends.
	// The node then reads no versions by itself.
	Watch func(ctx context.Context, f *WatchHandle)
	// WrapCallers wraps the handler of callers' requests.
	WrapCallers func(http.Handler) http.Handler
	// WrapTargets wraps the connections to targets.
	WrapTargets func(http.RoundTripper) http.RoundTripper
	// AnswersRequest tells whether a target's answer is the one to a request.
	AnswersRequest func(req *http.Request, res *http.Response) bool
	// Announcements makes the handler of targets' announcements.
	Announcements func(*target.Targets) http.Handler
	// CallerName is the name of all callers at this node; empty if they name
	// themselves.
	CallerName string
	// SilenceTimeout is how long a target may be silent before it is taken for gone.
	SilenceTimeout time.Duration
	// LameDuck is how long a stopping node still serves its callers, until they
	// have been sent elsewhere; 0 for the usual time.
	LameDuck time.Duration
	// Bootstrap is set when the whole mesh starts for the first time.
	Bootstrap bool
	// LinkBytesPerSecond is the bandwidth of the host's link in bytes a second; 0 if unknown.
	LinkBytesPerSecond float64
	// MaxFiles is how many descriptors the process may have open; 0 if unknown.
	MaxFiles int
	// RetryBudget is how many retries all nodes together may have saved up.
	RetryBudget float64
}

// Version is one version of the configuration as the platform holds it.
type Version struct {
	Number   uint64
	Snapshot *snapshot.Snapshot
	// LogPosition is the position in the platform's record of changes up to which this
	// is the newest, At the time of the look.
	LogPosition uint64
	ReadAt      time.Time
}

// limits are the bounds for callers of the version in use.
func (n *Node) limits() snapshot.Limits {
	if t := n.proxy.Table(); t != nil {
		return t.Limits()
	}
	return snapshot.Limits{}
}

func (n *Node) panicked(v any, stack []byte) {
	n.log.Emit(event.Panicked, event.Fields{"panic": v, "stack": string(stack)})
}

// WatchHandle is a node's side of its watch of the platform.
type WatchHandle struct {
	tell func(peer.Msg)
	log  *event.Log

	mu      sync.Mutex
	turn    peer.Watch
	changed chan struct{} // closed when turn changes
}

func newFollow(tell func(peer.Msg), log *event.Log) *WatchHandle {
	return &WatchHandle{tell: tell, log: log, changed: make(chan struct{})}
}

// set takes the Core's decision.
func (f *WatchHandle) set(w peer.Watch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.turn = w
	close(f.changed)
	f.changed = make(chan struct{})
	f.log.Emit(event.WatchTurn, event.Fields{"on": w.On, "spare": w.Fallback, "seen": w.Cursor, "wait": w.Wait.Milliseconds()})
}

// WaitForTurn waits until this node is to look at the platform, and says how. It
// returns false when ctx ends.
func (f *WatchHandle) WaitForTurn(ctx context.Context) (peer.Watch, bool) {
	for {
		f.mu.Lock()
		turn, changed := f.turn, f.changed
		f.mu.Unlock()
		if ctx.Err() != nil {
			return turn, false
		}
		if turn.On {
			return turn, true
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// ReportVersion passes on a version that was found.
func (f *WatchHandle) ReportVersion(v Version) {
	b, err := snapshot.Encode(v.Snapshot)
	if err != nil {
		f.log.Emit(event.VersionRefused, event.Fields{event.Subject: "platform", "version": v.Number, "error": err.Error()})
		return
	}
	f.tell(peer.Committed{Version: v.Number, Hash: snapshot.Sum(b), Content: b, Cursor: v.LogPosition, At: v.ReadAt})
}

// ReportFailure says that a look had no answer.
func (f *WatchHandle) ReportFailure() { f.tell(peer.PollFailed{}) }

// ReportUnchanged says that a poll found nothing newer than what was told.
func (f *WatchHandle) ReportUnchanged(l peer.Polled) { f.tell(l) }
