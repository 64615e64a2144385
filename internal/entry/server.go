// SPDX-License-Identifier: Apache-2.0

// Package entry serves callers: it checks their requests, forwards them to targets and delivers
// complete answers.
package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	kratos "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/sirupsen/logrus"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/forward"
	"ploverjunction.example/ploverjunction/internal/inbound"
	"ploverjunction.example/ploverjunction/internal/memory"
	"ploverjunction.example/ploverjunction/internal/reach"
	"ploverjunction.example/ploverjunction/internal/task"
)

// Bounds of callers' connections.
const (
	copyBuffer      = 32 << 10
	maxResumes      = 3
	requestIDLength = 16
	// startWaitDivisor divides the caller's timeout; its request waits that long for the first
	// configuration, at most maxStartWait.
	startWaitDivisor = 6
	maxStartWait     = 1300 * time.Millisecond
)

// Server serves callers over kratos' HTTP transport.
type Server struct {
	cfg      Config
	http     *kratos.Server
	listener net.Listener
	inbound  *inbound.HTTPListener
	callers  *callerListener
	client   *forward.Client
	reach    *reach.Tracker
	sizes    *sizes
	log      *logrus.Entry
	inFlight atomic.Int64
	closing  atomic.Bool
	// peerRequests counts the requests of peers in flight.
	peerRequests atomic.Int64
	trials       atomic.Int32
	// crashChecks counts the crash checks in progress.
	crashChecks atomic.Int32
	// awaitingConfig counts the requests that wait for a configuration with their key.
	awaitingConfig atomic.Int32
	tasks          chan *task.Task
	buffers        sync.Pool
	// stopping holds the times of a planned stop, nil if none has begun or it sets no time.
	stopping atomic.Pointer[plannedStop]
	// times are the usual times of requests.
	times *times
	// unanswered ends once a planned stop no longer waits for answers; endUnanswered ends it.
	unanswered    context.Context
	endUnanswered context.CancelFunc
	// requestBodies and answerBodies bound the bytes held of requests and of answers.
	requestBodies *memory.Budget
	answerBodies  *memory.Budget
}

// Connections returns the counts of the connections to targets.
func (s *Server) Connections() *forward.Connections { return s.client.Connections() }

