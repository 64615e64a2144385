// SPDX-License-Identifier: Apache-2.0

// Command ploverctl is the operator's tool of ploverjunction. It checks configuration
// offline and queries nodes for their state. It never writes to the platform.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"ploverjunction.example/ploverjunction/internal/version"
)

// Exit codes. Invalid arguments exit with 80, kong's own code.
const (
	exitGood    = 0
	exitFinding = 1
	exitNode    = 2
)

const help = `The operator's tool of ploverjunction.

Exit codes: 0 all is well; 1 the check found a fault, or the node isn't ready; 2 the node could not be queried; 80 the arguments are wrong.`

type arguments struct {
	Output string `enum:"text,json" default:"text" help:"Format of the output: text or json."`

	Check   checkCommand   `cmd:"" help:"Check published configuration or a settings file, offline."`
	Status  statusCommand  `cmd:"" help:"Show the state of one or more nodes."`
	Explain explainCommand `cmd:"" help:"Show where a request would go, and why."`
	Config  configCommand  `cmd:"" help:"Configuration in force on a node."`
	Follow  followCommand  `cmd:"" help:"Print the changes on a node as they happen, until interrupted."`
	Trace   traceCommand   `cmd:"" help:"Print the log lines about one request from the logs of the nodes, by time."`
	Account accountCommand `cmd:"" help:"Count from the logs of the nodes how requests ended, and why."`
	Key     keyCommand     `cmd:"" help:"Print the digests of keys, one a line of standard input, for a workspace's published value."`
	Drain   drainCommand   `cmd:"" help:"Begin the planned stop of a node."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

type versionCommand struct{}

// Run prints the version.
func (*versionCommand) Run(out *output) error {
	return out.print(struct {
		Version string `json:"version"`
	}{
		Version: version.String(),
	}, "%s\n", version.String())
}

func main() {
	var args arguments
	ctx := kong.Parse(&args, kong.Name("ploverctl"), kong.Description(help))
	out := &output{
		w:    os.Stdout,
		json: args.Output == "json",
	}
	os.Exit(exitCode(ctx.Run(out)))
}

func exitCode(err error) int {
	if err == nil {
		return exitGood
	}
	fmt.Fprintln(os.Stderr, err)
	var ne *nodeError
	if errors.As(err, &ne) {
		return exitNode
	}
	return exitFinding
}
