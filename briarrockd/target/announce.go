package target

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"briarrock.example/briarrockd/http1"
	"briarrock.example/briarrockd/relay"
	"briarrock.example/mesh/event"
)

const (
	// admitAfterAnnouncements is the number of announcements after which a target gets calls
	// although its health check fails. A failing health check can be wrong. Fewer announcements are
	// no proof: one that was sent before the target deregistered may arrive late, but is never
	// followed by two more.
	admitAfterAnnouncements = 3
	// acceptEarlierStartAfter is the number of consecutive announcements with an earlier process
	// start after which they are accepted. The host's clock was then set back between two
	// processes of the target; without this rule the later process would be ignored for as long
	// as it runs.
	acceptEarlierStartAfter = 2
	// deregisterMargin is how much later than a deregistration a process with the same ID must
	// have started to count as another process. The deregistering process still runs for about
	// this long, and the host's clock may have been set back since that process started.
	deregisterMargin = 2 * time.Second
	// maxDeparted bounds the memory for targets that drain or have deregistered.
	maxDeparted = 256
	// healthCheckTimeout bounds one health check. healthCheckInterval is the pause after one
	// that failed, healthCheckIntervalRateLimited the pause if the target advertises a rate
	// limit.
	healthCheckTimeout             = time.Second
	healthCheckInterval            = 250 * time.Millisecond
	healthCheckIntervalRateLimited = 2 * time.Second
)

// HandleAnnouncement processes an announcement of a target. It returns false if the host already
// has maxTargets targets.
//
// Announcements can arrive late. One that was sent before the target started to drain must not
// bring calls back to it. One of an earlier process at the same address must not replace that of a
// later process.
func (t *Targets) HandleAnnouncement(a Announcement) bool {
	now := time.Now()
	t.mu.Lock()
	x := t.all[a.Addr]
	if t.isStale(x, a) {
		t.mu.Unlock()
		t.deps.Log.Emit(event.AnnounceBad, event.Fields{event.Subject: a.ID, "reason": "late", "born": a.StartMillis, "seq": a.Seq, "state": a.State})
		return true
	}
	if x != nil && (x.service != a.Service || x.announcement.ID != a.ID || x.announcement.StartMillis != a.StartMillis) {
		// A different service, ID or process at the same address is a different target.
		t.mu.Unlock()
		t.drop(x, "replaced by "+a.ID)
		return t.HandleAnnouncement(a)
	}
	if x == nil && len(t.all) >= maxTargets {
		t.mu.Unlock()
		return false
	}
	isNew := x == nil
	if isNew {
		x = t.newTarget(a)
		t.all[a.Addr] = x
	}
	old := x.announcement
	x.announcement, x.announcedAt = a, now
	x.announcements++
	x.earlierStarts = 0
	t.recordIfDraining(a)
	drain := t.draining || x.isDraining()
	t.mu.Unlock()
	if isNew {
		t.deps.Log.Emit(event.TargetUp, event.Fields{event.Subject: a.Addr, "service": a.Service, "id": a.ID, "born": a.StartMillis, "seq": a.Seq, "state": a.State, "slots": a.Slots})
	}
	t.apply(x, old, a, isNew, drain)
	return true
}

// isStale reports whether an announcement is older than what is already known of the target. It
// counts announcements with an earlier process start in x.earlierStarts. Those are accepted only if
// the known process has not announced itself for half of AnnouncementTimeout.
func (t *Targets) isStale(x *target, a Announcement) bool {
	if startMillis, ok := t.departed[a.ID]; ok && a.ID != "" && a.StartMillis <= startMillis && a.State != StateDraining {
		return true
	}
	if x == nil {
		return false
	}
	if a.StartMillis == 0 {
		// A process that has announced its start time once does so in every announcement, so
		// this one has a different sender.
		return a.ID != "" && a.ID == x.announcement.ID && x.announcement.StartMillis != 0
	}
	if a.StartMillis < x.announcement.StartMillis {
		x.earlierStarts++
		return x.earlierStarts < acceptEarlierStartAfter || time.Since(x.announcedAt) < t.deps.AnnouncementTimeout/2
	}
	return a.StartMillis == x.announcement.StartMillis && a.ID == x.announcement.ID && a.Seq < x.announcement.Seq
}

// recordIfDraining records that a target drains. A process never leaves that state.
func (t *Targets) recordIfDraining(a Announcement) {
	if a.State == StateDraining && a.ID != "" {
		t.recordDeparted(a.ID, a.StartMillis)
	}
}

func (t *Targets) recordDeparted(id string, startMillis int64) {
	if len(t.departed) >= maxDeparted {
		clear(t.departed)
	}
	t.departed[id] = max(t.departed[id], startMillis)
}

// apply applies an announcement that is not stale. drain is set if no new call may start.
func (t *Targets) apply(x *target, old, a Announcement, isNew, drain bool) {
	if isNew || old.Slots != a.Slots || old.State != a.State {
		x.step(t.limits(a))
		x.step(Drain{On: drain})
		t.deps.Log.Emit(event.TargetState, event.Fields{event.Subject: a.Addr, "id": a.ID, "from": old.State, "state": a.State, "seq": a.Seq})
	}
	admitted := t.admit(x)
	if isNew && !admitted {
		t.wg.Go(func() { t.awaitHealthy(x) })
	}
	if isNew || admitted || old.Slots != a.Slots || old.State != a.State || old.Version != a.Version {
		t.notifyChange()
	}
}

