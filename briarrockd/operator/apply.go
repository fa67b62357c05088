package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"regexp"
	"strings"
	"time"

	"briarrock.example/briarrockd/peer"
	"briarrock.example/mesh/event"
	api "briarrock.example/mesh/operator"
	"briarrock.example/mesh/platform"
	"briarrock.example/mesh/snapshot"
)

// Bounds of what an operator says of an edit.
const (
	maxNote    = 1024
	maxChanges = 200
)

// writeRule is the form of the id of an edit.
var writeRule = regexp.MustCompile(`^[A-Za-z0-9-]{8,64}$`)

func (o *API) apply(w http.ResponseWriter, r *http.Request) {
	var a api.Apply
	dec := json.NewDecoder(io.LimitReader(r.Body, maxRequest))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !writeRule.MatchString(a.Write) || len(a.Note) > maxNote {
		http.Error(w, "write must be 8 to 64 letters, digits and dashes, and note 1024 bytes at most", http.StatusBadRequest)
		return
	}
	// The edit goes on when its operator hangs up: once begun, it must end in
	// one of its outcomes and be found in the audit trail.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), timeout)
	defer cancel()
	e := edit{o: o, in: a, who: who(r), from: r.RemoteAddr}
	res := e.run(ctx)
	e.record(res)
	reply(w, res)
}

// edit is one edit on its way in.
type edit struct {
	o     *API
	in    api.Apply
	who   string
	from  string
	row   platform.Row
	head  platform.Head
	snap  *snapshot.Snapshot
	bytes []byte
}

func (e *edit) result(out api.Outcome, text string) api.Result {
	return api.Result{Outcome: out, Base: e.in.Base, Write: e.in.Write, Text: text}
}

func (e *edit) run(ctx context.Context) api.Result {
	snap, b, mistakes := compile(e.in.Text)
	if mistakes != nil {
		res := e.result(api.Invalid, "the text has mistakes; nothing changed")
		res.Mistakes = mistakes
		return res
	}
	e.snap, e.bytes = snap, b
	row, head, err := e.o.head(ctx)
	if err != nil {
		return e.result(api.Refused, "the platform's store does not answer; nothing changed. What is in force goes on. Try again later")
	}
	e.row, e.head = row, head
	if e.in.Head {
		e.in.Base = head.Version
	}
	res, done := e.compare(ctx)
	if done {
		return res
	}
	return e.commit(ctx, res)
}

// compare finds what the edit changes, and ends it early if that is nothing,
// if it is too late already, or if it was only to be planned.
func (e *edit) compare(ctx context.Context) (api.Result, bool) {
	res := e.result(api.Planned, "this is what would change")
	hash := snapshot.Sum(e.bytes)
	res.Hash = hash.String()
	if e.head.Write == e.in.Write {
		res.Outcome, res.Version, res.Text = api.Accepted, e.head.Version, "this edit is in force already"
		return res, true
	}
	old, err := e.current(ctx)
	if err != nil {
		return e.result(api.Refused, "the platform's store does not answer; nothing changed"), true
	}
	changes := snapshot.Diff(old, e.snap)
	for _, c := range changes {
		if c.Sign == "-" {
			res.Removed = append(res.Removed, c.Resource)
		}
		if len(res.Changes) < maxChanges {
			res.Changes = append(res.Changes, c.String())
		}
	}
	for _, d := range e.o.deps.Peers.Status(ctx).Domains {
		res.Nodes += d.Members
	}
	if e.head.Version == e.in.Base && e.head.Hash == res.Hash && e.head.Text == snapshot.Sum(e.in.Text).String() {
		res.Outcome, res.Version, res.Text = api.Unchanged, e.head.Version, "the text in force is this one already"
		return res, true
	}
	return res, e.in.Dry
}

func (e *edit) current(ctx context.Context) (*snapshot.Snapshot, error) {
	if e.head.Version == 0 {
		return nil, nil //nolint:nilnil // nothing is in force yet
	}
	h, err := snapshot.ParseHash(e.head.Hash)
	if err != nil {
		return nil, err
	}
	b, err := e.o.object(ctx, e.head.Hash)
	if err != nil {
		return nil, err
	}
	return snapshot.Open(b, h)
}

func (e *edit) commit(ctx context.Context, res api.Result) api.Result {
	fin := platform.Apply(ctx, e.o.deps.Store, platform.Edit{
		Audit: platform.Audit{
			Base: e.in.Base, Hash: res.Hash, Text: snapshot.Sum(e.in.Text).String(), Write: e.in.Write,
			Who: e.who, From: e.from, Host: e.o.deps.Host, At: time.Now().UTC(), Note: e.in.Note, Changes: res.Changes,
		},
		Text:     e.in.Text,
		Snapshot: e.bytes,
	}, e.row)
	switch fin.Outcome {
	case platform.Accepted:
		return e.accepted(res, fin.Audit)
	case platform.Conflicted:
		return e.conflict(fin.Audit)
	case platform.Undecided:
		return e.result(api.Undecided, "the store's answer was lost and it can't be asked now; the edit may or may not be in. "+
			"Run the same command again with --write "+e.in.Write+": it will not go in twice")
	default:
		return e.result(api.Refused, "the platform's store does not answer; nothing changed")
	}
}

func (e *edit) accepted(res api.Result, a platform.Audit) api.Result {
	res.Outcome, res.Version, res.Text = api.Accepted, a.Version, "accepted"
	hash, err := snapshot.ParseHash(a.Hash)
	if err == nil {
		e.o.deps.Peers.Post(peer.Committed{Version: a.Version, Hash: hash, Content: e.bytes})
	}
	e.o.deps.Log.Emit(event.EditAccepted, event.Fields{"version": a.Version, "who": e.who, "write": e.in.Write})
	e.o.wg.Go(func() { e.o.watchConverge(a) })
	return res
}

func (e *edit) conflict(other platform.Audit) api.Result {
	res := e.result(api.Conflict, "another edit came first; nothing of yours was lost or applied. Look at it, then apply yours on top of it")
	if other.Version > 0 {
		res.Other = &other
		res.Version = other.Version
	}
	return res
}

// record keeps an edit that was not accepted for the audit trail, as well as
// that can be done: while the store is down, the log has it.
func (e *edit) record(res api.Result) {
	switch res.Outcome {
	case api.Accepted, api.Unchanged, api.Planned:
		return
	case api.Conflict:
		e.o.deps.Log.Emit(event.EditConflict, event.Fields{"who": e.who, "base": e.in.Base, "write": e.in.Write})
	case api.Undecided:
		e.o.deps.Log.Emit(event.EditUnknown, event.Fields{"who": e.who, "base": e.in.Base, "write": e.in.Write})
	default:
		e.o.deps.Log.Emit(event.EditRefused, event.Fields{"who": e.who, "base": e.in.Base, "outcome": string(res.Outcome)})
	}
	if e.in.Dry {
		return
	}
	text := res.Text
	if len(res.Mistakes) > 0 {
		text = strings.SplitN(res.Mistakes.Error(), "\n", 2)[0]
	}
	a := api.Attempt{
		At: time.Now().UTC(), Who: e.who, From: e.from, Host: e.o.deps.Host,
		Outcome: res.Outcome, Base: e.in.Base, Write: e.in.Write, Text: text,
	}
	e.o.wg.Go(func() { e.o.keepAttempt(a) })
}
