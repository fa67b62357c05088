// Package event holds the numbered log events of every briarrock program.
//
// A log line is one event: a fixed number, a fixed name and typed fields.
// Operators search for the number; docs/EVENTS.md says what each one means
// and what to do about it, and a test holds that page and this list together.
//
//	log.Emit(event.VersionInUse, event.Fields{"version": 7, "took": took})
//
// The same event repeated within a second for the same subject is written
// once and counted, so that a fault can't flood the log.
package event

import (
	"io"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Event is one kind of log line.
type Event struct {
	id    int
	name  string
	level logrus.Level
}

// ID is the event's number, unique and never used again for another event.
func (e Event) ID() int { return e.id }

// Name is the event's short name.
func (e Event) Name() string { return e.name }

// Level is the severity that the event is logged at.
func (e Event) Level() logrus.Level { return e.level }

// The list of events. 1xx process, 2xx configuration, 3xx membership and
// links, 4xx platform, 5xx calls, 6xx operators.
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
	LinkUp           = Event{301, "linkup", logrus.DebugLevel}
	LinkDown         = Event{302, "linkdown", logrus.DebugLevel}
	PeerRefused      = Event{303, "peerrefused", logrus.WarnLevel}
	PeerGarbage      = Event{304, "garbage", logrus.WarnLevel}
	MemberSuspect    = Event{305, "suspect", logrus.WarnLevel}
	MemberDead       = Event{306, "dead", logrus.WarnLevel}
	MemberLeft       = Event{307, "left", logrus.InfoLevel}
	DomainStale      = Event{308, "stale", logrus.WarnLevel}
	StoreDown        = Event{401, "storedown", logrus.WarnLevel}
	StoreUp          = Event{402, "storeup", logrus.InfoLevel}
	StoreHistoryLost = Event{403, "storeforgot", logrus.WarnLevel}
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
	EditAccepted     = Event{601, "accepted", logrus.InfoLevel}
	EditConflict     = Event{602, "conflict", logrus.WarnLevel}
	EditRefused      = Event{603, "invalid", logrus.WarnLevel}
	EditUnknown      = Event{604, "undecided", logrus.ErrorLevel}
	OperatorRefused  = Event{605, "noauth", logrus.WarnLevel}
)

// All returns the list in the order of the numbers.
func All() []Event {
	return []Event{
		Started, Stopping, Stopped, KeysLoaded, KeysBad, Library, LogDropped, Reloaded, Panicked,
		VersionInUse, VersionRefused, VersionOld, VersionNotFound, WatchAssigned,
		LinkUp, LinkDown, PeerRefused, PeerGarbage, MemberSuspect, MemberDead, MemberLeft, DomainStale,
		StoreDown, StoreUp, StoreHistoryLost,
		CallFailed, TargetUp, TargetGone, TargetCrashed, RequestHeld, ClaimLost,
		CallAnswered, CallGivenUp, RunRefused, RunEnded, TargetState, AnnounceBad, TargetRate, AnswerBad,
		EditAccepted, EditConflict, EditRefused, EditUnknown, OperatorRefused,
	}
}

// Fields are the named values of one log line.
type Fields map[string]any

// Subject is the field by which repeats of an event are told apart.
const Subject = "subject"

// repeatEvery is the shortest time between two lines of one event and subject.
const repeatEvery = time.Second

// repeatMax bounds the table of recent lines; past it the table is emptied,
// which at worst writes some lines early.
const repeatMax = 1024

type recentKey struct {
	id      int
	subject string
}

type recent struct {
	at      time.Time
	skipped int
}

// Log writes events. The zero Log writes nothing, which suits tests.
type Log struct {
	out   *logrus.Entry
	mu    sync.Mutex
	seen  map[recentKey]recent
	calls [callClasses]rate
}

// New returns a Log that writes to w as JSON or as text, from level up. Every
// line carries host, so that the logs of many nodes can be read together.
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
		out:  l.WithField("host", host),
		seen: make(map[recentKey]recent),
	}
}

// Emit writes one event, unless the same event was written for the same
// subject within the last second: then it is counted, and the count goes out
// with the next line as "skipped".
func (l *Log) Emit(e Event, f Fields) {
	if l == nil || l.out == nil {
		return
	}
	if !l.out.Logger.IsLevelEnabled(e.level) {
		return
	}
	skipped, write := l.admit(e, f)
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

// Writer returns a writer whose lines become events: for libraries that write
// to a log of their own.
func (l *Log) Writer(e Event) io.Writer { return lines{l, e} }

type lines struct {
	l *Log
	e Event
}

// maxLine bounds what is kept of a library's line.
const maxLine = 200

// Write implements io.Writer.
func (w lines) Write(b []byte) (int, error) {
	text := strings.TrimSpace(string(b[:min(len(b), maxLine)]))
	w.l.Emit(w.e, Fields{"text": text})
	return len(b), nil
}

func (l *Log) admit(e Event, f Fields) (int, bool) {
	subject, _ := f[Subject].(string)
	key := recentKey{e.id, subject}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	last, ok := l.seen[key]
	if ok && now.Sub(last.at) < repeatEvery {
		last.skipped++
		l.seen[key] = last
		return 0, false
	}
	if len(l.seen) >= repeatMax {
		clear(l.seen)
	}
	l.seen[key] = recent{at: now}
	return last.skipped, true
}
