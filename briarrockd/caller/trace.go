package caller

import (
	"strings"
	"time"

	"briarrock.example/mesh/event"
	"briarrock.example/mesh/kind"
)

// callSteps is what is told of a call in the log: the decisions along its way.
type callSteps struct {
	steps []string
	// cause is the error of the attempt that failed last without an answer.
	cause error
}

// step notes a decision. Most calls have one; the slice stays small.
func (s *callSteps) step(what, host string, k kind.Kind) {
	line := what + " " + host
	if k != kind.None {
		line += " " + string(k)
	}
	s.steps = append(s.steps, line)
}

// logCall writes the one line of a call: its name, what was known when it was
// decided on and how old that was, and what came of it. Calls that went as
// planned are the first to be left out when there are too many lines.
func (p *Proxy) logCall(c *call, k kind.Kind, ran kind.Ran, status int, retryAfter time.Duration) {
	f := event.Fields{"trace": c.trace, "status": status, "ms": time.Since(c.startedAt).Milliseconds()}
	if c.table != nil {
		f["version"] = c.table.version
		f["tableage"] = time.Since(c.table.madeAt).Milliseconds()
	}
	if c.service != nil {
		f["service"] = c.service.Name
		f["upstreams"] = len(c.upstreams)
	}
	if c.entryName != "" {
		f["entry"] = c.entryName
	}
	if len(c.steps.steps) > 0 {
		f["way"] = strings.Join(c.steps.steps, ", ")
	}
	if c.steps.cause != nil {
		f["cause"] = c.steps.cause.Error()
	}
	if !c.deadline.IsZero() {
		f["left"] = time.Until(c.deadline).Milliseconds()
	}
	routine := k == kind.None && len(c.steps.steps) <= 1
	if k != kind.None {
		f["kind"], f["ran"] = string(k), ran.String()
	}
	if retryAfter > 0 {
		f["after"] = retryAfter.Milliseconds()
	}
	e := event.CallAnswered
	if k != kind.None {
		e = event.CallGivenUp
	}
	p.deps.Log.Call(e, f, routine)
}
