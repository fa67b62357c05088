package event

import "time"

// How many lines about single calls a process writes in a second. A call that
// went otherwise than planned is worth more than one that did not, so the two
// have bounds of their own; what is left out is counted. A line is 300 to 400
// bytes and some 10 µs of work, so both together stay below 40 KB/s and a
// thousandth of a core.
const (
	plainPerSecond = 10
	oddPerSecond   = 100
)

// The classes of lines about calls.
const (
	plainCall = iota
	oddCall
	callClasses
)

// rate bounds the lines of one class.
type rate struct {
	second  int64
	lines   int
	skipped int
}

// admit tells whether a line may be written now, and how many were left out
// since the last one.
func (r *rate) admit(now time.Time, perSecond int) (skipped int, ok bool) {
	if s := now.Unix(); s != r.second {
		r.second, r.lines = s, 0
	}
	if r.lines >= perSecond {
		r.skipped++
		return 0, false
	}
	r.lines++
	skipped, r.skipped = r.skipped, 0
	return skipped, true
}

// Call writes the line of one call, within a bound of lines a second. plain
// calls, which went as planned, have a lower bound than the others.
func (l *Log) Call(e Event, f Fields, plain bool) {
	if l == nil || l.out == nil || !l.out.Logger.IsLevelEnabled(e.level) {
		return
	}
	class, perSecond := oddCall, oddPerSecond
	if plain {
		class, perSecond = plainCall, plainPerSecond
	}
	l.mu.Lock()
	skipped, ok := l.calls[class].admit(time.Now(), perSecond)
	l.mu.Unlock()
	if ok {
		l.write(e, f, skipped)
	}
}
