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

const (
	// maxNoteBytes is the maximum length of an edit's note.
	maxNoteBytes = 1024
	// maxChanges bounds the changes that a result and an audit row list.
	maxChanges = 200
)

// writePattern matches a valid id of an edit.
var writePattern = regexp.MustCompile(`^[A-Za-z0-9-]{8,64}$`)

func (o *API) apply(w http.ResponseWriter, r *http.Request) {
	var a api.Apply
	dec := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !writePattern.MatchString(a.Write) || len(a.Note) > maxNoteBytes {
		http.Error(w, "write must be 8 to 64 letters, digits and dashes, and note 1024 bytes at most", http.StatusBadRequest)
		return
	}
	// The edit continues when the operator disconnects: once started, it must
	// reach an outcome and appear in the audit trail.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), storeTimeout)
	defer cancel()
	e := edit{api: o, request: a, operator: operatorName(r), remoteAddr: r.RemoteAddr}
	res := e.run(ctx)
	e.record(res)
	reply(w, res)
}

// edit is one edit that is being processed.
type edit struct {
	api        *API
	request    api.Apply
	operator   string
	remoteAddr string
	// headRow and head are the head that the edit is compared with.
	headRow platform.Row
	head    platform.Head
	// snap is the snapshot compiled from the edit's text, and encoded its encoding.
	snap    *snapshot.Snapshot
	encoded []byte
}

func (e *edit) result(out api.Outcome, text string) api.Result {
	return api.Result{Outcome: out, Base: e.request.Base, Write: e.request.Write, Text: text}
}

func (e *edit) run(ctx context.Context) api.Result {
	snap, b, mistakes := compile(e.request.Text)
	if mistakes != nil {
		res := e.result(api.Invalid, "the text is invalid; nothing changed")
		res.Mistakes = mistakes
		return res
	}
	e.snap, e.encoded = snap, b
	row, head, err := e.api.head(ctx)
	if err != nil {
		return e.result(api.Refused, "the platform's store is unavailable; nothing changed, and the current version stays in force. Try again later")
	}
	e.headRow, e.head = row, head
	if e.request.Head {
		e.request.Base = head.Version
	}
	res, done := e.compare(ctx)
	if done {
		return res
	}
	return e.commit(ctx, res)
}

// compare computes what the edit changes. It returns true if the result is final:
// the edit has been committed already, the store is unavailable, the edit changes
// nothing, or it is a dry run.
func (e *edit) compare(ctx context.Context) (api.Result, bool) {
	res := e.result(api.Planned, "dry run: these changes would be made")
	hash := snapshot.Sum(e.encoded)
	res.Hash = hash.String()
	if e.head.Write == e.request.Write {
		res.Outcome, res.Version, res.Text = api.Accepted, e.head.Version, "this edit was already accepted"
		return res, true
	}
	old, err := e.current(ctx)
	if err != nil {
		return e.result(api.Refused, "the platform's store is unavailable; nothing changed"), true
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
	for _, d := range e.api.deps.Peers.Status(ctx).Domains {
		res.Nodes += d.Members
	}
	if e.head.Version == e.request.Base && e.head.Hash == res.Hash && e.head.Text == snapshot.Sum(e.request.Text).String() {
		res.Outcome, res.Version, res.Text = api.Unchanged, e.head.Version, "this text is already in force"
		return res, true
	}
	return res, e.request.Dry
}

// current reads the snapshot of the head; it is nil if there is no version yet.
func (e *edit) current(ctx context.Context) (*snapshot.Snapshot, error) {
	if e.head.Version == 0 {
		return nil, nil //nolint:nilnil // there is no version yet
	}
	h, err := snapshot.ParseHash(e.head.Hash)
	if err != nil {
		return nil, err
	}
	b, err := e.api.object(ctx, e.head.Hash)
	if err != nil {
		return nil, err
	}
	return snapshot.Open(b, h)
}

func (e *edit) commit(ctx context.Context, res api.Result) api.Result {
	applied := platform.Apply(ctx, e.api.deps.Store, platform.Edit{
		Audit: platform.Audit{
			Base: e.request.Base, Hash: res.Hash, Text: snapshot.Sum(e.request.Text).String(), Write: e.request.Write,
			Who: e.operator, From: e.remoteAddr, Host: e.api.deps.Host, At: time.Now().UTC(), Note: e.request.Note, Changes: res.Changes,
		},
		Text:     e.request.Text,
		Snapshot: e.encoded,
	}, e.headRow)
	switch applied.Outcome {
	case platform.Accepted:
		return e.accepted(res, applied.Audit)
	case platform.Conflicted:
		return e.conflict(applied.Audit)
	case platform.Undecided:
		return e.result(api.Undecided, "the store's answer was lost and the store is unavailable now; the edit may or may not have been committed. "+
			"Run the same command again with --write "+e.request.Write+": the edit will not be committed twice")
	default:
		return e.result(api.Refused, "the platform's store is unavailable; nothing changed")
	}
}

func (e *edit) accepted(res api.Result, a platform.Audit) api.Result {
	res.Outcome, res.Version, res.Text = api.Accepted, a.Version, "accepted"
	hash, err := snapshot.ParseHash(a.Hash)
	if err == nil {
		e.api.deps.Peers.Post(peer.Committed{Version: a.Version, Hash: hash, Content: e.encoded})
	}
	e.api.deps.Log.Emit(event.EditAccepted, event.Fields{"version": a.Version, "who": e.operator, "write": e.request.Write})
	e.api.wg.Go(func() { e.api.recordConvergence(a) })
	return res
}

func (e *edit) conflict(other platform.Audit) api.Result {
	res := e.result(api.Conflict, "another edit was committed first; your edit was not applied. Review the other edit, then apply yours on top of it")
	if other.Version > 0 {
		res.Other = &other
		res.Version = other.Version
	}
	return res
}

// record logs an edit that was not accepted and stores it for the audit trail.
// While the store is unavailable, only the log has it.
func (e *edit) record(res api.Result) {
	switch res.Outcome {
	case api.Accepted, api.Unchanged, api.Planned:
		return
	case api.Conflict:
		e.api.deps.Log.Emit(event.EditConflict, event.Fields{"who": e.operator, "base": e.request.Base, "write": e.request.Write})
	case api.Undecided:
		e.api.deps.Log.Emit(event.EditUnknown, event.Fields{"who": e.operator, "base": e.request.Base, "write": e.request.Write})
	default:
		e.api.deps.Log.Emit(event.EditRefused, event.Fields{"who": e.operator, "base": e.request.Base, "outcome": string(res.Outcome)})
	}
	if e.request.Dry {
		return
	}
	text := res.Text
	if len(res.Mistakes) > 0 {
		text = strings.SplitN(res.Mistakes.Error(), "\n", 2)[0]
	}
	a := api.Attempt{
		At: time.Now().UTC(), Who: e.operator, From: e.remoteAddr, Host: e.api.deps.Host,
		Outcome: res.Outcome, Base: e.request.Base, Write: e.request.Write, Text: text,
	}
	e.api.wg.Go(func() { e.api.storeAttempt(a) })
}
