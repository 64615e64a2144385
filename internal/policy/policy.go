// SPDX-License-Identifier: Apache-2.0

// Package policy compiles and evaluates the policies that operators attach to
// services. A policy has three expressions in the Common Expression Language
// (https://cel.dev): when a target is sick, whether a request may be retried, and
// how many slots stay in service. Expressions are type-checked, have no loops and
// no access to a clock, and are refused if their estimated cost is too high.
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

// MaxCost is the maximum estimated cost of one expression, in CEL's cost units.
const MaxCost = 500

// maxText is the maximum length of one expression in bytes.
const maxText = 4096

// Text is the source of a policy. An empty expression has its default.
type Text struct {
	Sick  string
	Retry string
	Floor string
}

// Error is an error in one expression of a policy.
type Error struct {
	expression string
	line       int
	column     int
	detail     string
}

// Error returns the expression, the position in it and the error.
func (e *Error) Error() string {
	return fmt.Sprintf("policy: %s:%d:%d: %s", e.expression, e.line, e.column, e.detail)
}

// Expression returns "sick", "retry" or "floor".
func (e *Error) Expression() string { return e.expression }

// Line returns the line of the error, from 1.
func (e *Error) Line() int { return e.line }

// Column returns the column of the error, from 1.
func (e *Error) Column() int { return e.column }

// Program is a compiled policy. It is safe for concurrent use.
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

// mustEnv returns the environment of one expression. It has no macros, as these are
// CEL's only loops.
func mustEnv(opts ...cel.EnvOption) *cel.Env {
	env, err := cel.NewEnv(append(opts, cel.ClearMacros())...)
	if err != nil {
		panic(fmt.Sprintf("policy: environment: %v", err))
	}
	return env
}

// Compile checks and compiles a policy. Every error is an *Error.
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
		return nil, fault(1, 1, fmt.Sprintf("result has type %s, want %s", ast.OutputType(), want))
	}
	cost, err := env.EstimateCost(ast, estimator{})
	if err != nil {
		return nil, fault(1, 1, err.Error())
	}
	if cost.Max > MaxCost {
		return nil, fault(1, 1, fmt.Sprintf("estimated cost of %d, at most %d is allowed", cost.Max, MaxCost))
	}
	prg, err := env.Program(ast, cel.EvalOptions(cel.OptOptimize), cel.CostLimit(MaxCost))
	if err != nil {
		return nil, fault(1, 1, err.Error())
	}
	return prg, nil
}

// maxString is the length of string variables, in bytes, assumed in cost estimates.
const maxString = 256

// estimator bounds the sizes of variables for CEL's cost estimate.
type estimator struct{}

// EstimateSize returns a size of up to maxString for every variable.
func (estimator) EstimateSize(_ checker.AstNode) *checker.SizeEstimate {
	return &checker.SizeEstimate{
		Min: 0,
		Max: maxString,
	}
}

// EstimateCallCost returns nil, so that CEL's own estimate is used.
func (estimator) EstimateCallCost(_, _ string, _ *checker.AstNode, _ []checker.AstNode) *checker.CallEstimate {
	return nil
}

// Text returns the source of the policy.
func (p *Program) Text() Text { return p.text }

// Health holds the variables of the expression "sick" for one target.
type Health struct {
	// Score is the strength of the evidence against the target, 0 for none.
	Score float64
	// Threshold is the score configured for the service, at which a target counts as
	// sick by default.
	Threshold float64
	// Good, Bad and Stalled count recent requests.
	Good    float64
	Bad     float64
	Stalled float64
	// Reporters and DataHalls count the sources of the evidence.
	Reporters int
	DataHalls int
}

// Sick reports whether a target counts as sick. If the evaluation fails, it doesn't:
// a faulty policy must not take targets out of service.
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

// evalBool evaluates a bool expression. It returns false if the evaluation fails.
func evalBool(prg cel.Program, vars map[string]any) bool {
	out, _, err := prg.Eval(vars)
	if err != nil {
		return false
	}
	b, ok := out.Value().(bool)
	return ok && b
}

// Attempt holds the variables of the expression "retry" for one failed attempt.
type Attempt struct {
	// Attempt is the number of attempts so far, from 1.
	Attempt int
	// Outcome is "not-run" or "unknown".
	Outcome    string
	Repeatable bool
	Method     string
	Route      string
	Class      string
}

// Retry reports whether the policy allows another attempt. If the evaluation fails,
// it doesn't.
func (p *Program) Retry(t Attempt) bool {
	return evalBool(p.retry, map[string]any{
		"attempt":    t.Attempt,
		"outcome":    t.Outcome,
		"repeatable": t.Repeatable,
		"method":     t.Method,
		"route":      t.Route,
		"class":      t.Class,
	})
}

// Floor returns the number of slots that must stay in service, between 0 and
// capacity. If the evaluation fails, it returns capacity, so that no target is
// ejected.
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
