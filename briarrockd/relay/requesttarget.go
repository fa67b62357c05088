package relay

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

// ErrRequestTarget is returned for a request whose target cannot be forwarded unchanged.
var ErrRequestTarget = errors.New("relay: request target cannot be forwarded unchanged")

// RequestTarget returns the target of an incoming request as it is forwarded: the path and
// query, byte for byte as received, or "*". The absolute form is reduced to path and query.
func RequestTarget(in *http.Request) (string, error) {
	u, err := outgoingURL(new(url.URL), in)
	if err != nil {
		return "", err
	}
	return u.RequestURI(), nil
}

// outgoingURL returns a URL with the scheme and host of base that net/http writes with the
// request target of in.
func outgoingURL(base *url.URL, in *http.Request) (*url.URL, error) {
	target, ok := originForm(in)
	if !ok {
		return nil, errors.Wrapf(ErrRequestTarget, "%s %q", in.Method, in.RequestURI)
	}
	u := &url.URL{Scheme: base.Scheme, Host: base.Host}
	if !strings.HasPrefix(target, "//") {
		u.Opaque = target
		return u, nil
	}
	// net/http would add a scheme to an opaque part that begins with two slashes. The parsed
	// path takes its place if it is written in the same way.
	u.Path, u.RawPath, u.RawQuery, u.ForceQuery = in.URL.Path, in.URL.RawPath, in.URL.RawQuery, in.URL.ForceQuery
	if u.RequestURI() != target {
		return nil, errors.Wrapf(ErrRequestTarget, "%s %q", in.Method, in.RequestURI)
	}
	return u, nil
}

// originForm returns the target of a request in the origin or asterisk form (RFC 9112,
// section 3.2). It returns false if the target has neither of them, nor the absolute form.
func originForm(in *http.Request) (string, bool) {
	target := in.RequestURI
	if in.URL.Scheme == "http" || in.URL.Scheme == "https" {
		if _, rest, ok := strings.Cut(target, "://"); ok {
			target = strings.TrimLeftFunc(rest, func(r rune) bool { return r != '/' && r != '?' })
		}
	}
	switch {
	case in.Method == http.MethodConnect:
		return "", false // its target is an authority
	case target == "*":
		return target, in.Method == http.MethodOptions
	case !strings.HasPrefix(target, "/"):
		return "", false
	}
	// A request line of HTTP/1.1 ends at these bytes, which HTTP/2 permits.
	return target, !strings.ContainsFunc(target, func(r rune) bool { return r <= ' ' || r == 0x7f })
}
