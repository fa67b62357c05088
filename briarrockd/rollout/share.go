package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Shares of a service's requests that are sent to the target version.
const (
	// startShare and quietShare are parts of Config.Share. The first one applies until
	// observeShare of what a bad version may get is used, but at least minObserved requests,
	// so that a bad version is soon found. The rest is kept for the next phases, in which a
	// version is found that is bad under load only.
	startShare   = 0.8
	quietShare   = 0.1
	observeShare = 0.2
	minObserved  = 40
	rampShare    = 0.25
	mostlyShare  = 0.9
)

// Use of the slack by a service with few requests.
const (
	// slackPerSecond is the number of requests a second, over all nodes, that are sent beyond
	// the share: with sums that are slackMaxAge old the nodes can exceed their part of the
	// slack by slackPerSecond × slackMaxAge requests.
	slackPerSecond = 15.0
	slackMaxAge    = time.Second
	// slackRate is the number of requests a second of a service up to which the slack is
	// used; with more requests the share alone gives enough answers.
	// Beyond the share the retry budget, a tenth of the calls, does not cover all failures.
	slackRate = 60.0
	// slackShare is the part of the slack that is used on purpose.
	slackShare = 0.5
	// maxSlackShare leaves enough requests to the current version to compare with.
	maxSlackShare = 0.5
	// slackKnownBy is the age of an order up to which a node that first knows it then takes
	// part in the use of the slack. One that was restarted later does not know how much of it
	// is used, since the counters have begun at 0.
	slackKnownBy = 2 * time.Second
	// slackDelay is how long the rate is measured first.
	slackDelay = time.Second
)

// aloneAfter is how long a node that has peers may hear of no order before it counts as cut
// off. Peers repeat open orders every second.
const aloneAfter = 2500 * time.Millisecond

// switchedAloneAfter is aloneAfter of a node that has switched. The others may count it as
// switched for peer.sumsTimeout (2 s) and sumsMaxAge after they have last heard from it, and
// complete the roll-out by that; until then it must not go back. A second is added for delays.
const switchedAloneAfter = 2*time.Second + sumsMaxAge + time.Second

// Choice is the decision for one request: which versions its attempts may run at. The zero
// Choice allows all.
type Choice struct {
	limited bool
	state   State
	// next is set if the attempt goes to the target version. strict is set if there is no
	// choice, so that further attempts go to the same version.
	next, strict bool
	// barred is set if nothing is known of orders yet.
	barred bool
}

// Limited reports whether the versions of targets make a difference.
func (c *Choice) Limited() bool { return c.limited }

// Pinned reports whether the next attempt may only run at the version of the target that was
// chosen for it. After the end versions may be replaced by others without an order.
func (c *Choice) Pinned() bool { return c.limited && !c.state.Phase.Ended() }

// Next reports whether the next attempt goes to the target version.
func (c *Choice) Next() bool { return c.next }

// Barred reports whether the request may only run if all targets have the same version,
// because it is not known yet whether there is an order.
func (c *Choice) Barred() bool { return c.barred }

// Allows reports whether the next attempt may run at a target of a version.
func (c *Choice) Allows(version string) bool {
	return !c.limited || c.state.allows(version, c.next)
}

// AllowsOtherwise reports whether the attempt may run at a version if there is no target
// that Allows admits: after a completed roll-out at one whose version is not known.
func (c *Choice) AllowsOtherwise(version string) bool {
	return c.limited && c.state.Phase == Completed && version == ""
}

// share returns the part of the requests that goes to the target version.
func (t *tracker) share(now time.Time) float64 {
	switch t.state.Phase {
	case Observing:
		if t.observedEnough(now) {
			return quietShare * t.cfg.Share
		}
		return startShare * t.cfg.Share
	case Ramping, Mostly:
		if t.alone(now) {
			return quietShare * t.cfg.Share
		}
		if t.verdict.Doubtful {
			// More answers have to show whether the doubt is right.
			return startShare * t.cfg.Share
		}
		if t.state.Phase == Ramping {
			return rampShare
		}
		if d := now.Sub(t.phaseAt); d >= t.part(probeTime) && d < t.part(probeEnd) {
			return quietShare * t.cfg.Share
		}
		return mostlyShare
	case Switched:
		if !t.onlyTarget(now) {
			return quietShare * t.cfg.Share
		}
		return 1
	case RolledBack:
		return 0
	default:
		return 1
	}
}

