// SPDX-License-Identifier: Apache-2.0

package main

import (
	_ "embed"
	"encoding/csv"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/template"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

//go:embed page.tmpl
var pageText string

// row is one row of a table.
type row []string

// table is one table of the page.
type table struct {
	Title string
	Head  row
	Rows  []row
}

// Markdown returns the table as Markdown.
func (t table) Markdown() string {
	var b strings.Builder
	line := func(r row) { fmt.Fprintf(&b, "| %s |\n", strings.Join(r, " | ")) }
	line(t.Head)
	fmt.Fprintf(&b, "|%s\n", strings.Repeat("---|", len(t.Head)))
	for _, r := range t.Rows {
		line(r)
	}
	return b.String()
}

func (r *report) writePage(args arguments) error {
	t, err := template.New("page").Parse(pageText)
	if err != nil {
		return fmt.Errorf("detection: %w", err)
	}
	f, err := os.Create(args.Page)
	if err != nil {
		return fmt.Errorf("detection: %w", err)
	}
	err = t.Execute(f, struct {
		Args   arguments
		Faults []table
		Quiet  table
		All    table
	}{
		Args:   args,
		Faults: []table{r.faultTable(documents), r.faultTable(drafts)},
		Quiet:  r.quietTable(),
		All:    r.allTable(),
	})
	if err != nil {
		return fmt.Errorf("detection: %w", err)
	}
	return f.Close()
}

// faultTable returns the results of every fault under every method.
func (r *report) faultTable(p pool) table {
	t := table{
		Title: p.name,
		Head:  row{"fault"},
	}
	methods := map[string]bool{}
	rows := map[string]row{}
	var order []string
	for _, c := range r.cells {
		if c.pool.name != p.name {
			continue
		}
		if !methods[c.method.name] {
			methods[c.method.name] = true
			t.Head = append(t.Head, c.method.name)
		}
		if rows[c.fault.name] == nil {
			rows[c.fault.name] = row{c.fault.name}
			order = append(order, c.fault.name)
		}
		rows[c.fault.name] = append(rows[c.fault.name], c.text())
	}
	for _, name := range order {
		t.Rows = append(t.Rows, rows[name])
	}
	return t
}

// text returns the cell's detection time, false ejections and lost requests.
func (c *cell) text() string {
	s := ""
	if c.fault.detected != nil {
		median, high, never := c.detection()
		switch {
		case never == len(c.runs):
			s = "never, "
		case never > 0:
			s = fmt.Sprintf("%s / never in %d of %d, ", seconds(median), never, len(c.runs))
		default:
			s = fmt.Sprintf("%s / %s, ", seconds(median), seconds(high))
		}
	}
	return s + fmt.Sprintf("%.2f wrong, %.0f lost", c.falseEjections(), c.lost())
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.1f s", d.Seconds()) }

func (r *report) quietTable() table {
	t := table{
		Title: "quiet",
		Head:  row{"service", "method", "time", "false ejections a day", "failed requests"},
	}
	for _, c := range r.quiet {
		t.Rows = append(t.Rows, row{c.pool.name, c.method.name, c.length.String(), fmt.Sprintf("%.2f", c.perDay), fmt.Sprintf("%.2f%%", 100*c.failed)})
	}
	return t
}

func (r *report) allTable() table {
	t := table{
		Title: "all",
		Head:  row{"service", "threshold", "hard stall, median / 95 in 100"},
	}
	for _, p := range []pool{quotes, reservations, documents, drafts, receipts, exports} {
		for _, c := range r.cells {
			if c.pool.name == p.name && c.fault.name == faults()[0].name && c.method.threshold == recommendedThreshold(p) {
				median, high, _ := c.detection()
				t.Rows = append(t.Rows, row{p.name, fmt.Sprint(recommendedThreshold(p)), seconds(median) + " / " + seconds(high)})
			}
		}
	}
	return t
}

func (r *report) writeCSV(dir string) error {
	rows := [][]string{{"service", "method", "fault", "run", "detected (s)", "wrong ejections", "lost requests"}}
	for _, c := range r.cells {
		for i, t := range c.runs {
			rows = append(rows, []string{
				c.pool.name, c.method.name, c.fault.name, fmt.Sprint(i + 1),
				fmt.Sprintf("%.2f", t.detected.Seconds()), fmt.Sprintf("%.3f", t.falseEjections), fmt.Sprint(t.lost),
			})
		}
	}
	if err := writeRows(filepath.Join(dir, "faults.csv"), rows); err != nil {
		return err
	}
	rows = [][]string{{"service", "method", "time", "false ejections a day", "share of failed requests"}}
	for _, c := range r.quiet {
		rows = append(rows, []string{c.pool.name, c.method.name, c.length.String(), fmt.Sprintf("%.3f", c.perDay), fmt.Sprintf("%.5f", c.failed)})
	}
	return writeRows(filepath.Join(dir, "quiet.csv"), rows)
}

func writeRows(path string, rows [][]string) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("detection: %w", err)
	}
	if err := csv.NewWriter(f).WriteAll(rows); err != nil {
		return fmt.Errorf("detection: %w", err)
	}
	return f.Close()
}

// plot draws the curve of both users, with one point per threshold.
func (r *report) plot(dir string) error {
	p := plot.New()
	p.Title.Text = "Detection of a hard stall against false ejections"
	p.X.Label.Text = "false ejections a day"
	p.Y.Label.Text = "median time until out of service (s)"
	p.Add(plotter.NewGrid())
	for i, service := range []pool{documents, drafts} {
		line, points, err := plotter.NewLinePoints(r.curve(service))
		if err != nil {
			return fmt.Errorf("detection: %w", err)
		}
		line.Color = plotutil.Color(i)
		points.Color = plotutil.Color(i)
		points.Shape = plotutil.Shape(i)
		p.Add(line, points)
		p.Legend.Add(service.name, line, points)
	}
	p.Y.Min = 0
	p.Legend.Top = true
	if err := p.Save(14*vg.Centimeter, 9*vg.Centimeter, filepath.Join(dir, "curve.png")); err != nil {
		return fmt.Errorf("detection: %w", err)
	}
	return nil
}

func (r *report) curve(p pool) plotter.XYs {
	var out plotter.XYs
	for _, h := range thresholds {
		var xy plotter.XY
		for _, c := range r.quiet {
			if c.pool.name == p.name && c.method.threshold == h {
				xy.X = c.perDay
			}
		}
		for _, c := range r.cells {
			if c.pool.name == p.name && c.method.threshold == h && c.fault.name == faults()[0].name {
				median, _, _ := c.detection()
				xy.Y = median.Seconds()
			}
		}
		out = append(out, xy)
	}
	return out
}
