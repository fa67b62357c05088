package command

import (
	"context"
	"time"

	"github.com/integrii/flaggy"

	api "briarrock.example/mesh/operator"
)

// Actions of the command rollout.
const (
	rolloutStart   = "start"
	rolloutStatus  = "status"
	rolloutAbort   = "abort"
	rolloutHistory = "history"
)

// defaultRolloutLimit is the time limit of a roll-out unless --limit gives another.
const defaultRolloutLimit = 2 * time.Minute

// rolloutCommand moves a service's traffic to another version of its targets.
type rolloutCommand struct {
	action, service, version string
	limit                    time.Duration
	watch                    bool
}

func (c *rolloutCommand) flags(s *flaggy.Subcommand) {
	c.limit = defaultRolloutLimit
	s.AddPositionalValue(&c.action, "ACTION", 1, true, "start, status, abort or history")
	s.AddPositionalValue(&c.service, "SERVICE", 2, false, "the service; status and history show all without it")
	s.AddPositionalValue(&c.version, "VERSION", 3, false, "the version of targets to move to, for start")
	s.Duration(&c.limit, "l", "limit", "by when the roll-out is to end, for start")
	s.Bool(&c.watch, "w", "watch", "show it each second until it has ended, for start and status")
}

func (c *rolloutCommand) run(ctx context.Context, e *env) int {
	needsService := c.action == rolloutStart || c.action == rolloutAbort
	switch {
	case c.action != rolloutStart && c.action != rolloutStatus && c.action != rolloutAbort && c.action != rolloutHistory:
		e.printError("%q is none of start, status, abort and history", c.action)
		return ExitUsage
	case needsService && c.service == "":
		e.printError("which service?")
		return ExitUsage
	case c.action == rolloutStart && c.version == "":
		e.printError("which version?")
		return ExitUsage
	}
	client, err := e.client()
	if err != nil {
		return e.reportFailure(err)
	}
	switch c.action {
	case rolloutHistory:
		list, err := client.RolloutHistory(ctx, c.service)
		if err != nil {
			return e.reportFailure(err)
		}
		e.showRollouts(list)
		return ExitDone
	case rolloutStatus:
		return c.show(ctx, e, client)
	}
	r, err := client.OrderRollout(ctx, api.RolloutOrder{Service: c.service, Target: c.version, Millis: c.limit.Milliseconds(), Abort: c.action == rolloutAbort})
	if err != nil {
		e.printError("%v", err)
		return ExitRefused
	}
	if c.watch && c.action == rolloutStart {
		return c.show(ctx, e, client)
	}
	e.showRollouts(api.Rollouts{Rollouts: []api.Rollout{r}})
	return ExitDone
}

// show shows the roll-outs, with --watch until those of the service have ended. It fails if
// the watched one was rolled back.
func (c *rolloutCommand) show(ctx context.Context, e *env, client *api.Client) int {
	for {
		all, err := client.Rollouts(ctx)
		if err != nil {
			return e.reportFailure(err)
		}
		list, ended, code := api.Rollouts{Rollouts: []api.Rollout{}}, true, ExitDone
		for _, r := range all.Rollouts {
			if c.service != "" && r.Service != c.service {
				continue
			}
			list.Rollouts = append(list.Rollouts, r)
			ended = ended && r.State != api.RolloutInProgress
			if r.State == api.RolloutRolledBack && c.watch {
				code = ExitRefused
			}
		}
		e.showRollouts(list)
		if !c.watch || ended {
			return code
		}
		time.Sleep(watchInterval)
	}
}

func (e *env) showRollouts(list api.Rollouts) {
	if e.json {
		e.writeJSON(list)
		return
	}
	if len(list.Rollouts) == 0 {
		e.printf("no roll-outs")
	}
	for _, r := range list.Rollouts {
		state := r.State
		switch r.State {
		case api.RolloutCompleted:
			state = e.colourize(green, state)
		case api.RolloutRolledBack:
			state = e.colourize(red, state)
		default:
			state = e.colourize(yellow, state) + ", " + r.Phase
		}
		who := ""
		if r.Who != "" {
			who = ", by " + r.Who
		}
		e.printf("%s from %q to %q: %s, order %d at %s, limit %v%s", r.Service, r.Current, r.Target, state, r.Order,
			r.StartedAt.Format(time.DateTime), time.Duration(r.Millis)*time.Millisecond, who)
	}
}
