// Package event defines the numbered log events of all briarrock programs and
// the logger that writes them.
//
// A log line is one event: a fixed number, a fixed name and named fields.
// Operators search for the number. docs/EVENTS.md explains each event and what
// to do about it; a test checks that the page and this list agree.
//
//	log.Emit(event.VersionInUse, event.Fields{"version": 7, "took": took})
//
// Repeats of an event with the same subject within one second are counted
// instead of written, so that a persistent fault cannot flood the log.
package event

import (
	"io"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Event is a type of log line.
type Event struct {
	id    int
	name  string
	level logrus.Level
}

// ID returns the event's number, which is unique and never reused for another
// event.
func (e Event) ID() int { return e.id }

// Name returns the event's short name.
func (e Event) Name() string { return e.name }

// Level returns the severity at which the event is logged.
func (e Event) Level() logrus.Level { return e.level }

// The events. Numbers are grouped: 1xx process, 2xx configuration, 3xx
// membership and links, 4xx platform, 5xx calls, 6xx operators.
var (
	Started          = Event{101, "started", logrus.InfoLevel}
	Stopping         = Event{102, "stopping", logrus.InfoLevel}
	Stopped          = Event{103, "stopped", logrus.InfoLevel}
	KeysLoaded       = Event{104, "keysloaded", logrus.InfoLevel}
	KeysBad          = Event{105, "keysbad", logrus.ErrorLevel}
	Library          = Event{106, "library", logrus.WarnLevel}
	LogDropped       = Event{107, "logdropped", logrus.WarnLevel}
	Reloaded         = Event{108, "reloaded", logrus.InfoLevel}
	Panicked         = Event{109, "panicked", logrus.ErrorLevel}
	VersionInUse     = Event{201, "inuse", logrus.InfoLevel}
	VersionRefused   = Event{202, "refused", logrus.WarnLevel}
	VersionOld       = Event{203, "old", logrus.WarnLevel}
	VersionNotFound  = Event{204, "notfound", logrus.WarnLevel}
	WatchAssigned    = Event{205, "watch", logrus.InfoLevel}
	VersionBehind    = Event{206, "behind", logrus.WarnLevel}
	Unproven         = Event{210, "unproven", logrus.WarnLevel}
	Proven           = Event{211, "proven", logrus.InfoLevel}
	ProofRefused     = Event{212, "proofrefused", logrus.WarnLevel}
	Suspended        = Event{213, "suspended", logrus.WarnLevel}
	LinkUp           = Event{301, "linkup", logrus.DebugLevel}
	LinkDown         = Event{302, "linkdown", logrus.DebugLevel}
	PeerRefused      = Event{303, "peerrefused", logrus.WarnLevel}
	PeerGarbage      = Event{304, "garbage", logrus.WarnLevel}
	MemberSuspect    = Event{305, "suspect", logrus.WarnLevel}
	MemberDead       = Event{306, "dead", logrus.WarnLevel}
	MemberLeft       = Event{307, "left", logrus.InfoLevel}
	DomainStale      = Event{308, "stale", logrus.WarnLevel}
	SlowStep         = Event{309, "slowstep", logrus.WarnLevel}
	StoreDown        = Event{401, "storedown", logrus.WarnLevel}
	StoreUp          = Event{402, "storeup", logrus.InfoLevel}
	StoreHistoryLost = Event{403, "storeforgot", logrus.WarnLevel}
	StoreRead        = Event{404, "storeread", logrus.InfoLevel}
	CallFailed       = Event{501, "callfailed", logrus.DebugLevel}
	TargetUp         = Event{502, "targetup", logrus.InfoLevel}
	TargetGone       = Event{503, "targetgone", logrus.WarnLevel}
	TargetCrashed    = Event{504, "crashed", logrus.ErrorLevel}
	RequestHeld      = Event{505, "held", logrus.ErrorLevel}
	ClaimLost        = Event{506, "claimlost", logrus.WarnLevel}
	CallAnswered     = Event{507, "answered", logrus.InfoLevel}
	CallGivenUp      = Event{508, "givenup", logrus.WarnLevel}
	RunRefused       = Event{509, "runrefused", logrus.InfoLevel}
	RunEnded         = Event{510, "runended", logrus.InfoLevel}
	TargetState      = Event{511, "targetstate", logrus.InfoLevel}
	AnnounceBad      = Event{512, "announcebad", logrus.WarnLevel}
	TargetRate       = Event{513, "targetrate", logrus.InfoLevel}
	AnswerBad        = Event{514, "answerbad", logrus.WarnLevel}
	RequestReleased  = Event{515, "released", logrus.WarnLevel}
	RequestMalformed = Event{516, "malformed", logrus.WarnLevel}
	Workspaces       = Event{520, "workspaces", logrus.InfoLevel}
	KeyRefused       = Event{521, "keyrefused", logrus.InfoLevel}
	AllowanceUsed    = Event{525, "allowanceused", logrus.InfoLevel}
	AllowanceLeft    = Event{526, "allowanceleft", logrus.InfoLevel}
	SumsLate         = Event{527, "sumslate", logrus.WarnLevel}
	SumsFresh        = Event{528, "sumsfresh", logrus.InfoLevel}
	SharesReserved   = Event{529, "sharesreserved", logrus.InfoLevel}
	RolloutPhase     = Event{530, "rollout", logrus.InfoLevel}
	RolledBack       = Event{531, "rolledback", logrus.WarnLevel}
	RolloutCompleted = Event{532, "rolloutdone", logrus.InfoLevel}
	RolloutOrderBad  = Event{533, "rolloutbad", logrus.WarnLevel}
	RolloutWritten   = Event{534, "rolloutwritten", logrus.InfoLevel}
	RolloutUnwritten = Event{535, "rolloutunwritten", logrus.WarnLevel}
	RolloutUnread    = Event{536, "rolloutunread", logrus.WarnLevel}
	EditAccepted     = Event{601, "accepted", logrus.InfoLevel}
	EditConflict     = Event{602, "conflict", logrus.WarnLevel}
	EditRefused      = Event{603, "invalid", logrus.WarnLevel}
	EditUnknown      = Event{604, "undecided", logrus.ErrorLevel}
	OperatorRefused  = Event{605, "noauth", logrus.WarnLevel}
)

// All returns all events in ascending order of their numbers.
func All() []Event {
	return []Event{
		Started, Stopping, Stopped, KeysLoaded, KeysBad, Library, LogDropped, Reloaded, Panicked,
		VersionInUse, VersionRefused, VersionOld, VersionNotFound, WatchAssigned, VersionBehind,
		Unproven, Proven, ProofRefused, Suspended,
		LinkUp, LinkDown, PeerRefused, PeerGarbage, MemberSuspect, MemberDead, MemberLeft, DomainStale, SlowStep,
		StoreDown, StoreUp, StoreHistoryLost, StoreRead,
		CallFailed, TargetUp, TargetGone, TargetCrashed, RequestHeld, ClaimLost,
		CallAnswered, CallGivenUp, RunRefused, RunEnded, TargetState, AnnounceBad, TargetRate, AnswerBad, RequestReleased, RequestMalformed,
		Workspaces, KeyRefused,
		AllowanceUsed, AllowanceLeft, SumsLate, SumsFresh, SharesReserved,
		RolloutPhase, RolledBack, RolloutCompleted, RolloutOrderBad, RolloutWritten, RolloutUnwritten, RolloutUnread,
		EditAccepted, EditConflict, EditRefused, EditUnknown, OperatorRefused,
	}
}

// Fields are the named values of one log line.
type Fields map[string]any

// Subject is the field that identifies what an event is about. Two events are
// repeats if they have the same number and the same subject.
const Subject = "subject"

// repeatInterval is the minimum time between two lines with the same event and
// subject.
const repeatInterval = time.Second

// maxRepeats bounds Log.repeats. When the bound is reached the table is
// cleared, which at worst writes some repeats early.
const maxRepeats = 1024

type repeatKey struct {
	id      int
	subject string
}

type repeatState struct {
	written time.Time // when the last line was written
	skipped int       // repeats omitted since then
}

// Log writes events. The zero Log and a nil *Log discard all events, which is
// useful in tests.
type Log struct {
	out     *logrus.Entry
	mu      sync.Mutex
	repeats map[repeatKey]repeatState
	calls   [callClasses]lineLimiter
}

// New returns a Log that writes events of at least the given level to w, as
// JSON or as text. Every line has the field host, so that the logs of several
// nodes can be merged.
func New(w io.Writer, json bool, level logrus.Level, host string) *Log {
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(level)
	if json {
		l.SetFormatter(&logrus.JSONFormatter{})
	} else {
		l.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	}
	return &Log{
		out:     l.WithField("host", host),
		repeats: make(map[repeatKey]repeatState),
	}
}

// Emit writes one event. If the same event was written for the same subject
// within the last second, Emit only counts it; the next line has the count in
// its field "skipped".
func (l *Log) Emit(e Event, f Fields) {
	if l == nil || l.out == nil {
		return
	}
	if !l.out.Logger.IsLevelEnabled(e.level) {
		return
	}
	skipped, write := l.allow(e, f)
	if !write {
		return
	}
	l.write(e, f, skipped)
}

func (l *Log) write(e Event, f Fields, skipped int) {
	entry := l.out.WithFields(logrus.Fields(f)).WithField("event", e.id)
	if skipped > 0 {
		entry = entry.WithField("skipped", skipped)
	}
	entry.Log(e.level, e.name)
}

// Writer returns a writer that emits e for each Write, with the written bytes
// in the field "text". It adapts libraries that take a writer for their log.
func (l *Log) Writer(e Event) io.Writer { return lineWriter{l, e} }

type lineWriter struct {
	l *Log
	e Event
}

// maxLineBytes is the length to which lines of libraries are truncated.
const maxLineBytes = 200

// Write implements io.Writer.
func (w lineWriter) Write(b []byte) (int, error) {
	text := strings.TrimSpace(string(b[:min(len(b), maxLineBytes)]))
	w.l.Emit(w.e, Fields{"text": text})
	return len(b), nil
}

// allow reports whether an event may be written now and, if so, how many of its
// repeats were skipped since the previous line.
func (l *Log) allow(e Event, f Fields) (int, bool) {
	subject, _ := f[Subject].(string)
	key := repeatKey{e.id, subject}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	last, ok := l.repeats[key]
	if ok && now.Sub(last.written) < repeatInterval {
		last.skipped++
		l.repeats[key] = last
		return 0, false
	}
	if len(l.repeats) >= maxRepeats {
		clear(l.repeats)
	}
	l.repeats[key] = repeatState{written: now}
	return last.skipped, true
}
