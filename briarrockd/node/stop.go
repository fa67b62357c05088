package node

import (
	"context"
	"sync"
	"time"

	"briarrock.example/briarrockd/peer"
	"briarrock.example/mesh/event"
	"briarrock.example/mesh/platform"
)

// lameDuckTime is how long a stopping node still accepts calls from its own callers
// and forwards them, until the other nodes have received the notice that it leaves.
const lameDuckTime = time.Second

// targetDrainTime is the last part of the lame-duck period, in which this host's
// targets accept no new calls.
const targetDrainTime = 500 * time.Millisecond

// Stop shuts the node down gracefully, until ctx ends.
//
// First it signals its callers, by its readiness and in each response, and serves
// them until they have had time to change to other nodes. This host's targets
// accept calls during that time: they are healthy, and in a service with few
// targets a restart of their node would otherwise remove a large part of the
// capacity for seconds. Shortly before the end the targets stop accepting new calls.
// The calls that run there can then finish, and so can the calls that they make
// through this node.
func (n *Node) Stop(ctx context.Context) {
	n.log.Emit(event.Stopping, nil)
	n.stopping.Store(true)
	for _, s := range n.servers {
		s.Drain()
	}
	lameDuckEnd := n.lameDuckEnd(ctx)
	platform.Pause(ctx, time.Until(lameDuckEnd)-targetDrainTime)
	n.targets.Drain()
	n.peers.Post(peer.Leave{})
	left := time.Now()
	platform.Pause(ctx, time.Until(lameDuckEnd))
	if deadline, ok := ctx.Deadline(); ok {
		n.proxy.SetShutdownTime(deadline)
	}
	platform.Pause(ctx, time.Until(left.Add(targetDrainTime)))
	n.waitForRuns(ctx)
	n.proxy.Drain()
	n.shutdown(ctx)
	n.log.Emit(event.Stopped, nil)
}

// lameDuckEnd returns the end of the lame-duck period. A stop that begins late has less than
// DrainTimeout until ctx ends. Its period is shorter by as much, since the calls in flight need
// the rest of the time.
func (n *Node) lameDuckEnd(ctx context.Context) time.Time {
	lameDuck := max(lameDuckTime, n.platform.LameDuck)
	end := time.Now().Add(lameDuck)
	if deadline, ok := ctx.Deadline(); ok {
		latest := deadline.Add(min(lameDuck-n.cfg.DrainTimeout, 0))
		if latest.Before(end) {
			return latest
		}
	}
	return end
}

// shutdown waits for the requests in flight and closes the node. It abandons what is
// still in flight closeMargin after ctx ends. A call that must not be interrupted can
// have all of its deadline left, and a process that waited for it would be killed.
func (n *Node) shutdown(ctx context.Context) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		var wg sync.WaitGroup
		for _, s := range n.servers {
			wg.Go(func() { s.Shutdown(ctx) })
		}
		wg.Wait()
		n.close()
	}()
	select {
	case <-closed:
		return
	case <-ctx.Done():
	}
	select {
	case <-closed:
	case <-time.After(closeMargin):
	}
}

// closeMargin is how long the node's parts may take to close after the shutdown's
// context has ended.
const closeMargin = 200 * time.Millisecond

// runsPollInterval is the interval at which a stopping node counts the calls that run at
// its targets.
const runsPollInterval = 20 * time.Millisecond

// waitForRuns waits for the calls that run at this host's targets, because they can make
// calls of their own through this node.
func (n *Node) waitForRuns(ctx context.Context) {
	for ctx.Err() == nil && n.targets.Running() > 0 {
		platform.Pause(ctx, runsPollInterval)
	}
}

// Kill closes the node without a graceful shutdown, as a crash would. It is for
// tests.
func (n *Node) Kill() {
	n.stopping.Store(true)
	n.close()
}

func (n *Node) close() { n.closeOnce.Do(n.closeAll) }

func (n *Node) closeAll() {
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
