// Command review runs one case of the review: review CASE RECORD. It exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"briarrock.example/review/internal/lab"
)

// Exit codes.
const (
	held = iota
	broken
	couldNotRun
)

// maxDuration bounds a case; after it the processes are ended.
const maxDuration = 110 * time.Second

type testCase struct {
	services []string
	run      func(e *env) (violations int, err error)
}

var cases = map[string]testCase{}

// env is what a case works with.
type env struct {
	*lab.Lab
	runs    *lab.Runs
	trouble bool
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review CASE RECORD")
		return couldNotRun
	}
	tc, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "review: no such case")
		return couldNotRun
	}
	rec, err := lab.NewRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "review:", err)
		return couldNotRun
	}
	defer rec.Close()
	root, err := filepath.Abs(os.Getenv("REVIEW_ROOT"))
	if err != nil {
		return couldNotRun
	}
	l, err := lab.New(root, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, "review:", err)
		return couldNotRun
	}
	defer l.Close()
	e := &env{Lab: l, runs: lab.NewRuns(rec), trouble: os.Getenv("TROUBLE") != "0"}
	type result struct {
		violations int
		err        error
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan result, 1)
	go func() {
		v, err := tc.run(e)
		done <- result{v, err}
	}()
	select {
	case r := <-done:
		if r.err != nil {
			fmt.Fprintln(os.Stderr, "review: could not run:", r.err)
			return couldNotRun
		}
		rec.Printf("violations=%d trouble=%v", r.violations, e.trouble)
		fmt.Printf("%s: %d violations, trouble=%v\n", os.Args[1], r.violations, e.trouble)
		if r.violations > 0 {
			return broken
		}
		return held
	case <-signals:
		return couldNotRun
	case <-time.After(maxDuration):
		fmt.Fprintln(os.Stderr, "review: could not run: timed out")
		return couldNotRun
	}
}
