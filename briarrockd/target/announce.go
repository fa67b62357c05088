package target

import (
	"cmp"
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"briarrock.example/briarrockd/http1"
	"briarrock.example/briarrockd/relay"
	"briarrock.example/mesh/event"
)

const (
	// admitAfterAnnouncements is how many announcements make a target believed that does not
	// answer its health check: such answers can be wrong either way, but a
	// late announcement from before it left is never followed by two more.
	admitAfterAnnouncements = 3
	// acceptEarlierStartAfter is how many announcements in a row with an earlier start are
	// believed after all: the host's clock has gone back between two processes
	// of the target, and the later one would otherwise never be heard.
	acceptEarlierStartAfter = 2
	// deregisterMargin is how much later than a target's word that it leaves a process
	// of the same ID must have begun to be another one: it is up for about so long
	// after it, and the host's clock may have been set back since it began.
	deregisterMargin = 2 * time.Second
	// maxDeparted bounds the memory for targets that have left.
	maxDeparted = 256
	// healthCheckTimeout bounds a health check, checkAgain is the pause after one that
	// failed.
	// checkAgainPaced is the pause if the target names a rate.
	healthCheckTimeout             = time.Second
	healthCheckInterval            = 250 * time.Millisecond
	healthCheckIntervalRateLimited = 2 * time.Second
)

// HandleAnnouncement takes what a target says of itself. It returns false if the host has
// too many targets for one more.
//
// Announcements can be late: one from before the target said that it leaves
// must not bring work back to it, and one of an earlier process at the same
// address must not replace a later one's.
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
		// Another service, name or process at the same address is another target.
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

// isStale tells whether an announcement is from before what is known already.
func (t *Targets) isStale(x *target, a Announcement) bool {
	if startMillis, ok := t.departed[a.ID]; ok && a.ID != "" && a.StartMillis <= startMillis && a.State != StateDraining {
		return true
	}
	if x == nil {
		return false
	}
	if a.StartMillis == 0 {
		// Another writer's: a process that has said when it began always does.
		return a.ID != "" && a.ID == x.announcement.ID && x.announcement.StartMillis != 0
	}
	if a.StartMillis < x.announcement.StartMillis {
		x.earlierStarts++
		return x.earlierStarts < acceptEarlierStartAfter || time.Since(x.announcedAt) < t.deps.AnnouncementTimeout/2
	}
	return a.StartMillis == x.announcement.StartMillis && a.ID == x.announcement.ID && a.Seq < x.announcement.Seq
}

// recordIfDraining remembers that a target leaves: within one process that is final.
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

// apply acts on an announcement that is not late. drain is set if nothing new may run.
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
	if isNew || admitted || old.Slots != a.Slots || old.State != a.State {
		t.notifyChange()
	}
}

// admit lets calls pass to a target that needs no health check, or that has
// announced itself often enough. It tells whether that is new.
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

// awaitHealthy asks a target that this process has not known before whether it is
// well, until it is or has left.
//
// A process that was restarted beside a target which is leaving knows nothing
// of that. A late announcement could tell it that the target is up, and it
// would send new work to it. The target's own answer is of the moment.
//
// Before the node has a configuration no call passes: the calls that a run makes
// come to this very node, and would all be refused.
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

// checkHealth asks a target once.
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
	_ = relay.Whole(res, maxAnnouncement)
	t.deps.Log.Emit(event.TargetState, event.Fields{event.Subject: x.addr, "id": id, "health": res.StatusCode})
	return res.StatusCode == http.StatusOK
}

// Deregister takes a target's word that it leaves for good.
//
// This process may have been started so lately that it hasn't heard of the target
// before. An announcement that was held up would then seem to be a new target's,
// and bring work to one that has left. When the target began is not known here,
// but it was before now.
func (t *Targets) Deregister(id string) {
	if id == "" {
		return
	}
	known := false
	for _, x := range t.list() {
		last := t.lastAnnouncement(x)
		if last.ID != id {
			continue
		}
		known = true
		last.State = StateDraining
		t.mu.Lock()
		t.recordIfDraining(last)
		t.mu.Unlock()
		t.drop(x, "left")
	}
	if !known {
		t.mu.Lock()
		t.recordDeparted(id, time.Now().Add(deregisterMargin).UnixMilli())
		t.mu.Unlock()
	}
}

func (t *Targets) newTarget(a Announcement) *target {
	x := &target{
		service: a.Service,
		addr:    a.Addr,
		process: cmp.Or(a.ID, a.Addr) + "/" + strconv.FormatInt(a.StartMillis, 10),
		url:     &url.URL{Scheme: "http", Host: a.Addr},
		pool: http1.NewPool(http1.PoolConfig{
			Dial: relay.Dialer(dialTimeout, t.deps.Dial), Idle: idleTimeout,
			Most: a.Connections, Belongs: t.deps.ResponseMatches,
		}),
		gate:    NewGate(Limits{Slots: a.Slots, Queue: 2 * a.Slots, LinkBandwidth: t.deps.LinkBandwidth}),
		waiters: make(map[CallID]chan Cmd),
	}
	x.transport = x.pool
	if t.deps.WrapTransport != nil {
		x.transport = t.deps.WrapTransport(x.pool)
	}
	return x
}