// observedEnough reports whether the target version has got its part of the requests for the
// first phase.
func (t *tracker) observedEnough(now time.Time) bool {
	elapsed := now.Sub(t.state.StartedAt)
	if t.sums.sent < minObserved || elapsed <= 0 {
		return false
	}
	expected := float64(t.sums.calls) / elapsed.Seconds() * t.state.Duration.Seconds()
	return float64(t.sums.sent) >= observeShare*(t.cfg.Share*expected+float64(t.cfg.Slack))
}

// alone reports whether the node is cut off, so that the roll-out may have been rolled back
// without its knowledge: it has peers but has not heard from any for some time or, while the
// share is above the bound, the sums include no more than half of the mesh. The latter does
// not count once it has switched: the sums also lack a part for a moment when a host dies that
// passes them on, and the targets of the current version may be stopping.
func (t *tracker) alone(now time.Time) bool {
	if t.state.Members <= 1 {
		return false
	}
	limit := aloneAfter
	if t.state.Phase == Switched {
		limit = switchedAloneAfter
	}
	if now.Sub(t.heardAt) > limit {
		return true
	}
	return (t.state.Phase == Ramping || t.state.Phase == Mostly) && 2*t.freshNodes(now) <= t.state.Members
}

// freshNodes returns the number of nodes that the sums include; 0 if they are old.
func (t *tracker) freshNodes(now time.Time) int {
	if now.Sub(t.sumsAt) > sumsMaxAge {
		return 0
	}
	return t.sums.nodes
}

// reached counts a request that has reached a target. Requests that all targets refuse don't
// count: with them, a version that refuses fewer would get more than its share of the rest.
func (t *tracker) reached(now time.Time) {
	t.calls++
	if t.state.Phase == Observing {
		t.addCredit(now)
	}
}

func (t *tracker) addCredit(now time.Time) {
	t.credit = min(t.credit+t.share(now), maxCredit)
}

// onlyTarget reports whether all requests go to the target version. A node that is cut off
// goes back to the current one only while that has targets and can't have been stopped.
func (t *tracker) onlyTarget(now time.Time) bool {
	return t.state.Phase == Switched && (!t.alone(now) || !t.hasCurrent || t.state.progress(now) >= forceAt)
}

// begin decides for a request which version its first attempt goes to.
func (t *tracker) begin(now time.Time) Choice {
	c := Choice{limited: true, state: t.state}
	switch {
	case t.state.Phase.Ended():
		c.next = t.state.Phase == Completed
		c.strict = true
		return c
	case t.onlyTarget(now):
		c.next, c.strict = true, true
		t.sent++
		return c
	case t.state.Phase < Ramping && t.alone(now) && t.hasCurrent:
		// Nothing is known of a rollback, and there are targets of the current version.
		return c
	}
	if t.state.Phase > Observing {
		// The share is above the bound on purpose, and is to be reached at once.
		t.addCredit(now)
	}
	switch {
	case t.credit >= 1:
		t.credit--
		c.next = true
	case t.useSlack(now):
		c.next = true
	}
	if c.next {
		t.sent++
	}
	return c
}

// maxCredit bounds the requests that a node owes to the target version, so that it doesn't
// get all of them at once when its first target starts.
const maxCredit = 1.5

// useSlack reports whether a request goes to the target version beyond the share, since the
// service has too few requests to judge the version by the share alone.
func (t *tracker) useSlack(now time.Time) bool {
	if t.begunAt.Sub(t.state.StartedAt) > slackKnownBy || t.state.Phase != Observing || !t.hasTarget || t.alone(now) || now.Sub(t.sumsAt) > slackMaxAge {
		return false
	}
	elapsed := now.Sub(t.state.StartedAt)
	if elapsed < slackDelay {
		return false
	}
	calls, sent := float64(t.sums.calls), float64(t.sums.sent)+float64(t.sent-t.reportedSent)
	rate := calls / elapsed.Seconds()
	if rate > slackRate || sent >= startShare*t.cfg.Share*calls+slackShare*float64(t.cfg.Slack) {
		return false
	}
	t.slackCredit += min(maxSlackShare, slackPerSecond/rate)
	if t.slackCredit < 1 {
		return false
	}
	t.slackCredit--
	return true
}

// phaseOffset returns where a node's count starts, from 0 to 1. Nodes start at different
// offsets, so that together they keep to the share although each one sends whole requests.
func phaseOffset(seed uint64, service string, order uint64) float64 {
	var b [16]byte
	for i := range 8 {
		b[i], b[8+i] = byte(seed>>(8*i)), byte(order>>(8*i))
	}
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(service)
	return float64(d.Sum64()>>11) / (1 << 53)
}
