// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/csv"
	"fmt"
	"os"
	"slices"
	"strconv"
)

// rawError reports a file of raw figures that can't be used.
type rawError struct {
	file   string
	detail string
}

// Error returns the file and the fault.
func (e *rawError) Error() string {
	return fmt.Sprintf("capacity: %s: %s", e.file, e.detail)
}

func writeRows(path string, rows [][]string) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("capacity: %w", err)
	}
	if err := csv.NewWriter(f).WriteAll(rows); err != nil {
		return fmt.Errorf("capacity: %w", err)
	}
	return f.Close()
}

func readRows(path string) ([][]string, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	defer func() { _ = f.Close() }()
	rows, err := csv.NewReader(f).ReadAll()
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	if len(rows) < 2 {
		return nil, &rawError{
			file:   path,
			detail: "no figures",
		}
	}
	return rows, nil
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'g', 5, 64) }

// parseFloats parses a row of numbers.
func parseFloats(path string, row []string) ([]float64, error) {
	out := make([]float64, len(row))
	for i, text := range row {
		v, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return nil, &rawError{
				file:   path,
				detail: err.Error(),
			}
		}
		out[i] = v
	}
	return out, nil
}

// writeCSV writes one row per sample: the size, the number of the run and each quantity.
func (r *result) writeCSV(path string) error {
	head := []string{r.series.label, "run"}
	for _, q := range r.series.quantities {
		head = append(head, q.column())
	}
	rows := [][]string{head}
	for i, runs := range r.samples {
		for n, s := range runs {
			row := []string{formatFloat(r.series.sizes[i]), strconv.Itoa(n + 1)}
			for _, q := range r.series.quantities {
				row = append(row, formatFloat(*q.of(&s)))
			}
			rows = append(rows, row)
		}
	}
	return writeRows(path, rows)
}

// readCSV reads a file written by writeCSV.
func readCSV(path string, s series) (*result, error) {
	rows, err := readRows(path)
	if err != nil {
		return nil, err
	}
	r := &result{
		series:  s,
		samples: make([][]sample, len(s.sizes)),
	}
	for _, row := range rows[1:] {
		v, err := parseFloats(path, row)
		if err != nil {
			return nil, err
		}
		at := slices.Index(s.sizes, v[0])
		if at < 0 {
			return nil, &rawError{
				file:   path,
				detail: "size " + row[0] + " is not of the series",
			}
		}
		var one sample
		for _, q := range s.quantities {
			if col := slices.Index(rows[0], q.column()); col >= 0 {
				*q.of(&one) = v[col]
			}
		}
		r.samples[at] = append(r.samples[at], one)
	}
	return r, nil
}

// latencyColumns are the columns of latencyFile.
var latencyColumns = []string{
	"requests/s", "direct p50 (us)", "direct p99 (us)", "through p50 (us)", "through p99 (us)", "failed",
}

func (l *latencyResult) writeCSV(path string) error {
	rows := [][]string{latencyColumns}
	for _, r := range l.Rows {
		rows = append(rows, []string{
			formatFloat(r.Rate),
			strconv.FormatInt(r.DirectP50, 10),
			strconv.FormatInt(r.DirectP99, 10),
			strconv.FormatInt(r.ThroughP50, 10),
			strconv.FormatInt(r.ThroughP99, 10),
			strconv.FormatInt(r.Failed, 10),
		})
	}
	return writeRows(path, rows)
}

func readLatency(path string) (*latencyResult, error) {
	rows, err := readRows(path)
	if err != nil {
		return nil, err
	}
	out := &latencyResult{}
	for _, row := range rows[1:] {
		v, err := parseFloats(path, row)
		if err != nil {
			return nil, err
		}
		out.Rows = append(out.Rows, latencyRow{
			Rate:       v[0],
			DirectP50:  int64(v[1]),
			DirectP99:  int64(v[2]),
			ThroughP50: int64(v[3]),
			ThroughP99: int64(v[4]),
			AddedP50:   int64(v[3] - v[1]),
			AddedP99:   int64(v[4] - v[2]),
			Failed:     int64(v[5]),
		})
	}
	return out, nil
}
