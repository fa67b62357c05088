package caller

import (
	"net/url"
	"strings"
)

// routePath returns the path by which the route of a request is found: the decoded path, but
// with encoded slashes left encoded. The target gets the path as it was sent, where an encoded
// slash separates no segments, so it must not match that of a route's path either.
func routePath(u *url.URL) string {
	if u.RawPath == "" {
		return u.Path
	}
	segments := strings.Split(u.RawPath, "/")
	for i, s := range segments {
		if decoded, err := url.PathUnescape(s); err == nil && !strings.Contains(decoded, "/") {
			segments[i] = decoded
		}
	}
	return strings.Join(segments, "/")
}
