// SPDX-License-Identifier: Apache-2.0

// Package policy compiles and evaluates the short programs that operators attach
// to services. A policy has three expressions in the Common Expression Language
// (https://cel.dev): when a target is sick, whether a request may be tried again,
// and how many slots stay in service. Expressions are type-checked, have no
// loops and no clock, and are refused when their estimated cost is too high.
package policy

import (
	"fmt"

	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/checker"
)

// Expressions in force where a policy leaves one empty.
const (
	DefaultSick  = "score >= threshold"
	DefaultRetry = "attempt < 3"
	DefaultFloor = "0.5 * capacity"
)

// MaxCost is the greatest estimated cost of one expression, in CEL's cost units.
const MaxCost = 500

// maxText is the greatest length of one expression in bytes.
const maxText = 4096

// Text is a policy as operators write it.
type Text struct {
	Sick  string
	Retry string
	Floor string
}

// Error is a fault in one expression of a policy.
type Error struct {
	expression string
	line       int
	column     int
	detail     string
}

// Error names the expression, the place in it and the fault.
func (e *Error) Error() string {
	return fmt.Sprintf("policy: %s:%d:%d: %s", e.expression, e.line, e.column, e.detail)
}

// Part returns "sick", "retry" or "floor".
func (e *Error) Part() string { return e.expression }

// Line returns the line of the fault, from 1.
func (e *Error) Line() int { return e.line }

// Column returns the column of the fault, from 1.
func (e *Error) Column() int { return e.column }

// Program is a compiled policy. It may be used concurrently.
type Program struct {
	text  Text
	sick  cel.Program
	retry cel.Program
	floor cel.Program
}

var (
	sickEnv = mustEnv(
		cel.Variable("score", cel.DoubleType),
		cel.Variable("threshold", cel.DoubleType),
		cel.Variable("good", cel.DoubleType),
		cel.Variable("bad", cel.DoubleType),
		cel.Variable("stalled", cel.DoubleType),
		cel.Variable("reporters", cel.IntType),
		cel.Variable("data_halls", cel.IntType),
	)
	retryEnv = mustEnv(
		cel.Variable("attempt", cel.IntType),
		cel.Variable("outcome", cel.StringType),
		cel.Variable("repeatable", cel.BoolType),
		cel.Variable("method", cel.StringType),
		cel.Variable("route", cel.StringType),
		cel.Variable("class", cel.StringType),
	)
	floorEnv = mustEnv(
		cel.Variable("capacity", cel.DoubleType),
		cel.Variable("targets", cel.IntType),
	)
)

// mustEnv makes the environment of one expression. Macros are left out: they are
// CEL's only loops.
func mustEnv(opts ...cel.EnvOption) *cel.Env {
	env, err := cel.NewEnv(append(opts, cel.ClearMacros())...)
	if err != nil {
		panic(fmt.Sprintf("policy: environment: %v", err))
	}
	return env
}

// Compile checks and compiles a policy. Every fault is an *Error.
func Compile(t Text) (*Program, error) {
	p := &Program{
		text: t,
	}
	var err error
	if p.sick, err = compile(sickEnv, "sick", t.Sick, DefaultSick, cel.BoolType); err != nil {
		return nil, err
	}
	if p.retry, err = compile(retryEnv, "retry", t.Retry, DefaultRetry, cel.BoolType); err != nil {
		return nil, err
	}
	if p.floor, err = compile(floorEnv, "floor", t.Floor, DefaultFloor, cel.DoubleType); err != nil {
		return nil, err
	}
	return p, nil
}

