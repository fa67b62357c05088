package node

import (
	"context"
	"sync"
	"time"

	"briarrock.example/briarrockd/peer"
	"briarrock.example/mesh/event"
	"briarrock.example/mesh/platform"
)

// lame is how long a leaving node still takes calls from its own callers and
// passes them on, while the others learn that it leaves.
const lame = time.Second

// handOver is the last part of that time, in which the host's targets take no
// more new work.
const handOver = 500 * time.Millisecond

// Stop ends the node gracefully, until ctx ends.
//
// Callers are told first, by readiness and with each answer, and are served
// until they have had the time to go elsewhere. The host's targets go on taking
// calls meanwhile: they are well, and in a service with few targets a node that
// restarts would otherwise take a large part of the room away for seconds. They
// take no new work shortly before the end, so that what runs there, and the
// calls that it makes through this node, still come to their end.
func (n *Node) Stop(ctx context.Context) {
	n.log.Emit(event.Stopping, nil)
	n.leaving.Store(true)
	for _, s := range n.servers {
		s.Drain()
	}
	platform.Pause(ctx, max(lame, n.platform.LameDuck)-handOver)
	n.targets.Drain()
	n.peers.Post(peer.Leave{})
	platform.Pause(ctx, handOver)
	if end, ok := ctx.Deadline(); ok {
		n.proxy.SetShutdownTime(end)
	}
	n.awaitRuns(ctx)
	n.proxy.Drain()
	n.shutdown(ctx)
	n.log.Emit(event.Stopped, nil)
}

// shutdown lets what is under way end, and then ends the node. What is not over
// shortly after ctx is left behind: a call that must not be broken off may have all
// of its deadline left, and a process that waited for it would be killed.
func (n *Node) shutdown(ctx context.Context) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		var wg sync.WaitGroup
		for _, s := range n.servers {
			wg.Go(func() { s.Shutdown(ctx) })
		}
		wg.Wait()
		n.end()
	}()
	select {
	case <-ended:
		return
	case <-ctx.Done():
	}
	select {
	case <-ended:
	case <-time.After(endMargin):
	}
}

// endMargin is how long after the time to stop a node's parts may take to end.
const endMargin = 200 * time.Millisecond

// How long a stopping node waits for the calls that run at its targets: they may
// make calls of their own, which come to this node.
const (
	lookForRuns = 20 * time.Millisecond
	awaitRuns   = time.Second
)

func (n *Node) awaitRuns(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, awaitRuns)
	defer cancel()
	for ctx.Err() == nil && n.targets.Running() > 0 {
		platform.Pause(ctx, lookForRuns)
	}
}

// Kill ends the node at once, as a crash would: for tests.
func (n *Node) Kill() {
	n.leaving.Store(true)
	n.end()
}

func (n *Node) end() { n.once.Do(n.endOnce) }

func (n *Node) endOnce() {
	n.cancel()
	for _, s := range n.servers {
		s.Close()
	}
	n.operators.Close()
	n.claims.Close()
	n.targets.Close()
	n.peers.Close()
	n.transport.CloseIdleConnections()
	n.closeListeners()
	n.wg.Wait()
}
