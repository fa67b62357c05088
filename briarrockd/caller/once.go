package caller

import (
	"io"
	"net/http"

	"briarrock.example/briarrockd/claim"
	"briarrock.example/briarrockd/target"
	"briarrock.example/mesh/kind"
)

// serveOnce serves a call that may run at most once and carries an idempotency key.
func (p *Proxy) serveOnce(w http.ResponseWriter, c *call) {
	key := c.r.Header.Get(HeaderKey)
	if len(key) > claim.MaxKeyBytes || len(c.r.Header[HeaderKey]) != 1 {
		p.fail(w, c, kind.Key, kind.RanNo, 0)
		return
	}
	d := p.deps.Claims.Begin(c.r.Context(), claim.Request{
		Service: c.service.Name, Workspace: c.workspaceName(), Key: key, Fingerprint: c.fingerprint,
	})
	if d.Verdict != claim.Run {
		p.returnToken(c) // whether or not an earlier call with the key ran, this one does not
	}
	switch d.Verdict {
	case claim.Run:
		c.claim = d.Claim
		p.runOnce(w, c)
	case claim.Replay:
		p.replay(w, c, d.Outcome)
	case claim.OutcomeUnknown:
		p.fail(w, c, kind.Repeat, kind.RanUnknown, 0)
	case claim.Conflict:
		p.fail(w, c, kind.Conflict, kind.RanNo, 0)
	default:
		p.fail(w, c, kind.Claim, kind.RanNo, 0)
	}
}

func (p *Proxy) runOnce(w http.ResponseWriter, c *call) {
	a := p.runAttempts(c)
	defer a.release()
	if a.res == nil {
		if a.ran == kind.RanNo {
			p.deps.Claims.Release(c.claim)
		}
		p.fail(w, c, a.kind, a.ran, a.retryAfter)
		return
	}
	rec := &responseRecorder{status: a.res.StatusCode, contentType: a.res.Header.Get("Content-Type")}
	p.writeResponse(w, c, a, rec)
	p.deps.Claims.Finish(c.claim, rec.outcome())
}

func (p *Proxy) replay(w http.ResponseWriter, c *call, o claim.Outcome) {
	h := w.Header()
	h.Set(target.HeaderTrace, c.trace)
	h.Set(kind.HeaderRan, kind.RanYes.String())
	h.Set(HeaderReplay, "yes")
	if o.ContentType != "" {
		h.Set("Content-Type", o.ContentType)
	}
	w.WriteHeader(o.Status)
	_, _ = w.Write(o.Body)
}

// responseRecorder copies a response while it is sent to the caller, up to the size limit
// of replays.
type responseRecorder struct {
	status      int
	contentType string
	body        []byte
	truncated   bool
}

// recordedBody is a response's body that a responseRecorder copies as it is read.
type recordedBody struct {
	io.ReadCloser
	rec *responseRecorder
}

func (rec *responseRecorder) wrap(b io.ReadCloser) io.ReadCloser { return &recordedBody{b, rec} }

// Read implements io.Reader.
func (b *recordedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if len(b.rec.body)+n > claim.MaxBodyBytes {
		b.rec.truncated = true
		b.rec.body = nil
	}
	if !b.rec.truncated {
		b.rec.body = append(b.rec.body, p[:n]...)
	}
	return n, err //nolint:wrapcheck // io.EOF must not be wrapped
}

func (rec *responseRecorder) outcome() claim.Outcome {
	return claim.Outcome{Status: rec.status, ContentType: rec.contentType, Body: rec.body, BodyOmitted: rec.truncated}
}
