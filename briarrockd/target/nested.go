package target

import "strings"

// IsRunning tells whether a target of this host runs a call of the given name now.
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

// traceSeparator stands between the name of a call and that of one which its run
// makes.
const traceSeparator = "."

// ParentTrace returns the name of the call whose run made the one of the given name; false
// if the name says that no run did.
func ParentTrace(trace string) (string, bool) {
	i := strings.LastIndex(trace, traceSeparator)
	if i <= 0 {
		return "", false
	}
	return trace[:i], true
}
