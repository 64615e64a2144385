// SPDX-License-Identifier: Apache-2.0

// Command program runs a stand-in platform or target as a separate process, for the
// quick start and for tests.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"ploverjunction.example/ploverjunction/internal/standin/platform"
	"ploverjunction.example/ploverjunction/internal/standin/target"
)

type arguments struct {
	Platform platformCommand `cmd:"" help:"Run a stand-in for the platform."`
	Target   targetCommand   `cmd:"" help:"Run a stand-in for a target."`
}

type platformCommand struct {
	Listen string `default:"127.0.0.1:9300" help:"Address to listen on."`
}

// Run serves the stand-in platform.
func (c *platformCommand) Run() error {
	return serve(c.Listen, platform.New().Handler())
}

type targetCommand struct {
	Listen  string        `default:"127.0.0.1:9201" help:"Address to listen on."`
	Slots   int           `default:"3" help:"Requests worked on at once."`
	Latency time.Duration `default:"5ms" help:"Time that a request takes."`
}

// Run serves the stand-in target.
func (c *targetCommand) Run() error {
	t := target.New(c.Listen, c.Slots)
	t.SetMode(target.Mode{
		Latency:    c.Latency,
		ProbeDelay: 25 * time.Millisecond,
	})
	return serve(c.Listen, t.Handler())
}

func serve(address string, h http.Handler) error {
	s := &http.Server{
		Addr:              address,
		Handler:           h,
		ReadHeaderTimeout: 5 * time.Second,
	}
	return s.ListenAndServe()
}

func main() {
	var args arguments
	ctx := kong.Parse(&args, kong.Name("program"), kong.Description("Stand-ins for tests and the quick start."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "program:", err)
		os.Exit(1)
	}
}
