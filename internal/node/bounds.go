// SPDX-License-Identifier: Apache-2.0

package node

import (
	"math"
	"syscall"

	"ploverjunction.example/ploverjunction/internal/forward"
	"ploverjunction.example/ploverjunction/internal/header"
	"ploverjunction.example/ploverjunction/internal/memory"
	"ploverjunction.example/ploverjunction/internal/settings"
)

const (
	// connectionMemory is the memory in bytes that an open connection of a caller takes at most: buffers and stacks in
	// the process, a header that is not counted apart, and what the kernel holds. One for each of them bounds the
	// connections of callers by the memory of the process.
	connectionMemory = 64 << 10
	// Shares of the descriptors of the process: callers have three quarters of them, peers an eighth and operators, at
	// each address, a 32nd. The rest is for targets, the platform and files.
	callerParts, callerShares = 3, 4
	peerShares                = 8
	operatorShares            = 32
	// minOperators is the least number of connections of operators: the balancer, a collector of metrics and people.
	minOperators = 16
	// peerMemory is the memory in bytes that an open connection of a peer takes at most, besides large messages.
	peerMemory = 128 << 10
	// headerMemoryDivisor, answerMemoryDivisor and messageMemoryDivisor bound large headers of requests, those of
	// answers and messages of peers to parts of the memory of the process.
	headerMemoryDivisor  = 8
	answerMemoryDivisor  = 8
	messageMemoryDivisor = 8
)

// bounds are those of what clients of all listeners may take of the process.
type bounds struct {
	callers, operators, peers int
	// headers are those of requests, answers those of answers: callers can't make answers fail that have large ones, nor
	// targets requests.
	headers, answers, messages *memory.Budget
}

// newBounds returns the bounds for the settings. What is unknown bounds nothing.
func newBounds(set *settings.Settings) *bounds {
	b := &bounds{
		callers:  math.MaxInt,
		peers:    math.MaxInt,
		headers:  memory.NewBudget(0),
		answers:  memory.NewBudget(0),
		messages: memory.NewBudget(0),
	}
	if m := set.Memory(); m > 0 {
		b.callers = int(m / connectionMemory)
		b.peers = int(m / peerMemory)
		// A single request within the limits is served, however small the memory is.
		b.headers = memory.NewBudget(max(m/headerMemoryDivisor, header.MaxCost(set.MaxHeader())))
		// The same holds for a single answer.
		b.answers = memory.NewBudget(max(m/answerMemoryDivisor, header.MaxCost(forward.MaxAnswerHeader)))
		b.messages = memory.NewBudget(m / messageMemoryDivisor)
	}
	if d := descriptors(set); d > 0 {
		b.callers = min(b.callers, d*callerParts/callerShares)
		b.peers = min(b.peers, d/peerShares)
		b.operators = max(d/operatorShares, minOperators)
	}
	return b
}

// descriptors returns the number of descriptors that the process may open, 0 if it is not known.
func descriptors(set *settings.Settings) int {
	d := set.Descriptors()
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return d
	}
	if d == 0 {
		return int(limit.Cur)
	}
	return min(d, int(limit.Cur))
}
