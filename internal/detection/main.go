// SPDX-License-Identifier: Apache-2.0

// Command detection measures how soon failing targets are ejected and how often
// healthy ones are, and writes docs/DETECTION.md. It runs the fleet's own code
// (outlier, balance) and three baselines in a discrete-event simulation of nodes and
// targets, so that days of simulated time take seconds. It is a development tool and
// not part of the product.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
)

type arguments struct {
	Page  string        `default:"docs/DETECTION.md" help:"Page to write."`
	Raw   string        `default:"docs/detection" help:"Folder of the raw figures and the plots."`
	Runs  int           `default:"15" help:"Runs of each fault, each with another seed."`
	Only  string        `help:"Measure just the runs whose name holds this text, and write no page."`
	Long  time.Duration `default:"72h" help:"The same for the recommended thresholds."`
	Quiet time.Duration `default:"6h" help:"Time without faults over which false ejections are counted."`
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("detection"), kong.Description("Measure detection time against false ejections."))
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args arguments) error {
	if err := os.MkdirAll(args.Raw, 0o755); err != nil {
		return fmt.Errorf("detection: %w", err)
	}
	r, err := measureAll(args)
	if err != nil {
		return err
	}
	if args.Only != "" {
		return nil
	}
	if err := r.writeCSV(args.Raw); err != nil {
		return err
	}
	if err := r.plot(args.Raw); err != nil {
		return err
	}
	return r.writePage(args)
}
