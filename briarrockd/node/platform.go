package node

import (
	"context"
	"net/http"
	"time"

	"briarrock.example/briarrockd/peer"
	"briarrock.example/briarrockd/target"
	"briarrock.example/mesh/event"
	"briarrock.example/mesh/snapshot"
)

// Platform is what a platform's adapter brings along: translations at the
// node's edges. Fields that are nil leave the edge as it is.
type Platform struct {
	// Watch tells of each version that the platform holds, until ctx ends. The
	// node then reads no versions by itself.
	Watch func(ctx context.Context, tell func(Version))
	// Callers wraps the handler of callers' requests.
	Callers func(http.Handler) http.Handler
	// Targets wraps the connections to targets.
	Targets func(http.RoundTripper) http.RoundTripper
	// Belongs tells whether a target's answer is the one to a request.
	Belongs func(req *http.Request, res *http.Response) bool
	// Announcements makes the handler of targets' announcements.
	Announcements func(*target.Targets) http.Handler
	// Caller is the name of all callers at this node; empty if they name
	// themselves.
	Caller string
	// Silent is how long a target may be silent before it is taken for gone.
	Silent time.Duration
	// Lame is how long a stopping node still serves its callers, until they
	// have been sent elsewhere; 0 for the usual time.
	Lame time.Duration
	// Retries is how many retries all nodes together may have saved up.
	Retries float64
}

// Version is one version of the configuration as the platform holds it.
type Version struct {
	Number   uint64
	Snapshot *snapshot.Snapshot
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

// offer takes a version from the platform's watch.
func (n *Node) offer(v Version) {
	b, err := snapshot.Encode(v.Snapshot)
	if err != nil {
		n.log.Emit(event.VersionRefused, event.Fields{event.Subject: "platform", "version": v.Number, "error": err.Error()})
		return
	}
	n.tell(peer.Committed{Version: v.Number, Hash: snapshot.Sum(b), Content: b})
}
