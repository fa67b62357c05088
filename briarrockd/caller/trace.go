package caller

import (
	"strings"
	"time"

	"briarrock.example/mesh/event"
	"briarrock.example/mesh/kind"
)

// callDecisions are the decisions made for a call, for its log line.
type callDecisions struct {
	list []string
	// cause is the error of the last attempt that failed without a response.
	cause error
}

// add records a decision. Most calls have one, so the slice stays small.
func (s *callDecisions) add(what, host string, k kind.Kind) {
	line := what + " " + host
	if k != kind.None {
		line += " " + string(k)
	}
	s.list = append(s.list, line)
}

// logCall writes the log line of a call: its trace ID, the version and age of the routing
// table that it used, and the outcome. When there are too many lines, those of calls that
// the first attempt served are dropped first.
func (p *Proxy) logCall(c *call, k kind.Kind, ran kind.Ran, status int, retryAfter time.Duration) {
	f := event.Fields{"trace": event.ShortID(c.trace), "status": status, "ms": time.Since(c.startedAt).Milliseconds()}
	if c.table != nil {
		f["version"] = c.table.version
		f["tableage"] = time.Since(c.table.createdAt).Milliseconds()
	}
	if c.service != nil {
		f["service"] = c.service.Name
		f["upstreams"] = len(c.upstreams)
	}
	if c.entryName != "" {
		f["entry"] = c.entryName
	}
	if name := c.workspaceName(); name != "" {
		f["workspace"] = name
	}
	if c.keyState != keyPresent {
		f["key"] = string(c.keyState)
	}
	if len(c.decisions.list) > 0 {
		f["way"] = strings.Join(c.decisions.list, ", ")
	}
	if c.decisions.cause != nil {
		f["cause"] = c.decisions.cause.Error()
	}
	if !c.deadline.IsZero() {
		f["left"] = time.Until(c.deadline).Milliseconds()
	}
	routine := k == kind.None && len(c.decisions.list) <= 1
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
