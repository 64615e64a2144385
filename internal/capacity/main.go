// SPDX-License-Identifier: Apache-2.0

// Command capacity measures the cost of a node's control plane with real ploverd
// processes on this machine and writes docs/CAPACITY.md from fitted slopes. It is
// a development tool and not part of the product.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"
)

type arguments struct {
	Raw    string        `default:"docs/capacity" help:"Folder of the raw figures and the plots."`
	Page   string        `default:"docs/CAPACITY.md" help:"Page to write."`
	Runs   int           `default:"3" help:"Repeated runs of each point."`
	Window time.Duration `default:"4s" help:"Time over which one point is measured."`
	Keep   bool          `help:"Measure nothing: write the page from the raw figures."`
	Only   string        `help:"Measure just this series, or restart, or latency, and write no page."`
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("capacity"), kong.Description("Measure the cost of control and write the capacity page."))
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args arguments) error {
	if err := os.MkdirAll(args.Raw, 0o755); err != nil {
		return fmt.Errorf("capacity: %w", err)
	}
	if args.Keep {
		return renderPage(args)
	}
	bench, err := newBench(args.Window)
	if err != nil {
		return err
	}
	defer bench.close()
	for _, s := range allSeries() {
		if args.Only != "" && args.Only != s.name {
			continue
		}
		r, err := measure(bench, s, args.Runs)
		if err != nil {
			return fmt.Errorf("capacity: series %s: %w", s.name, err)
		}
		if err := r.writeCSV(filepath.Join(args.Raw, s.name+".csv")); err != nil {
			return err
		}
	}
	if args.Only == "" || args.Only == restartName {
		list, err := measureRestarts(bench)
		if err != nil {
			return err
		}
		if err := writeRestarts(filepath.Join(args.Raw, restartFile), list); err != nil {
			return err
		}
	}
	if args.Only != "" && args.Only != latencyName {
		return nil
	}
	lat, err := measureLatency(bench)
	if err != nil {
		return err
	}
	if err := lat.writeCSV(filepath.Join(args.Raw, latencyFile)); err != nil {
		return err
	}
	if args.Only != "" {
		return nil
	}
	return renderPage(args)
}

// latencyName selects the measurement of added latency in --only.
const latencyName = "latency"

// latencyFile is the file of the raw latencies.
const latencyFile = latencyName + ".csv"

// renderPage writes the plots and the page from the raw figures.
func renderPage(args arguments) error {
	results := map[string]*result{}
	for _, s := range allSeries() {
		r, err := readCSV(filepath.Join(args.Raw, s.name+".csv"), s)
		if err != nil {
			return err
		}
		results[s.name] = r
		if err := r.plot(args.Raw); err != nil {
			return err
		}
	}
	lat, err := readLatency(filepath.Join(args.Raw, latencyFile))
	if err != nil {
		return err
	}
	restarts, err := readRestarts(filepath.Join(args.Raw, restartFile))
	if err != nil {
		return err
	}
	args.Runs = len(results[allSeries()[0].name].samples[0])
	return writePage(args, results, lat, worstRestart(restarts))
}
