package target

import "strings"

// IsRunning reports whether a target of this host is running a call with the given trace ID. Calls
// that a target makes while it runs another call, the outer one, are nested calls.
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

// traceSeparator separates the trace ID of an outer call from the suffix that names one of its
// nested calls.
const traceSeparator = "."

// ParentTrace returns the trace ID of the outer call of the nested call with the given trace ID. It
// returns false if that ID is not one of a nested call.
func ParentTrace(trace string) (string, bool) {
	i := strings.LastIndex(trace, traceSeparator)
	if i <= 0 {
		return "", false
	}
	return trace[:i], true
}
