package target

import (
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// HeaderNotice carries what targets have told of themselves between nodes, a value each:
// from a target's node in its answers, and from the callers' nodes that have passed such
// answers on back to it in their requests. So the knowledge reaches a node that replaces
// the target's before any request that it binds.
const HeaderNotice = "Briarrock-Notice"

// maxNotices bounds the notices in one head.
const maxNotices = maxTargets

// Notice is what one process of a target has told of itself in its answers.
type Notice struct {
	// Process names the target's process.
	Process string
	// Rate is what it takes.
	Rate Rate
	// Leaving is set once it is about to stop. No process takes that back.
	Leaving bool
	// At is when that was told last; zero if this is not known.
	At time.Time
}

// The fields of a notice on the wire.
const (
	noticeProcess = "process"
	noticeRate    = "rate"
	noticeLeaving = "leaving"
	noticeAge     = "age" // milliseconds
)

// WriteNotices adds notices to a head.
func WriteNotices(h http.Header, now time.Time, list ...Notice) {
	for _, n := range list {
		v := url.Values{noticeProcess: {n.Process}}
		if n.Rate.bounded {
			v.Set(noticeRate, n.Rate.String())
		}
		if n.Leaving {
			v.Set(noticeLeaving, "1")
		}
		if !n.At.IsZero() {
			v.Set(noticeAge, strconv.FormatInt(now.Sub(n.At).Milliseconds(), 10))
		}
		h.Add(HeaderNotice, v.Encode())
	}
}

// ReadNotices returns the notices in a head. Malformed ones are left out.
func ReadNotices(h http.Header, now time.Time) []Notice {
	var list []Notice
	for _, text := range h[HeaderNotice] {
		if n, ok := parseNotice(text, now); ok && len(list) < maxNotices {
			list = append(list, n)
		}
	}
	return list
}

func parseNotice(text string, now time.Time) (Notice, bool) {
	v, err := url.ParseQuery(text)
	if err != nil || v.Get(noticeProcess) == "" {
		return Notice{}, false
	}
	n := Notice{Process: v.Get(noticeProcess), Leaving: v.Has(noticeLeaving)}
	if v.Has(noticeRate) {
		if n.Rate, err = ParseRate(v.Get(noticeRate)); err != nil {
			return Notice{}, false
		}
	}
	if v.Has(noticeAge) {
		ms, err := strconv.ParseInt(v.Get(noticeAge), 10, 64)
		if err != nil || ms < 0 || ms > maxAge.Milliseconds() {
			return Notice{}, false
		}
		n.At = now.Add(-time.Duration(ms) * time.Millisecond)
	}
	return n, true
}

// maxAge bounds the age of a notice, against overflow.
const maxAge = 10 * 365 * 24 * time.Hour
