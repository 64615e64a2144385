// SPDX-License-Identifier: Apache-2.0

// Command ploverd is the daemon of ploverjunction. Every instance of the fleet
// runs the same one.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"ploverjunction.example/ploverjunction/internal/logging"
	"ploverjunction.example/ploverjunction/internal/node"
	"ploverjunction.example/ploverjunction/internal/settings"
	"ploverjunction.example/ploverjunction/internal/task"
	"ploverjunction.example/ploverjunction/internal/version"
	"ploverjunction.example/ploverjunction/platform"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

// The runtime collects garbage more often from five eighths of the process' memory on. The rest is for the program
// itself, which the runtime does not count.
const heapParts, heapShares = 5, 8

type arguments struct {
	Settings string           `arg:"" help:"Settings file (INI)." placeholder:"FILE" env:"PLOVERJUNCTION_SETTINGS"`
	Check    bool             `help:"Check the settings and exit: 0 if they are good, 2 if not."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var args arguments
	kong.Parse(&args,
		kong.Name("ploverd"),
		kong.Description("The daemon of ploverjunction. SIGTERM or SIGINT begins a planned stop, SIGQUIT stops at once."),
		kong.Vars{"version": version.String()},
	)
	os.Exit(run(args))
}

func run(args arguments) int {
	set, err := settings.Load(args.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if args.Check {
		for _, w := range set.Warnings() {
			fmt.Fprintln(os.Stderr, "warning:", w)
		}
		return 0
	}
	ignoreClosedLog()
	out := logging.NewBuffer(os.Stdout)
	defer out.Close()
	log := logging.New(out, set.LogLevel(), set.LogFormat())
	for _, w := range set.Warnings() {
		logging.Part(log, "settings").WithError(w).Warn("a safe value is taken in place of a wrong one")
	}
	if m := set.Memory(); m > 0 {
		debug.SetMemoryLimit(m * heapParts / heapShares)
	}
	stops, hangups := notifyStops(), notifyHangups()
	n, err := node.New(set, log, adapter(set))
	if err != nil {
		logging.Part(log, "node").WithError(err).Error("not started")
		return exitFailed
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := task.Go(ctx, "signals", func(ctx context.Context) error {
		return handleStops(ctx, stops, logging.Part(log, "node"), n.Drain, cancel)
	})
	reload := task.Go(ctx, "reload", func(ctx context.Context) error {
		return watchSettings(ctx, hangups, args.Settings, n.Reload)
	})
	err = n.Run(ctx)
	if serr := errors.Join(signals.Stop(), reload.Stop()); err == nil {
		err = serr
	}
	if err != nil {
		logging.Part(log, "node").WithError(err).Error("failed")
		return exitFailed
	}
	return 0
}

// adapter returns the adapter for the source in the settings, or nil for the built-in
// sources.
func adapter(set *settings.Settings) *node.Adapter {
	if set.Source() != settings.SourceStore {
		return nil
	}
	return platform.New(set.Platform())
}
