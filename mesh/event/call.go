package event

import (
	"strconv"
	"time"
)

// Limits of the log lines about single calls that a process writes per second.
// An unusual call carries more information than a routine one, so each class
// has its own limit. Omitted lines are counted. A line takes 300 to 400 bytes
// and about 10 µs, so both classes together stay below 40 KB/s and 0.1% of a
// core.
const (
	routinePerSecond = 10
	unusualPerSecond = 100
)

// Classes of lines about calls, each with its own limit.
const (
	routineCall = iota
	unusualCall
	callClasses
)

// lineLimiter limits the lines of one class per second of wall-clock time.
type lineLimiter struct {
	second  int64 // Unix time of the second that lines counts for
	lines   int   // lines written in that second
	skipped int   // lines omitted since the previous one
}

// allow reports whether a line may be written now and, if so, how many lines
// were omitted since the previous one.
func (l *lineLimiter) allow(now time.Time, perSecond int) (skipped int, ok bool) {
	if s := now.Unix(); s != l.second {
		l.second, l.lines = s, 0
	}
	if l.lines >= perSecond {
		l.skipped++
		return 0, false
	}
	l.lines++
	skipped, l.skipped = l.skipped, 0
	return skipped, true
}

// maxIDBytes is the length to which ShortID shortens an ID.
const maxIDBytes = 64

// ShortID returns an ID that a caller has chosen, shortened for a log line.
func ShortID(id string) string {
	if len(id) <= maxIDBytes {
		return id
	}
	return id[:maxIDBytes] + "... (" + strconv.Itoa(len(id)) + " bytes)"
}

// Call writes the log line of one call, unless the limit of lines per second is
// reached. Routine calls, which went as planned, have a lower limit than
// unusual ones.
func (l *Log) Call(e Event, f Fields, routine bool) {
	if l == nil || l.out == nil || !l.out.Logger.IsLevelEnabled(e.level) {
		return
	}
	class, perSecond := unusualCall, unusualPerSecond
	if routine {
		class, perSecond = routineCall, routinePerSecond
	}
	l.mu.Lock()
	skipped, ok := l.calls[class].allow(time.Now(), perSecond)
	l.mu.Unlock()
	if ok {
		l.write(e, f, skipped)
	}
}
