// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/settings"
	"ploverjunction.example/ploverjunction/internal/wire"
)

type checkCommand struct {
	Path string `arg:"" type:"path" help:"A settings file (.ini), a published value (.json), or a folder of published values, which are checked together."`
}

// checkResult is the result of a successful check.
type checkResult struct {
	Files      int `json:"files"`
	Services   int `json:"services"`
	Routes     int `json:"routes"`
	Workspaces int `json:"workspaces"`
	// Warnings are faults for which a node uses a safe value.
	Warnings []string `json:"warnings,omitempty"`
}

// Run checks the file or folder and prints a summary.
func (c *checkCommand) Run(out *output) error {
	if filepath.Ext(c.Path) == ".ini" {
		return checkSettings(out, c.Path)
	}
	files, err := valueFiles(c.Path)
	if err != nil {
		return err
	}
	cfg, err := buildFiles(files)
	if err != nil {
		return err
	}
	r := checkResult{
		Files:      len(files),
		Services:   len(cfg.Services()),
		Routes:     cfg.Routes(),
		Workspaces: cfg.Workspaces(),
	}
	return out.print(r, "good: %d files, %d services, %d routes, %d workspaces\n", r.Files, r.Services, r.Routes, r.Workspaces)
}

func checkSettings(out *output, path string) error {
	set, err := settings.Load(path)
	if err != nil {
		return err
	}
	r := checkResult{
		Files: 1,
	}
	text := "good: settings\n"
	for _, w := range set.Warnings() {
		r.Warnings = append(r.Warnings, w.Error())
		text += "warning: " + w.Error() + "\n"
	}
	return out.print(r, "%s", text)
}

// valueFiles returns the files that hold published values.
func valueFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("ploverctl: %w", err)
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	files, err := filepath.Glob(filepath.Join(path, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("ploverctl: %w", err)
	}
	if len(files) == 0 {
		return nil, &emptyError{
			path: path,
		}
	}
	return files, nil
}

// emptyError describes a folder without published values.
type emptyError struct {
	path string
}

// Error names the folder.
func (e *emptyError) Error() string {
	return fmt.Sprintf("ploverctl: %s: no .json files", e.path)
}

func buildFiles(files []string) (*fleetconfig.Config, error) {
	var docs []*wire.Document
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			return nil, fmt.Errorf("ploverctl: %w", err)
		}
		d, err := fleetconfig.Parse(b)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", f, err)
		}
		docs = append(docs, d)
	}
	cfg, err := fleetconfig.Build(docs)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", strings.Join(files, ", "), err)
	}
	return cfg, nil
}