// admit lets calls pass to a target that needs no health check or has sent admitAfterAnnouncements
// announcements, once the node has a configuration. It reports whether the target was admitted by
// this call.
func (t *Targets) admit(x *target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if x.admitted || t.snap == nil || (x.announcements < admitAfterAnnouncements && x.announcement.ID != "" && t.healthPath(x.service) != "") {
		return false
	}
	x.admitted = true
	return true
}

func (t *Targets) healthPath(service string) string {
	svc, ok := t.snap.Service(service)
	if !ok {
		return ""
	}
	return svc.Health
}

// awaitHealthy repeats the health check of a target that is new to this process until the check
// succeeds or the target drains or is gone.
//
// A node process that was restarted while a target drains does not know that it drains, and a
// late announcement could present the target as up. The health check shows the target's present
// state.
//
// Before the node has a configuration no call passes: the target's nested calls go through this
// node, which would refuse all of them.
func (t *Targets) awaitHealthy(x *target) {
	select {
	case <-t.done:
		return
	case <-t.configured:
	}
	for {
		ok := t.checkHealth(x)
		t.mu.Lock()
		same := t.all[x.addr] == x
		done := x.admitted || !same || x.isDraining()
		if ok && same {
			x.admitted = true
		}
		t.mu.Unlock()
		if ok && same && !done {
			t.notifyChange()
		}
		if ok || done {
			return
		}
		pause := healthCheckInterval
		if notice, _ := x.notice(); notice.Rate.bounded {
			pause = healthCheckIntervalRateLimited
		}
		select {
		case <-t.done:
			return
		case <-time.After(pause):
		}
	}
}

// checkHealth sends one health check and reports whether it succeeded.
func (t *Targets) checkHealth(x *target) bool {
	t.mu.Lock()
	path := t.healthPath(x.service)
	id := x.announcement.ID
	t.mu.Unlock()
	if path == "" {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), healthCheckTimeout)
	defer cancel()
	u := url.URL{Scheme: x.url.Scheme, Host: x.url.Host, Path: path}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return false
	}
	req.Header.Set("User-Agent", "")
	sent := time.Now()
	res, err := x.transport.RoundTrip(req)
	if err != nil {
		return false
	}
	t.observeHealth(x, res.Header, sent)
	_ = relay.BufferResponse(res, maxAnnouncementBytes)
	t.deps.Log.Emit(event.TargetState, event.Fields{event.Subject: x.addr, "id": id, "health": res.StatusCode})
	return res.StatusCode == http.StatusOK
}

// Deregister removes the target with this ID, whose process that started at startMillis has
// reported that it stops for good. It returns false if a later process with the ID is known: the
// report has arrived late, and that process stays. startMillis is 0 if the report doesn't name
// it, and then stands for the process that is known.
//
// A node process that has just started may not know the target yet. A delayed announcement would
// then look like one of a new target and bring calls to a process that has stopped. If the start
// time of that process is not reported, it is before now.
func (t *Targets) Deregister(id string, startMillis int64) bool {
	if id == "" {
		return true
	}
	known, late := false, false
	for _, x := range t.list() {
		last := t.lastAnnouncement(x)
		if last.ID != id {
			continue
		}
		known = true
		if startMillis != 0 && startMillis < last.StartMillis {
			late = true
			continue
		}
		startMillis = max(startMillis, last.StartMillis)
		t.mu.Lock()
		t.recordDeparted(id, startMillis)
		t.mu.Unlock()
		t.drop(x, "left")
	}
	if !known && startMillis == 0 {
		startMillis = time.Now().Add(deregisterMargin).UnixMilli()
	}
	t.mu.Lock()
	t.recordDeparted(id, startMillis)
	t.mu.Unlock()
	return !late
}

func (t *Targets) newTarget(a Announcement) *target {
	x := &target{
		service: a.Service,
		addr:    a.Addr,
		process: cmp.Or(a.ID, a.Addr) + "/" + strconv.FormatInt(a.StartMillis, 10),
		crashID: rand.Uint64(),
		url:     &url.URL{Scheme: "http", Host: a.Addr},
		pool: http1.NewPool(http1.PoolConfig{
			Dial: relay.Dialer(dialTimeout, t.deps.Dial), IdleTimeout: idleTimeout,
			MaxConnsPerAddr: a.Connections, ResponseMatches: t.deps.ResponseMatches,
		}),
		gate:    NewGate(Limits{Slots: a.Slots, Queue: 2 * a.Slots, LinkBytesPerSecond: t.deps.LinkBytesPerSecond}),
		waiters: make(map[CallID]chan Cmd),
	}
	x.transport = x.pool
	if t.deps.WrapTransport != nil {
		x.transport = t.deps.WrapTransport(x.pool)
	}
	return x
}
