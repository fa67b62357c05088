package target

import "strings"

// IsRunning reports whether a target of this host is running a call with the given trace ID.
func (t *Targets) IsRunning(trace string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.traces[trace] > 0
}

// track counts a call as running until the returned function is called.
func (t *Targets) track(trace string) func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.traces[trace]++
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.traces[trace]--; t.traces[trace] <= 0 {
			delete(t.traces, trace)
		}
	}
}

// traceSeparator separates the trace ID of a call from the suffix that names an outgoing call of
// its run.
const traceSeparator = "."

// ParentTrace returns the trace ID of the call whose run made the call with the given trace ID,
// and false if that ID is not one of an outgoing call of a run.
func ParentTrace(trace string) (string, bool) {
	i := strings.LastIndex(trace, traceSeparator)
	if i <= 0 {
		return "", false
	}
	return trace[:i], true
}
