package caller

// The slowness of a target is the duration of its calls relative to the usual duration of
// their routes. It is learned over all routes: the mean duration of a target's calls
// varies with the mix of short and long ones that it happened to get.
const (
	// usualWeight is the weight of the newest response in the usual duration of a route.
	usualWeight = 0.02
	// slownessWeight is the weight of the newest response in a target's slowness.
	slownessWeight = 0.3
	// maxUsualRoutes bounds the routes of a service whose usual duration is kept.
	maxUsualRoutes = 256
)

// observeRoute records the duration of a route's calls at a target, and returns it
// divided by the usual one; 0 if that is unknown.
func (b *Balancer) observeRoute(service string, f Feedback) float64 {
	routes := b.usual[service]
	if routes == nil {
		if len(b.usual) >= maxServices {
			clear(b.usual)
		}
		routes = make(map[string]float64)
		b.usual[service] = routes
	}
	d := f.RouteDuration.Seconds()
	usual := routes[f.Route]
	if usual == 0 {
		if len(routes) < maxUsualRoutes {
			routes[f.Route] = d
		}
		return 0
	}
	routes[f.Route] = usual + usualWeight*(d-usual)
	return d / usual
}

// observeSlowness records the relative duration of a call.
func (s *state) observeSlowness(ratio float64) {
	switch {
	case ratio <= 0:
	case s.slowness == 0:
		s.slowness = ratio
	default:
		s.slowness += slownessWeight * (ratio - s.slowness)
	}
}
