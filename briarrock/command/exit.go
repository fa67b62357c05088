package command

import api "briarrock.example/mesh/operator"

// Exit codes of every command.
const (
	ExitDone        = 0 // success, or nothing to change
	ExitInvalid     = 1 // a text with mistakes or that can't be read, a version that does not exist, or a refusal that explain found
	ExitUsage       = 2 // the command line is wrong
	ExitConflict    = 3 // conflict with a concurrent edit; nothing changed
	ExitRefused     = 4 // refused or failed; nothing changed
	ExitUndecided   = 5 // unknown whether the edit was committed; retry with the same --write
	ExitWaitTimeout = 6 // accepted, but not in force everywhere within --timeout
)

func exitCode(o api.Outcome) int {
	switch o {
	case api.Accepted, api.Unchanged, api.Planned:
		return ExitDone
	case api.Invalid:
		return ExitInvalid
	case api.Conflict:
		return ExitConflict
	case api.Undecided:
		return ExitUndecided
	default:
		return ExitRefused
	}
}
