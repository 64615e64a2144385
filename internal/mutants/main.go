// SPDX-License-Identifier: Apache-2.0

// Command mutants runs mutation tests: it applies each mutant of a list to a copy
// of the code and expects the named test to fail. It is a development tool and not
// part of the product.
package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kong"
)

// columns is the number of tab-separated columns of the list.
const columns = 5

type arguments struct {
	List string `arg:"" default:"internal/mutants/list.tsv" help:"List of mutants."`
	Only string `help:"Run only the mutants whose line holds this text."`
}

// mutant is one change that a test must detect.
type mutant struct {
	file     string
	original string
	changed  string
	pkg      string
	test     string
}

// listError reports a line of the list that can't be used.
type listError struct {
	line   int
	detail string
}

// Error returns the line number and the fault.
func (e *listError) Error() string {
	return fmt.Sprintf("mutants: line %d: %s", e.line, e.detail)
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("mutants"), kong.Description("Take mechanisms out and expect tests to fail."))
	survived, err := run(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if survived > 0 {
		os.Exit(1)
	}
}

func run(args arguments) (survived int, err error) {
	all, err := read(args)
	if err != nil {
		return 0, err
	}
	for _, m := range all {
		killed, out, err := m.run()
		if err != nil {
			return survived, err
		}
		outcome := "caught"
		if !killed {
			outcome = "SURVIVED"
			survived++
		}
		fmt.Printf("%s: %s: %q by %s: %s\n", outcome, m.file, m.original, m.test, out)
	}
	fmt.Printf("%d mutants, %d survived\n", len(all), survived)
	return survived, nil
}

func read(args arguments) ([]mutant, error) {
	f, err := os.Open(args.List)
	if err != nil {
		return nil, fmt.Errorf("mutants: %w", err)
	}
	defer func() { _ = f.Close() }()
	var out []mutant
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		text := lines.Text()
		if text == "" || strings.HasPrefix(text, "#") || !strings.Contains(text, args.Only) {
			continue
		}
		c := strings.Split(text, "\t")
		if len(c) != columns {
			return nil, &listError{
				line:   n,
				detail: fmt.Sprintf("%d columns, want %d", len(c), columns),
			}
		}
		out = append(out, mutant{
			file:     c[0],
			original: c[1],
			changed:  c[2],
			pkg:      c[3],
			test:     c[4],
		})
	}
	return out, lines.Err()
}

// run runs the test on a changed copy of the code. It returns the line in which the
// test reports its failure.
func (m mutant) run() (killed bool, out string, err error) {
	dir, err := os.MkdirTemp("", "mutant")
	if err != nil {
		return false, "", fmt.Errorf("mutants: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := os.CopyFS(dir, os.DirFS(".")); err != nil {
		return false, "", fmt.Errorf("mutants: %w", err)
	}
	if err := m.apply(filepath.Join(dir, m.file)); err != nil {
		return false, "", err
	}
	cmd := exec.Command("go", "test", "-count=1", "-run", m.test, m.pkg)
	cmd.Dir = dir
	b, err := cmd.CombinedOutput()
	if strings.Contains(string(b), "build failed") || strings.Contains(string(b), "setup failed") {
		return false, "", &listError{
			detail: fmt.Sprintf("%s does not build with %q", m.file, m.changed),
		}
	}
	return err != nil, firstFailure(string(b)), nil
}

func (m mutant) apply(path string) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("mutants: %w", err)
	}
	if strings.Count(string(b), m.original) != 1 {
		return &listError{
			detail: fmt.Sprintf("%s does not contain %q exactly once", m.file, m.original),
		}
	}
	b = []byte(strings.Replace(string(b), m.original, m.changed, 1))
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return fmt.Errorf("mutants: %w", err)
	}
	return nil
}

// firstFailure returns the first line written by a test, or the head of the output.
func firstFailure(out string) string {
	for line := range strings.SplitSeq(out, "\n") {
		if strings.Contains(line, "_test.go:") {
			return strings.TrimSpace(line)
		}
	}
	return strings.TrimSpace(out[:min(len(out), 200)])
}