// New returns a server that listens but does not serve yet.
func New(cfg Config) (*Server, error) {
	lis, err := net.Listen("tcp", cfg.Listen.String())
	if err != nil {
		return nil, fmt.Errorf("entry: listen: %w", err)
	}
	s := &Server{
		cfg:      cfg,
		listener: lis,
		client:   forward.NewClient(cfg.Contract, cfg.HoldBody, cfg.Stall, cfg.Outgoing),
		sizes:    newSizes(),
		times:    newTimes(),
		log:      cfg.Log,
		tasks:    make(chan *task.Task, maxTrials),

		requestBodies: memory.NewBudget(cfg.Memory),
		answerBodies:  memory.NewBudget(cfg.Memory),
	}
	s.inbound = inbound.NewHTTPListener(lis, inbound.Config{
		Door:          "callers",
		Connections:   cfg.Connections,
		Memory:        cfg.HeaderMemory,
		HeaderTimeout: s.headerTimeout,
		IdleTimeout:   s.idleTimeout,
		OnClosed:      cfg.OnClosed,
	}, inbound.HTTP{
		MaxHeader: s.maxHeader,
		Refusal:   s.headRefusal,
	})
	s.callers = newCallerListener(s.inbound, s.track)
	s.unanswered, s.endUnanswered = context.WithCancel(context.Background())
	s.client.CountBytes(cfg.TargetBytes)
	if cfg.AnswerMemory != nil {
		s.client.BoundHeads(cfg.AnswerMemory)
	}
	s.reach = s.newTracker()
	s.buffers.New = func() any {
		b := make([]byte, copyBuffer)
		return &b
	}
	// The filter runs before kratos' router, which would clean paths and redirect. The timeout is
	// disabled, as kratos gives each request one second.
	s.http = kratos.NewServer(
		kratos.Address(lis.Addr().String()),
		kratos.Listener(s.callers),
		kratos.Timeout(0),
		kratos.Filter(func(http.Handler) http.Handler { return http.HandlerFunc(s.serve) }),
	)
	// The limits in force, which may change, are those of the connections.
	s.http.MaxHeaderBytes = maxHeaderSize
	s.http.ConnContext = withConn
	s.http.ConnState = trackConnState
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve serves until the context ends or Drain is called.
func (s *Server) Serve(ctx context.Context) error {
	defer s.client.Close()
	reaper := task.Go(ctx, "entry reaper", s.reap)
	paths := task.Go(ctx, "path checks", s.reach.Run)
	limits := task.Go(ctx, "limits of callers", s.inbound.Run)
	err := s.http.Start(context.WithoutCancel(ctx))
	return errors.Join(err, limits.Stop(), paths.Stop(), reaper.Stop())
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// PeerRequests returns the number of requests of peers in flight.
func (s *Server) PeerRequests() int64 { return s.peerRequests.Load() }

// CloseConnections makes each answer close its connection, so that callers and the load balancer open their
// next connection to another node.
func (s *Server) CloseConnections() { s.closing.Store(true) }

// EndUnanswered answers all requests that have no answer yet: those that were sent to a target with an
// unknown outcome, others as not run. Answers that have begun go on.
func (s *Server) EndUnanswered() { s.endUnanswered() }

// Drain stops accepting connections and waits until all requests in flight have ended, however
// long they take, or the context ends. Then it closes all connections. A request that arrives meanwhile on a connection
// without an earlier one is served or refused like others.
func (s *Server) Drain(ctx context.Context) error {
	err := errors.Join(s.callers.StopAccepting(), s.waitForConnections(ctx), s.http.Stop(ctx), s.waitForPeerRequests(ctx))
	if cerr := s.http.Close(); err == nil {
		err = cerr
	}
	return err
}

// waitForConnections closes idle connections and waits until all callers' connections have ended, or the context ends.
// Shutdown of net/http can't be called before: from then on net/http reads requests on connections that are open and
// closes these without an answer. Nor can it close idle connections itself: it takes one for idle until it has read a
// whole header, and serves the request after it has closed the connection.
func (s *Server) waitForConnections(ctx context.Context) error {
	tick := time.NewTicker(drainInterval)
	defer tick.Stop()
	for {
		s.inbound.CloseIdle(time.Now(), unusedGrace)
		if s.inbound.Open() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// track passes a goroutine started for a request to reap, which logs its error.
func (s *Server) track(t *task.Task) {
	select {
	case s.tasks <- t:
	default:
		// reap is behind: the result is buffered in the task itself.
	}
}

// reap logs the errors of the goroutines started for requests.
func (s *Server) reap(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case t := <-s.tasks:
			if err := <-t.Done(); err != nil {
				s.log.WithField("task", t.Name()).WithError(err).Debug("task failed")
			}
		}
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	setAnswered(r, false)
	if c := connOf(r); c != nil && !c.Receive() {
		panic(http.ErrAbortHandler)
	}
	if c := connOf(r); c != nil && !c.HoldRequest(r) {
		w.Header().Set("Connection", "close")
		s.refuse(w, s.requestID(r), nil, noMemory())
		setAnswered(r, true)
		return
	}
	s.serveCaller(w, r)
	setAnswered(r, true)
}

func (s *Server) serveCaller(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	id := s.requestID(r)
	if s.closing.Load() || len(r.TransferEncoding) > 0 {
		// Prevents a request smuggled behind a chunked one from being read (RFC 9112,
		// section 6.1).
		w.Header().Set("Connection", "close")
	}
	in, fail := s.admit(r, started)
	if fail != nil {
		if r.ContentLength != 0 {
			// net/http reads the rest of the body before it answers.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(restTimeout))
		}
		s.refuse(w, id, in, fail)
		s.cfg.RecordServed("refused", in.workspaceID(), fail.status, fail.outcome.String(), time.Since(started))
		s.notifyUnserved(in, fail)
		return
	}
	status, outcome := s.forward(w, r, id, started, in)
	if outcome == attempt.OutcomeNotRun && in.owner != nil {
		s.cfg.GiveBack(in.owner)
	}
	s.cfg.RecordServed(in.route.Class(), in.workspace, status, outcome.String(), time.Since(started))
}

// notifyUnserved reports a request that was refused only for a limit.
func (s *Server) notifyUnserved(in *admission, fail *Error) {
	if fail.code == CodeRate && s.cfg.OnLimited != nil {
		s.cfg.OnLimited(in.route.Service().Name())
	}
}

// requestID returns the ID of a caller's request: the caller's if the contract says so, else a new
// one.
func (s *Server) requestID(r *http.Request) string {
	if s.cfg.Contract.CallersID {
		return r.Header.Get(s.cfg.Contract.RequestID)
	}
	return newRequestID()
}

// forward has an admitted request answered and returns the final status and outcome.
func (s *Server) forward(w http.ResponseWriter, r *http.Request, id string, started time.Time, in *admission) (int, attempt.Outcome) {
	give, forAnswer, fail := s.reserve(r, in)
	if fail != nil {
		// Otherwise net/http reads the rest of the body before it answers.
		w.Header().Set("Connection", "close")
		s.refuse(w, id, in, fail)
		return fail.status, fail.outcome
	}
	defer give()
	b, fail := readBody(s.unanswered, w, r, in.maxBody, s.cfg.HoldBody, in.deadline)
	if fail != nil {
		fail = s.endedBody(in, fail)
		s.refuse(w, id, in, fail)
		return fail.status, fail.outcome
	}
	defer b.stop()
	if fail := s.checkTimeLeft(in, time.Now()); fail != nil {
		b.closeUnread(w)
		s.refuse(w, id, in, fail)
		return fail.status, fail.outcome
	}
	if c := connOf(r); c != nil && !c.Serve() {
		fail := noMemory()
		s.refuse(w, id, in, fail)
		return fail.status, fail.outcome
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	stopWaiting := context.AfterFunc(s.unanswered, cancel)
	defer stopWaiting()
	x := &relay{
		server:       s,
		id:           id,
		req:          r.WithContext(ctx),
		admission:    in,
		service:      serviceOf(r, in, rand.Uint64()),
		peerHead:     peerHeadOf(r),
		started:      started,
		body:         b,
		forAnswer:    forAnswer,
		tracker:      attempt.NewTracker(in.repeatable, in.deadline),
		header:       s.targetHeader(r, in),
		fingerprints: fingerprintsOf(r, in, b),
		results:      make(chan result, maxTries),
		grants:       make(chan grant, maxTries),
		pathLost:     make(chan struct{}, 1),
	}
	x.recordEarlierRuns()
	if fail := x.quarantine(); fail != nil {
		b.closeUnread(w)
		s.refuse(w, id, in, fail)
		return fail.status, fail.outcome
	}
	began := time.Now()
	a, release, fail := x.answer()
	stopWaiting()
	answered := time.Now()
	if fail != nil {
		if fail.code == CodeDeadline {
			// Later requests may also get no answer until their deadline.
			x.recordTime(began, answered, answered)
		}
		x.logEnd(fail.status, fail.outcome, fail)
		b.closeUnread(w)
		s.answer(w, id, fail)
		return fail.status, fail.outcome
	}
	x.logEnd(a.Status(), attempt.OutcomeDone, nil)
	x.deliver(w, a, release)
	if a.Status() < http.StatusInternalServerError {
		s.cfg.RecordAnswer(x.fingerprints)
		x.recordTime(began, answered, time.Now())
	}
	return a.Status(), attempt.OutcomeDone
}

// Close closes all connections at once and ends Serve.
func (s *Server) Close() error {
	return s.http.Close()
}
