package target

import (
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// HeaderNotice carries the rates and drain states that targets have reported in their responses,
// one Notice for each value. The target's node sends them in its responses, and the nodes of the
// callers send them back to it in their requests. So a process that replaces the target's node
// receives them before it admits the first request to which they apply.
const HeaderNotice = "Briarrock-Notice"

// maxNotices bounds the notices in one header.
const maxNotices = maxTargets

// Notice is the state that one process of a target has reported in its responses.
type Notice struct {
	// Process identifies the target's process.
	Process string
	// Rate is the rate limit that it advertises.
	Rate Rate
	// Leaving is set once the process is about to stop. A process never takes that back.
	Leaving bool
	// At is when the rate was last reported; zero if unknown.
	At time.Time
}

// Fields of a notice on the wire.
const (
	noticeProcess = "process"
	noticeRate    = "rate"
	noticeLeaving = "leaving"
	noticeAge     = "age" // milliseconds
)

// WriteNotices adds notices to the headers of a request or response.
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

// ReadNotices returns the notices in the headers of a request or response, without malformed
// ones.
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

// maxAge bounds the age of a notice, to prevent an overflow.
const maxAge = 10 * 365 * 24 * time.Hour
