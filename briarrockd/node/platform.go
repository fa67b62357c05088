package node

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"briarrock.example/briarrockd/http1"
	"briarrock.example/briarrockd/peer"
	"briarrock.example/briarrockd/target"
	"briarrock.example/mesh/event"
	"briarrock.example/mesh/snapshot"
)

// Platform adapts a node to a platform: it translates between the node's protocols
// and those of the platform. Unset fields leave the node's behaviour as it is.
type Platform struct {
	// Watch polls the platform while it is this node's turn, until ctx ends. If
	// it is set, the node reads no versions itself.
	Watch func(ctx context.Context, h *WatchHandle)
	// WriteRollouts writes the status of roll-outs to the platform, until ctx ends.
	WriteRollouts func(ctx context.Context, h *WatchHandle)
	// WrapCallers wraps the handler of callers' requests.
	WrapCallers func(http.Handler) http.Handler
	// WrapTargets wraps the transport to targets.
	WrapTargets func(http.RoundTripper) http.RoundTripper
	// ResponseMatches reports whether a target's response answers the request.
	ResponseMatches http1.ResponseMatcher
	// Announcements makes the handler of targets' announcements.
	Announcements func(*target.Targets) http.Handler
	// CallerName returns the current name of all callers at this node. It is called
	// once for each request. Nil if callers name themselves.
	CallerName func() string
	// AnnouncementTimeout is the time without an announcement after which a target
	// counts as gone; 0 for the default.
	AnnouncementTimeout time.Duration
	// LameDuck is how long a stopping node still serves its callers, until the
	// platform sends them to other nodes. The node uses at least lameDuckTime.
	LameDuck time.Duration
	// Bootstrap is set when the whole mesh starts for the first time.
	Bootstrap bool
	// LinkBytesPerSecond is the bandwidth of the host's link; 0 if unknown.
	LinkBytesPerSecond float64
	// MaxFiles is the maximum number of open file descriptors of the process; 0
	// if unknown.
	MaxFiles int
	// RetryBudget is how many unused retries all nodes together may save up; 0
	// for the default.
	RetryBudget float64
	// Strict is set if no request may run with a key that was taken away Revoke
	// ago or earlier, also while the node can't reach the platform.
	Strict bool
	Revoke time.Duration
	// AllowanceBounds bounds how far the requests of a workspace may exceed its allowance.
	AllowanceBounds AllowanceBounds
	// Rollout bounds what a bad version of a service may get while it is rolled
	// out.
	Rollout Rollout
}

// AllowanceBounds bounds the requests of a workspace in any Window, over all nodes together,
// by (rate × Window + burst) × (1 + Overshoot) + Slack.
type AllowanceBounds struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// Rollout bounds the requests to a bad version of a service over all nodes: at most
// Share of the service's requests, in addition to Slack requests, and none later than
// Rollback after its 50th bad response. A Share of 0 means that there are no roll-outs.
type Rollout struct {
	Share    float64
	Slack    int
	Rollback time.Duration
}

// Version is one version of the configuration as the platform holds it.
type Version struct {
	Number   uint64
	Snapshot *snapshot.Snapshot
	// LogPosition is the position in the platform's change log up to which this
	// is the newest version. ReadAt is the time of the read.
	LogPosition uint64
	ReadAt      time.Time
	// Sent is the reading of WatchHandle.BootTime before the read was sent.
	Sent time.Duration
}

// limits returns the limits for callers in the version in use.
func (n *Node) limits() snapshot.Limits {
	if t := n.proxy.Table(); t != nil {
		return t.Limits()
	}
	return snapshot.Limits{}
}

func (n *Node) logPanic(v any, stack []byte) {
	n.log.Emit(event.Panicked, event.Fields{"panic": v, "stack": string(stack)})
}

// maxReasonBytes is the length to which the reason of a rejection, which may quote what the
// client sent, is truncated in the log.
const maxReasonBytes = 200

// logMalformed counts and logs a request that a listener has rejected before any handler.
func (n *Node) logMalformed(listener, remote string, status int, reason string) {
	n.metrics.GetOrCreateCounter(`briarrock_malformed_total{listener="` + listener + `",status="` + strconv.Itoa(status) + `"}`).Inc()
	n.log.Emit(event.RequestMalformed, event.Fields{
		event.Subject: listener, "remote": remote, "status": status, "reason": reason[:min(len(reason), maxReasonBytes)],
	})
}

// WatchHandle connects Platform.Watch with the node: the watch gets its turns from
// it and reports results through it.
type WatchHandle struct {
	node     *Node
	send     func(peer.Msg)
	bootTime func() time.Duration
	log      *event.Log

	mu      sync.Mutex
	turn    peer.Watch
	changed chan struct{} // closed when turn changes
}

func newWatchHandle(n *Node, send func(peer.Msg), bootTime func() time.Duration, log *event.Log) *WatchHandle {
	return &WatchHandle{node: n, send: send, bootTime: bootTime, log: log, changed: make(chan struct{})}
}

// setTurn sets whether and how this node polls the platform, as the Core decided.
func (h *WatchHandle) setTurn(w peer.Watch) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.turn = w
	close(h.changed)
	h.changed = make(chan struct{})
	h.log.Emit(event.WatchAssigned, event.Fields{"on": w.On, "spare": w.Fallback, "seen": w.Cursor, "wait": w.Wait.Milliseconds()})
}

// WaitForTurn blocks until this node is to poll the platform, and returns the
// parameters of the poll. It returns false when ctx ends.
func (h *WatchHandle) WaitForTurn(ctx context.Context) (peer.Watch, bool) {
	for {
		h.mu.Lock()
		turn, changed := h.turn, h.changed
		h.mu.Unlock()
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

// ReportVersion sends a version that a poll found to the Core. It returns false if the
// version can't be encoded.
func (h *WatchHandle) ReportVersion(v Version) bool {
	b, err := snapshot.Encode(v.Snapshot)
	if err != nil {
		h.log.Emit(event.VersionRefused, event.Fields{event.Subject: "platform", "version": v.Number, "error": err.Error()})
		return false
	}
	h.send(peer.Committed{Version: v.Number, Hash: snapshot.Sum(b), Content: b, Cursor: v.LogPosition, At: v.ReadAt, Sent: v.Sent})
	return true
}

// BootTime reads the clock that Version.Sent and peer.Polled.Sent refer to. It also
// advances while the host is suspended.
func (h *WatchHandle) BootTime() time.Duration { return h.bootTime() }

// ReportFailure reports a poll that got no answer.
func (h *WatchHandle) ReportFailure() { h.send(peer.PollFailed{}) }

// ReportUnchanged reports a poll that found no version newer than the last reported
// one.
func (h *WatchHandle) ReportUnchanged(p peer.Polled) { h.send(p) }
