package caller

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"briarrock.example/briarrockd/relay"
	"briarrock.example/briarrockd/rollout"
	"briarrock.example/briarrockd/target"
	"briarrock.example/mesh/kind"
)

// pick chooses the upstream of the next attempt. While there is a roll-out of the service,
// only targets of the version that it allows are considered: the first attempt goes to the
// target version or the current one by the node's share, and all others to the current one.
func (x *attempts) pick(now time.Time) (upstream, refusal, bool) {
	r, c := x.p.deps.Rollouts, x.c
	if len(x.tried) == 0 || !x.choice.Limited() {
		// An order may have arrived since an attempt that was not limited.
		x.choice = r.Begin(now, c.service.Name)
	} else {
		x.choice = r.Again(now, x.choice)
	}
	u, ref, ok := x.pickAllowed(now)
	if ok {
		return u, ref, ok
	}
	if other, may := r.Unsent(x.choice); may {
		x.choice = other
		return x.pickAllowed(now)
	}
	return u, ref, ok
}

// countReached counts the call for the roll-out of its service if it reached a target.
func (x *attempts) countReached() {
	if x.choice.Limited() && x.reachedTarget > 0 {
		x.p.deps.Rollouts.Reached(time.Now(), x.c.service.Name)
	}
}

func (x *attempts) pickAllowed(now time.Time) (upstream, refusal, bool) {
	c := x.c
	u, ref, ok := x.p.deps.Balancer.pickFor(now, c.service.Name, allowed(&x.choice, c.upstreams), x.tried, c.route.Priority, c.nested)
	u.pinned = x.choice.Pinned()
	return u, ref, ok
}

// allowed returns the upstreams that a choice allows.
func allowed(choice *rollout.Choice, set []upstream) []upstream {
	switch {
	case choice.Barred():
		if !sameVersion(set) {
			return nil
		}
		return set
	case !choice.Limited():
		return set
	}
	out := filter(set, choice.Allows)
	if len(out) == 0 {
		return filter(set, choice.AllowsOtherwise)
	}
	return out
}

// sameVersion reports whether all upstreams have the same version. An unknown one counts as
// equal to any.
func sameVersion(set []upstream) bool {
	known := ""
	for i := range set {
		if v := set[i].version; v != "" {
			if known != "" && v != known {
				return false
			}
			known = v
		}
	}
	return true
}

func filter(set []upstream, keep func(version string) bool) []upstream {
	out := make([]upstream, 0, len(set))
	for i := range set {
		if keep(set[i].version) {
			out = append(out, set[i])
		}
	}
	return out
}

// observeVersion counts the end of an attempt for the roll-out of its service. Refusals and
// cancelled requests say nothing about the version.
func (p *Proxy) observeVersion(c *call, u upstream, a *attempt, out relay.Outcome, took time.Duration) {
	if !u.pinned {
		return
	}
	o := rollout.Outcome{Service: c.service.Name, Route: c.routeName(), Version: u.version, Host: u.host, Duration: took}
	end := "answered"
	switch {
	case a.targetFailed():
		o.Failed, end = true, "failed"
	case a.kind == kind.Broken || a.kind == kind.Late || a.kind == kind.Stall:
		if !a.reachedTarget && !out.Sent {
			return
		}
		o.Broken, end = true, "broken"
	case a.kind != kind.None || a.res == nil:
		return
	}
	if a.res != nil {
		o.Duration, o.Cold = servedIn(a.res.Header, took)
	}
	p.deps.Rollouts.Observe(o)
	p.counters.set.GetOrCreateCounter(fmt.Sprintf(`briarrock_version_answers_total{service=%q,version=%q,end=%q}`, o.Service, o.Version, end)).Inc()
}

// servedIn returns how long the target took by its node's report, or took if there is none,
// and whether the target has just started.
func servedIn(h http.Header, took time.Duration) (time.Duration, bool) {
	if us, err := strconv.ParseInt(h.Get(target.HeaderTook), 10, 64); err == nil && us >= 0 {
		took = time.Duration(us) * time.Microsecond
	}
	return took, h.Get(target.HeaderCold) != ""
}
