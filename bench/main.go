// Command bench runs benchmarks of briarrock and of the baselines on one machine.
// Each command prints one table:
//
//	go run ./bench converge --nodes 16,64,256   convergence and control bytes
//	go run ./bench delta                        sizes of the encodings of a version
//	go run ./bench calls                        latency that nodes add to a call
//	go run ./bench overload                     goodput beyond capacity
//	go run ./bench faults                       calls while targets fail
//	go run ./bench once                         cost of at-most-once calls
//	go run ./bench slopes                       memory and CPU time by mesh size
//	go run ./bench mutate                       tests that must fail with a broken safeguard
//	go run ./bench storm                        many changes, and a partition that heals
//
// Every command prints its seed and accepts --json. Absolute times depend on the
// machine; compare the ratios between the columns of one run.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime/debug"
	"runtime/pprof"
	"strings"
	"text/tabwriter"

	"github.com/integrii/flaggy"
)

// table is the result of one command, printed as text or JSON.
type table struct {
	Name  string     `json:"name"`
	Note  string     `json:"note"`
	Seed  uint64     `json:"seed"`
	Heads []string   `json:"heads"`
	Rows  [][]string `json:"rows"`
}

// add adds a row.
func (t *table) add(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, c := range cells {
		switch c := c.(type) {
		case float64:
			row = append(row, fmt.Sprintf("%.2f", c))
		default:
			row = append(row, fmt.Sprint(c))
		}
	}
	t.Rows = append(t.Rows, row)
}

func (t *table) print(asJSON bool) {
	if asJSON {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		_ = enc.Encode(t)
		return
	}
	fmt.Printf("%s (seed %d)\n%s\n\n", t.Name, t.Seed, t.Note)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, strings.Join(t.Heads, "\t")+"\t")
	for _, r := range t.Rows {
		_, _ = fmt.Fprintln(w, strings.Join(r, "\t")+"\t")
	}
	_ = w.Flush()
	fmt.Println()
}

// options are the flags that all commands share.
type options struct {
	seed uint64
	runs int // runs of each figure
	json bool
	// profile is the file for a CPU profile of the whole run.
	profile string
}

// startProfile starts the CPU profile, if --profile is set, and returns a function
// that stops it.
func (o options) startProfile() func() {
	if o.profile == "" {
		return func() {}
	}
	f, err := os.Create(o.profile)
	if err != nil || pprof.StartCPUProfile(f) != nil {
		fmt.Fprintln(os.Stderr, "bench: CPU profile not started:", err)
		return func() {}
	}
	return func() {
		pprof.StopCPUProfile()
		_ = f.Close()
	}
}

// benchmark is one command of the tool.
type benchmark struct {
	name, help string
	flags      func(s *flaggy.Subcommand)
	run        func(o options) (*table, error)
}

// defaultRuns is the default number of runs, whose medians are printed.
const defaultRuns = 3

// gcPercent is the garbage collection target (GOGC) that briarrockd uses.
const gcPercent = 400

func main() {
	debug.SetGCPercent(gcPercent)
	o := options{seed: 1, runs: defaultRuns}
	p := flaggy.NewParser("bench")
	p.DisableShowVersionWithVersion()
	p.UInt64(&o.seed, "s", "seed", "seed of the random numbers")
	p.Int(&o.runs, "r", "runs", "runs of each figure")
	p.Bool(&o.json, "j", "json", "write JSON")
	p.String(&o.profile, "p", "profile", "write a CPU profile to this file")
	all := benchmarks()
	subs := make([]*flaggy.Subcommand, 0, len(all))
	for _, b := range all {
		s := flaggy.NewSubcommand(b.name)
		s.Description = b.help
		if b.flags != nil {
			b.flags(s)
		}
		p.AttachSubcommand(s, 1)
		subs = append(subs, s)
	}
	if err := p.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	for i, s := range subs {
		if s.Used {
			stop := o.startProfile()
			t, err := all[i].run(o)
			stop()
			if err != nil {
				fmt.Fprintln(os.Stderr, "bench:", err)
				os.Exit(1)
			}
			t.Seed = o.seed
			t.print(o.json)
			return
		}
	}
	p.ShowHelp()
	os.Exit(2)
}
