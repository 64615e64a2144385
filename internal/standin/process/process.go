// SPDX-License-Identifier: Apache-2.0

// Package process runs ploverd in a separate process, for tests and measurements.
package process

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"ploverjunction.example/ploverjunction/internal/operator"
)

// startTimeout is how long a process may take to start serving.
const startTimeout = 30 * time.Second

// Error reports that a process could not be built or started.
type Error struct {
	op    string
	cause error
	log   string
}

// Error returns the failed operation, its cause and the log.
func (e *Error) Error() string {
	return fmt.Sprintf("process: %s: %v\n%s", e.op, e.cause, e.log)
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Build compiles a command, ploverd or ploverctl, into a directory and returns its
// path.
func Build(dir, command string) (string, error) {
	path := filepath.Join(dir, command)
	build := exec.Command("go", "build", "-o", path, "ploverjunction.example/ploverjunction/cmd/"+command)
	out, err := build.CombinedOutput()
	if err != nil {
		return "", &Error{
			op:    "build",
			cause: err,
			log:   string(out),
		}
	}
	return path, nil
}

// Process is one running ploverd. It may be used concurrently.
type Process struct {
	cmd          *exec.Cmd
	entry        string
	operatorAddr string
	peers        string
	// out is the read end of the pipe for the log.
	out     io.ReadCloser
	exited  chan struct{}
	exitErr error
	mu      sync.Mutex
	log     []string
}

// addressLine is the log line in which ploverd reports its addresses.
type addressLine struct {
	Msg      string `json:"msg"`
	Entry    string `json:"entry"`
	Operator string `json:"operator"`
	Peers    string `json:"peers"`
}

// Start writes the settings into a directory and runs the daemon with them. The
// settings must select the JSON log format. It returns once all ports are open.
func Start(daemon, dir, settings string) (*Process, error) {
	file := filepath.Join(dir, "ploverd.ini")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, fmt.Errorf("process: %w", err)
	}
	p := &Process{
		cmd:    exec.Command(daemon, file),
		exited: make(chan struct{}),
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("process: %w", err)
	}
	// The runtime writes panics to standard error.
	p.cmd.Stderr = p.cmd.Stdout
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("process: %w", err)
	}
	addresses := make(chan addressLine, 1)
	p.out = out
	go p.read(out, addresses)
	select {
	case line := <-addresses:
		p.entry, p.operatorAddr, p.peers = line.Entry, line.Operator, line.Peers
		return p, nil
	case <-p.exited:
		return nil, &Error{
			op:    "exited before serving",
			cause: p.exitErr,
			log:   p.Log(),
		}
	case <-time.After(startTimeout):
		p.Kill()
		return nil, &Error{
			op:  "did not start serving in time",
			log: p.Log(),
		}
	}
}

// read collects the log and then waits for the process.
func (p *Process) read(out io.Reader, addresses chan<- addressLine) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		p.mu.Lock()
		p.log = append(p.log, lines.Text())
		p.mu.Unlock()
		var line addressLine
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Msg == "node: serving" {
			addresses <- line
		}
	}
	p.exitErr = p.cmd.Wait()
	close(p.exited)
}

// Entry returns the address for callers.
func (p *Process) Entry() string { return p.entry }

// Operator returns the address for operators.
func (p *Process) Operator() string { return p.operatorAddr }

// Peers returns the address for other processes of the fleet.
func (p *Process) Peers() string { return p.peers }

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// ExitError returns the result of waiting for the process; it is valid once Exited is closed.
func (p *Process) ExitError() error { return p.exitErr }

// Log returns the output of the process so far.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.log, "\n")
}

// CloseLog closes the reader of the log, as a log collector that ends does.
func (p *Process) CloseLog() { _ = p.out.Close() }

// Signal sends a signal; it has no effect on a process that has exited.
func (p *Process) Signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// Kill kills the process, paused or not, and waits until it has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Status returns the status of the process, or nil if it doesn't answer.
func (p *Process) Status() *operator.Status { return p.status("") }

// BriefStatus returns Status without members, services and revisions.
func (p *Process) BriefStatus() *operator.Status { return p.status("?brief") }

func (p *Process) status(query string) *operator.Status {
	res, err := http.Get("http://" + p.operatorAddr + "/status" + query)
	if err != nil {
		return nil
	}
	defer func() { _ = res.Body.Close() }()
	s := &operator.Status{}
	if json.NewDecoder(res.Body).Decode(s) != nil {
		return nil
	}
	return s
}

// Ready reports whether the process is ready for requests.
func (p *Process) Ready() bool {
	s := p.Status()
	return s != nil && s.Ready
}
