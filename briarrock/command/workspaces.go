package command

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"

	"briarrock.example/mesh/snapshot"
	"briarrock.example/mesh/text"
)

// workspaces lists the workspaces of the newest version, or shows one.
type workspaces struct {
	show *flaggy.Subcommand
	name string
}

func (c *workspaces) flags(s *flaggy.Subcommand) {
	c.show = flaggy.NewSubcommand("show")
	c.show.Description = "show one workspace"
	c.show.AddPositionalValue(&c.name, "NAME", 1, true, "the workspace")
	s.AttachSubcommand(c.show, 1)
}

// workspaceView is the output for one workspace. It has the number of keys only.
type workspaceView struct {
	Version  uint64  `json:"version"`
	Name     string  `json:"name"`
	Keys     int     `json:"keys"`
	Priority string  `json:"priority,omitempty"` // empty: that of the route
	Rate     float64 `json:"rate,omitempty"`     // requests per second; 0: no limit
	Burst    float64 `json:"burst,omitempty"`
}

func newWorkspaceView(version uint64, w *snapshot.Workspace) workspaceView {
	v := workspaceView{Version: version, Name: w.Name, Keys: len(w.Keys), Rate: w.Rate, Burst: w.Burst}
	if w.Priority != nil {
		v.Priority = w.Priority.String()
	}
	return v
}

func (v workspaceView) String() string {
	limit := "no limit"
	if v.Rate > 0 {
		limit = fmt.Sprintf("%v requests a second, burst %v", v.Rate, v.Burst)
	}
	unit := "keys"
	if v.Keys == 1 {
		unit = "key"
	}
	return fmt.Sprintf("%s: %d %s, %s, priority %s", v.Name, v.Keys, unit, limit, orDefault(v.Priority, "of the route"))
}

func (c *workspaces) run(ctx context.Context, e *env) int {
	client, err := e.client()
	if err != nil {
		return e.reportFailure(err)
	}
	head, err := client.Text(ctx, 0)
	if err != nil {
		return e.reportFailure(err)
	}
	if head.Version == 0 {
		e.printError("there is no version yet")
		return ExitInvalid
	}
	s, err := text.Compile(head.Text)
	if err != nil {
		e.printError("version %d: %v", head.Version, err)
		return ExitInvalid
	}
	views := make([]workspaceView, 0, len(s.Workspaces))
	for i := range s.Workspaces {
		views = append(views, newWorkspaceView(head.Version, &s.Workspaces[i]))
	}
	if c.show.Used {
		return c.showOne(e, head.Version, views)
	}
	if e.json {
		e.writeJSON(views)
		return ExitDone
	}
	for _, v := range views {
		e.printf("%s", v)
	}
	e.printf("version %d has %d workspaces", head.Version, len(views))
	return ExitDone
}

func (c *workspaces) showOne(e *env, version uint64, views []workspaceView) int {
	for _, v := range views {
		if v.Name != c.name {
			continue
		}
		if e.json {
			e.writeJSON(v)
		} else {
			e.printf("%s (version %d)", v, version)
		}
		return ExitDone
	}
	e.printError("version %d has no workspace %q", version, c.name)
	return ExitInvalid
}