func compile(env *cel.Env, expression, text, fallback string, want *cel.Type) (cel.Program, error) {
	if text == "" {
		text = fallback
	}
	fault := func(line, column int, detail string) *Error {
		return &Error{
			expression: expression,
			line:       line,
			column:     column,
			detail:     detail,
		}
	}
	if len(text) > maxText {
		return nil, fault(1, 1, fmt.Sprintf("longer than %d bytes", maxText))
	}
	ast, iss := env.Compile(text)
	if iss.Err() != nil {
		first := iss.Errors()[0]
		return nil, fault(first.Location.Line(), first.Location.Column()+1, first.Message)
	}
	if !ast.OutputType().IsExactType(want) {
		return nil, fault(1, 1, fmt.Sprintf("gives %s, want %s", ast.OutputType(), want))
	}
	cost, err := env.EstimateCost(ast, estimator{})
	if err != nil {
		return nil, fault(1, 1, err.Error())
	}
	if cost.Max > MaxCost {
		return nil, fault(1, 1, fmt.Sprintf("may cost %d, at most %d is allowed", cost.Max, MaxCost))
	}
	prg, err := env.Program(ast, cel.EvalOptions(cel.OptOptimize), cel.CostLimit(MaxCost))
	if err != nil {
		return nil, fault(1, 1, err.Error())
	}
	return prg, nil
}

// maxString is the length that cost estimates assume for strings, in bytes.
const maxString = 256

// estimator bounds the sizes of variables for cel's cost estimate.
type estimator struct{}

// EstimateSize bounds every string by maxString.
func (estimator) EstimateSize(_ checker.AstNode) *checker.SizeEstimate {
	return &checker.SizeEstimate{
		Min: 0,
		Max: maxString,
	}
}

// EstimateCallCost leaves calls to cel's own estimate.
func (estimator) EstimateCallCost(_, _ string, _ *checker.AstNode, _ []checker.AstNode) *checker.CallEstimate {
	return nil
}

// Text returns the source of the policy.
func (p *Program) Text() Text { return p.text }

// Health is what the expression "sick" sees of one target.
type Health struct {
	// Score is the strength of the evidence against the target, 0 for none.
	Score float64
	// Threshold is the score at which evidence counts as strong enough.
	Threshold float64
	// Good, Bad and Stalled count recent requests.
	Good    float64
	Bad     float64
	Stalled float64
	// Reporters and DataHalls count the sources of the evidence.
	Reporters int
	DataHalls int
}

// Sick reports whether a target counts as sick. A failed evaluation counts as not
// sick: a faulty policy must not take targets out of service.
func (p *Program) Sick(h Health) bool {
	return evalBool(p.sick, map[string]any{
		"score":      h.Score,
		"threshold":  h.Threshold,
		"good":       h.Good,
		"bad":        h.Bad,
		"stalled":    h.Stalled,
		"reporters":  h.Reporters,
		"data_halls": h.DataHalls,
	})
}

// evalBool evaluates an expression that gives a bool; a failed one counts as false.
func evalBool(prg cel.Program, vars map[string]any) bool {
	out, _, err := prg.Eval(vars)
	if err != nil {
		return false
	}
	b, ok := out.Value().(bool)
	return ok && b
}

// Try is what the expression "retry" sees of one failed attempt.
type Try struct {
	// Attempt counts the attempts made so far, from 1.
	Attempt int
	// Outcome is "not run" or "unknown".
	Outcome    string
	Repeatable bool
	Method     string
	Route      string
	Class      string
}

// Retry reports whether the policy allows another attempt. A failed evaluation
// counts as no.
func (p *Program) Retry(t Try) bool {
	return evalBool(p.retry, map[string]any{
		"attempt":    t.Attempt,
		"outcome":    t.Outcome,
		"repeatable": t.Repeatable,
		"method":     t.Method,
		"route":      t.Route,
		"class":      t.Class,
	})
}

// Floor returns how many slots must stay in service, between 0 and capacity. A
// failed evaluation gives the whole capacity: nothing may be ejected then.
func (p *Program) Floor(capacity float64, targets int) float64 {
	out, _, err := p.floor.Eval(map[string]any{
		"capacity": capacity,
		"targets":  targets,
	})
	if err != nil {
		return capacity
	}
	f, ok := out.Value().(float64)
	if !ok || f != f {
		return capacity
	}
	return min(max(f, 0), capacity)
}
