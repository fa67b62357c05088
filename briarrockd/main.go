// Command briarrockd is the node of briarrock: one small process on each
// target host. It is the proxy between callers and the host's targets, and it
// carries its share of distributing the configuration.
//
//	briarrockd --config node.yaml
//
// It stops gracefully on SIGTERM and SIGINT, and takes new keys on SIGHUP.
// Exit codes: 0 after a graceful stop, 1 if it could not start or listen, 2
// for mistakes in the command line or the settings.
package main

import (
	"context"
	"errors"
	"fmt"
	"log"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/integrii/flaggy"

	"briarrock.example/briarrockd/node"
	"briarrock.example/briarrockd/settings"
	"briarrock.example/mesh/event"
	"briarrock.example/mesh/strict"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	os.Exit(run())
}

// Memory of the process. A node's live heap is a few tens of megabytes, so
// collecting at twice that size would cost processor time for nothing; the
// limit keeps the process well below the 256 MB that a host gives it.
const (
	gcPercent   = 400
	memoryLimit = 200 << 20
)

func run() int {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
	path := ""
	flaggy.SetName("briarrockd")
	flaggy.SetDescription("the node of briarrock: proxy and configuration distribution on one target host")
	flaggy.DefaultParser.DisableShowVersionWithVersion()
	flaggy.String(&path, "c", "config", "the node's settings, a YAML file (required)")
	flaggy.Parse()
	if path == "" {
		fmt.Fprintln(os.Stderr, "briarrockd: --config is missing; see docs/SETTINGS.md")
		return exitUsage
	}
	cfg, err := settings.Load(path)
	if err != nil {
		return complain(path, err)
	}
	events := event.New(os.Stderr, cfg.LogJSON, cfg.LogLevel, cfg.Host)
	log.SetFlags(0)
	log.SetOutput(events.Writer(event.Library))
	n, err := node.New(cfg, node.Deps{Log: events})
	if err != nil {
		fmt.Fprintf(os.Stderr, "briarrockd: %v\n", err)
		return exitFailed
	}
	wait(n)
	ctx, cancel := context.WithTimeout(context.Background(), cfg.DrainTimeout)
	defer cancel()
	n.Stop(ctx)
	return 0
}

func complain(path string, err error) int {
	var mistakes strict.Mistakes
	if !errors.As(err, &mistakes) {
		fmt.Fprintf(os.Stderr, "briarrockd: %v\n", err)
		return exitUsage
	}
	for _, m := range mistakes {
		fmt.Fprintf(os.Stderr, "%s:%s\n", path, m)
	}
	return exitUsage
}

// wait returns when the process is asked to stop.
func wait(n *node.Node) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for s := range signals {
		if s != syscall.SIGHUP {
			return
		}
		n.ReloadKeys()
	}
}
