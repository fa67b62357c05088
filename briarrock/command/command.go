// Package command implements the operator's command line: it parses arguments,
// sends a request to a node and prints the response.
//
//	code := command.Run([]string{"status", "--json"}, command.IO{In: in, Out: out, Err: errs})
//
// Each command is a type that holds its flags and has a run method; commands.go
// lists the commands.
package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"briarrock.example/briarrockd/keys"
	api "briarrock.example/mesh/operator"
)

// IO holds a command's input and output streams.
type IO struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Environment variables that give the defaults of flags.
const (
	envNode  = "BRIARROCK_NODE"
	envToken = "BRIARROCK_TOKEN"
)

// defaultNode is the operator address that is used if neither --node nor
// BRIARROCK_NODE is set.
const defaultNode = "http://127.0.0.1:7104"

// command is a subcommand of the program.
type command interface {
	// flags adds the command's own flags and arguments.
	flags(s *flaggy.Subcommand)
	// run executes the command and returns the exit code.
	run(ctx context.Context, e *env) int
}

// env holds the streams and the global flags that all commands use.
type env struct {
	IO
	node  string // operator address, "http://" if it has no scheme
	token string
	cert  string // path of a PEM file, as are key and ca
	key   string
	ca    string
	json  bool // write the result as JSON
}

// Run parses the arguments, runs one command and returns the exit code.
func Run(args []string, streams IO) int {
	e := &env{IO: streams, node: orDefault(os.Getenv(envNode), defaultNode), token: os.Getenv(envToken)}
	p := flaggy.NewParser("briarrock")
	p.Description = "one text for every route of a service mesh: check it, apply it, see it in force"
	p.DisableShowVersionWithVersion()
	p.AdditionalHelpAppend = "\nRun \"briarrock COMMAND --help\" for a command's flags. See docs/OPERATING.md for daily work."
	p.String(&e.node, "n", "node", "operator address of any node ("+envNode+")")
	p.String(&e.token, "", "token", "operator's token ("+envToken+")")
	p.String(&e.cert, "", "cert", "operator's certificate, PEM")
	p.String(&e.key, "", "key", "its key, PEM")
	p.String(&e.ca, "", "ca", "CA certificate of the nodes, PEM")
	p.Bool(&e.json, "j", "json", "write the answer as JSON")
	all := commands()
	subs := make([]*flaggy.Subcommand, 0, len(all))
	for _, c := range all {
		s := flaggy.NewSubcommand(c.name)
		s.Description = c.help
		c.command.flags(s)
		p.AttachSubcommand(s, 1)
		subs = append(subs, s)
	}
	if err := p.ParseArgs(args); err != nil {
		e.printError("%v", err)
		return ExitUsage
	}
	for i, s := range subs {
		if s.Used {
			return all[i].command.run(context.Background(), e)
		}
	}
	p.ShowHelp()
	return ExitUsage
}

func orDefault(s, d string) string {
	if s == "" {
		return d
	}
	return s
}

// printError prints a line to the error stream.
func (e *env) printError(format string, args ...any) {
	_, _ = fmt.Fprintf(e.Err, "briarrock: "+format+"\n", args...)
}

// printf prints a line to the output.
func (e *env) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(e.Out, format+"\n", args...)
}

// requestTimeout bounds one request to a node.
const requestTimeout = 20 * time.Second

// client returns a client of the operator API of the node that the flags name.
func (e *env) client() (*api.Client, error) {
	c := &http.Client{Timeout: requestTimeout}
	if e.cert != "" {
		k, err := keys.Load(keys.Files{Cert: e.cert, Key: e.key, CA: e.ca})
		if err != nil {
			return nil, err
		}
		c.Transport = &http.Transport{TLSClientConfig: k.ClientConfig(), TLSHandshakeTimeout: requestTimeout}
	}
	node := e.node
	if !strings.Contains(node, "://") {
		node = "http://" + node
	}
	return api.New(c, strings.TrimSuffix(node, "/"), e.token), nil
}

// version parses a version argument and prints an error if it is invalid. An
// empty argument gives 0, for which the node uses its default.
func (e *env) version(s string) (uint64, bool) {
	if s == "" {
		return 0, true
	}
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		e.printError("%q is not a version", s)
	}
	return n, err == nil
}

// reportFailure prints the error of a request to a node, with a hint about
// --node, and returns the exit code.
func (e *env) reportFailure(err error) int {
	e.printError("%v", err)
	e.printError("is %s the operator address of a node that runs? --node takes any other one", e.node)
	return ExitRefused
}

// writeJSON prints a value as indented JSON.
func (e *env) writeJSON(v any) {
	enc := json.NewEncoder(e.Out)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}

// ANSI SGR codes of colours.
const (
	red    = "31"
	green  = "32"
	yellow = "33"
)

// colourize adds a colour to text if the output is a terminal and NO_COLOR is
// unset.
func (e *env) colourize(code, s string) string {
	f, ok := e.Out.(*os.File)
	if !ok || os.Getenv("NO_COLOR") != "" {
		return s
	}
	info, err := f.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return s
	}
	return "\x1b[" + code + "m" + s + "\x1b[0m"
}
