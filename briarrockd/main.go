// Command briarrockd runs a briarrock node: one process on each target host. It
// is the proxy between callers and the host's targets, and takes part in
// distributing the configuration.
//
//	briarrockd --config node.yaml
//
// It shuts down gracefully on SIGTERM and SIGINT, and reloads its TLS keys on
// SIGHUP. Exit codes: 0 after a graceful shutdown, 1 if it could not start or
// listen, 2 for mistakes in the command line or the settings.
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

// Settings of the garbage collector. A node's live heap is a few tens of
// megabytes. The default, which collects at twice that size, would cost
// processor time without need. The limit keeps the process well below the
// 256 MB that a host gives it.
const (
	gcPercent        = 400
	memoryLimitBytes = 200 << 20
)

func run() int {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimitBytes)
	path := ""
	flaggy.SetName("briarrockd")
	flaggy.SetDescription("a briarrock node: proxy and configuration distribution on one target host")
	flaggy.DefaultParser.DisableShowVersionWithVersion()
	flaggy.String(&path, "c", "config", "path of the node's settings, a YAML file (required)")
	flaggy.Parse()
	if path == "" {
		fmt.Fprintln(os.Stderr, "briarrockd: --config is missing; see docs/SETTINGS.md")
		return exitUsage
	}
	cfg, err := settings.Load(path)
	if err != nil {
		return reportSettingsError(path, err)
	}
	events := event.New(os.Stderr, cfg.LogJSON, cfg.LogLevel, cfg.Host)
	log.SetFlags(0)
	log.SetOutput(events.Writer(event.Library))
	n, err := node.New(cfg, node.Deps{Log: events})
	if err != nil {
		fmt.Fprintf(os.Stderr, "briarrockd: %v\n", err)
		return exitFailed
	}
	waitForStop(n)
	ctx, cancel := context.WithTimeout(context.Background(), cfg.DrainTimeout)
	defer cancel()
	n.Stop(ctx)
	return 0
}

// reportSettingsError prints the mistakes in the settings, or another error of
// reading them, and returns the exit code.
func reportSettingsError(path string, err error) int {
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

// waitForStop reloads the keys on SIGHUP, and returns on SIGTERM or SIGINT. A signal to stop
// has its own channel, so that it is not lost behind a reload.
func waitForStop(n *node.Node) {
	stops, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	go func() {
		for range reloads {
			n.ReloadKeys()
		}
	}()
	<-stops
}
