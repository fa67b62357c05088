package command

// entry is a command with its name and its one-line help.
type entry struct {
	name    string
	help    string
	command command
}

// commands returns the program's commands in the order in which help lists them.
func commands() []entry {
	return []entry{
		{"check", "look for mistakes in a text, without any node", &check{}},
		{"diff", "show what a text would change", &diff{}},
		{"apply", "make a text the configuration", &apply{}},
		{"text", "show the text in force, or that of a version", &show{}},
		{"status", "show which version is in force where", &status{}},
		{"history", "show who changed what, and how fast it was in force", &history{}},
		{"revert", "make an old version's text the newest version", &revert{}},
		{"workspaces", "list the workspaces, or show one", &workspaces{}},
		{"keys", "add, remove or rotate a key of a workspace", &editKeys{}},
		{"explain", "show how a request would be routed, and why", &explain{}},
		{"rollout", "move a service's traffic to another version of its targets", &rolloutCommand{}},
		{"demo", "run a whole mesh in this process and show the main job", &runDemo{}},
	}
}
