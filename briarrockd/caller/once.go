package caller

import (
	"io"
	"net/http"

	"briarrock.example/briarrockd/claim"
	"briarrock.example/briarrockd/target"
	"briarrock.example/mesh/kind"
)

// once runs a call that may run at most once and carries a key.
func (p *Proxy) once(w http.ResponseWriter, c *call) {
	key := c.r.Header.Get(HeaderKey)
	if len(key) > claim.MaxKeyBytes || len(c.r.Header[HeaderKey]) != 1 {
		p.fail(w, c, kind.Key, kind.RanNo, 0)
		return
	}
	d := p.deps.Claims.Begin(c.r.Context(), claim.Request{Service: c.service.Name, Key: key, Fingerprint: c.print})
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
	a := p.attemptAll(c)
	defer a.done()
	if a.res == nil {
		if a.ran == kind.RanNo {
			p.deps.Claims.Release(c.claim)
		}
		p.fail(w, c, a.kind, a.ran, a.after)
		return
	}
	keep := &keeper{status: a.res.StatusCode, mime: a.res.Header.Get("Content-Type")}
	p.answer(w, c, a, keep)
	p.deps.Claims.Finish(c.claim, keep.outcome())
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

// keeper copies an answer as it passes, up to the bound of a replay.
type keeper struct {
	status int
	mime   string
	body   []byte
	cut    bool
}

// kept is a body that a keeper copies.
type kept struct {
	io.ReadCloser
	k *keeper
}

func (k *keeper) wrap(b io.ReadCloser) io.ReadCloser { return &kept{b, k} }

// Read implements io.Reader.
func (b *kept) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if len(b.k.body)+n > claim.MaxBodyBytes {
		b.k.cut = true
		b.k.body = nil
	}
	if !b.k.cut {
		b.k.body = append(b.k.body, p[:n]...)
	}
	return n, err //nolint:wrapcheck // io.EOF must pass as it is
}

func (k *keeper) outcome() claim.Outcome {
	return claim.Outcome{Status: k.status, ContentType: k.mime, Body: k.body, BodyOmitted: k.cut}
}
