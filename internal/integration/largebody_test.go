// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/standin/platform"
	"ploverjunction.example/ploverjunction/internal/standin/process"
	"ploverjunction.example/ploverjunction/internal/standin/target"
)

var largeBodiesFor = flag.Duration("large-bodies", 8*time.Second, "how long the large bodies are sent and read")

// The load, from the requirements in docs/HARD-LOAD.md.
const (
	// slowBodies is the number of slow callers in each direction.
	slowBodies               = 1000
	uploadSize, downloadSize = 5_000_000, 540_000
	// startPause is the time between the starts of two callers in each direction.
	startPause = time.Millisecond
	// slowRate is in bytes per second; slowPause is the time between two pieces.
	slowRate  = 1000
	slowPause = 250 * time.Millisecond
	slowPiece = int(slowRate * slowPause / time.Second)
	usualRate = 50
	usualWork = 270 * time.Millisecond
	// fastBodies is the number of additional callers in each direction at full speed. Without them no
	// body would be transferred whole within the run.
	fastBodies = 20
	// firstPiece is what every second slow upload sends at once. It exceeds the beginning that the node reads
	// before it chooses a target.
	firstPiece = 20_000
	// stoppedShare is the share of slow readers that read only the header: 1 in so many.
	stoppedShare = 10
	// stoppedTargets is the share of targets that read only the beginning of a body: 1 in so many.
	stoppedTargets = 10
	// abortUnread is how long a target waits for a response to be read.
	abortUnread  = 3 * time.Second
	targetBuffer = 32 << 10
	// slotWait is how long a target waits for a slot: the end of an attempt may arrive after the next one.
	slotWait = time.Second
	// bulkDeadline is the deadline of files; it is also in the published routes. deadlineSlack allows for a busy machine.
	bulkDeadline  = 5 * time.Second
	deadlineSlack = time.Second
	// queuePoll is the time between two readings of the kernel's queues.
	queuePoll = 500 * time.Millisecond
	// outgoingPrefix is the node's address for connections to targets as /proc/net/tcp has it.
	outgoingPrefix = "0101007F:"
	// nodeMemory is in MiB.
	nodeMemory      = 136
	nodeDescriptors = 2870
	nodeProcessors  = 2
)

// bulkTarget is a target for large bodies with room for the bodies of its slots. It ends if it is sent more.
type bulkTarget struct {
	slots    chan struct{}
	server   *httptest.Server
	ended    atomic.Bool
	stops    bool
	document []byte
	// ran holds the keys of the uploads that ran, at any target.
	ran *sync.Map
	// aborted counts the responses that stayed unread, at all targets.
	aborted *atomic.Int64
}

func (b *bulkTarget) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" || r.Method == http.MethodOptions {
		return
	}
	wait := time.NewTimer(slotWait)
	defer wait.Stop()
	select {
	case b.slots <- struct{}{}:
	case <-wait.C:
		b.ended.Store(true)
		go b.server.CloseClientConnections()
		panic(http.ErrAbortHandler)
	}
	free := sync.OnceFunc(func() { <-b.slots })
	defer free()
	if r.Method == http.MethodPost {
		b.upload(w, r, free)
		return
	}
	w.Header().Set("Etag", `"document"`)
	http.ServeContent(&unreadAborter{
		ResponseWriter: w,
		control:        http.NewResponseController(w),
		target:         b,
	}, r, "", time.Time{}, bytes.NewReader(b.document))
}

func (b *bulkTarget) upload(w http.ResponseWriter, r *http.Request, free func()) {
	if b.stops {
		_, _ = io.CopyN(io.Discard, r.Body, 1<<10)
		<-time.After(abortUnread)
		panic(http.ErrAbortHandler)
	}
	if n, err := io.Copy(io.Discard, r.Body); err != nil || n != uploadSize {
		panic(http.ErrAbortHandler)
	}
	b.ran.Store(r.Header.Get(target.HeaderKey), true)
	free()
	w.WriteHeader(http.StatusNoContent)
}

// unreadAborter aborts a response that stays unread.
type unreadAborter struct {
	http.ResponseWriter
	control *http.ResponseController
	target  *bulkTarget
}

// Write writes p, or aborts the response.
func (u *unreadAborter) Write(p []byte) (int, error) {
	_ = u.control.SetWriteDeadline(time.Now().Add(abortUnread))
	n, err := u.ResponseWriter.Write(p)
	if err != nil {
		u.target.aborted.Add(1)
		panic(http.ErrAbortHandler)
	}
	return n, nil
}

// bulkSite is one node with targets for large bodies and for usual requests.
type bulkSite struct {
	t        *testing.T
	proc     *process.Process
	targets  []*bulkTarget
	document []byte
	ran      sync.Map
	aborted  atomic.Int64
	mu       sync.Mutex
	counts   map[string]int
	usual    []time.Duration
	// refusedUploads holds the keys of the uploads that the node reported as not run.
	refusedUploads []string
}

func (s *bulkSite) count(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[what]++
}

// services starts the targets and returns their configuration. The numbers of targets and slots are those of
// the largest services in docs/HARD-LOAD.md, so that the slots alone don't bound what the node holds.
func (s *bulkSite) services() string {
	var list []string
	add := func(service string, count, slots int, handler func(i int) (http.HandlerFunc, *bulkTarget)) {
		for i := range count {
			h, b := handler(i)
			srv := httptest.NewUnstartedServer(h)
			// A large buffer would take a response at once, read or not.
			srv.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
				_ = c.(*net.TCPConn).SetWriteBuffer(targetBuffer)
				return ctx
			}
			srv.Start()
			if b != nil {
				b.server = srv
				b.slots = make(chan struct{}, slots)
				s.targets = append(s.targets, b)
			}
			s.t.Cleanup(func() {
				srv.CloseClientConnections()
				srv.Close()
			})
			list = append(list, fmt.Sprintf(`{"service":%q,"address":%q,"dataHall":"a","slots":%d,"connections":200}`,
				service, addr(srv.URL), slots))
		}
	}
	bulk := func(i int) (http.HandlerFunc, *bulkTarget) {
		b := &bulkTarget{
			document: s.document,
			ran:      &s.ran,
			aborted:  &s.aborted,
			stops:    i%stoppedTargets == 0,
		}
		return b.serve, b
	}
	add("submission", 91, 6, bulk)
	add("archive", 97, 6, bulk)
	add("positions", 24, 3, func(int) (http.HandlerFunc, *bulkTarget) {
		t := target.New("positions", 3)
		t.SetMode(target.Mode{
			Latency: usualWork,
		})
		return t.Handler().ServeHTTP, nil
	})
	return fmt.Sprintf(`{"services":[{"name":"submission"},{"name":"archive"},{"name":"positions"}],"targets":[%s]}`,
		strings.Join(list, ","))
}

func newBulkSite(t *testing.T) *bulkSite {
	t.Helper()
	s := &bulkSite{
		t:        t,
		document: target.Document("/archive/1", downloadSize),
		counts:   map[string]int{},
	}
	p := platform.New()
	srv := httptest.NewServer(p.Handler())
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	p.Publish("services", s.services())
	p.Publish("routes", `{"routes":[
		{"name":"submission","pathPrefix":"/submission","methods":["POST"],"service":"submission","class":"file","targetLatency":"2s","deadline":"5s"},
		{"name":"archive","pathPrefix":"/archive","methods":["GET"],"service":"archive","class":"file","repeatable":true,"targetLatency":"2s","deadline":"5s"},
		{"name":"query","pathPrefix":"/positions","methods":["GET"],"service":"positions","class":"query","repeatable":true,"targetLatency":"1.2s","deadline":"2.5s"}]}`)
	// The limits of the instance, as far as a process can have them without a container.
	limited := filepath.Join(t.TempDir(), "ploverd")
	script := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nGOMAXPROCS=%d exec %q \"$@\"\n", nodeDescriptors, nodeProcessors, daemon)
	if err := os.WriteFile(limited, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	var err error
	s.proc, err = process.Start(limited, t.TempDir(), fmt.Sprintf(`
[node]
data_hall = a
outgoing = 127.0.1.1
[entry]
listen = 127.0.0.1:0
memory = %dMiB
stall = 6s
[operator]
listen = 127.0.0.1:0
[peers]
listen = 127.0.3.1:7950
[source]
kind = platform
platform = http://%s
[targets]
choice = joint
[log]
format = json
`, nodeMemory, addr(srv.URL)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.proc.Kill)
	eventually(t, "the node ready", s.proc.Ready)
	return s
}

// dial opens a connection to the node. A slow reader has a small receive buffer: a large one
// would take most of a response at once.
func (s *bulkSite) dial(slowReader bool) (net.Conn, error) {
	d := net.Dialer{
		Timeout: maxWait,
	}
	if slowReader {
		d.Control = func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
			})
		}
	}
	return d.Dial("tcp", s.proc.Entry())
}

// repeat calls once until the context ends, with the wait that the node asked for between two calls.
func repeat(ctx context.Context, once func(ctx context.Context, call int) time.Duration) {
	for call := 0; ctx.Err() == nil; call++ {
		wait := time.NewTimer(once(ctx, call))
		select {
		case <-wait.C:
		case <-ctx.Done():
		}
		wait.Stop()
	}
}

// retryAfter is the wait that a response asks for, at least a second.
func retryAfter(res *http.Response) time.Duration {
	seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	return max(time.Second, time.Duration(seconds*float64(time.Second)))
}

// upload sends one body, of which the first bytes at once, and records how it ended.
func (s *bulkSite) upload(ctx context.Context, key string, first int, slow bool) time.Duration {
	conn, err := s.dial(false)
	if err != nil {
		s.count("upload: no connection")
		return time.Second
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	defer func() { _ = conn.Close() }()
	started := time.Now()
	var sent atomic.Int64
	go func() {
		_, err := fmt.Fprintf(conn, "POST /submission/1 HTTP/1.1\r\nHost: test\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
			target.HeaderKey, key, uploadSize, make([]byte, first))
		sent.Store(int64(first))
		piece := make([]byte, 32<<10)
		if slow {
			piece = piece[:slowPiece]
		}
		pause := time.NewTicker(slowPause)
		defer pause.Stop()
		for err == nil && sent.Load() < uploadSize {
			var n int
			n, err = conn.Write(piece[:min(int64(len(piece)), uploadSize-sent.Load())])
			sent.Add(int64(n))
			if slow {
				<-pause.C
			}
		}
	}()
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	switch {
	case ctx.Err() != nil:
		s.count("upload: under way at the end")
		return 0
	case err != nil:
		s.count("upload: no answer")
		return time.Second
	}
	defer func() { _ = res.Body.Close() }()
	outcome := res.Header.Get("Plover-Outcome")
	s.count(fmt.Sprintf("upload: %d %s", res.StatusCode, outcome))
	if took := time.Since(started); took > bulkDeadline+deadlineSlack {
		s.count("upload: answered after its deadline")
	}
	if outcome != "not-run" {
		return retryAfter(res)
	}
	if sent.Load() == uploadSize {
		s.t.Errorf("upload %s was refused after its whole body was read", key)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedUploads = append(s.refusedUploads, key)
	return retryAfter(res)
}

// download reads one response at a rate, stopping after its header if stops is set, and checks what it got.
func (s *bulkSite) download(ctx context.Context, slow, stops bool) time.Duration {
	conn, err := s.dial(slow)
	if err != nil {
		s.count("download: no connection")
		return time.Second
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "GET /archive/1 HTTP/1.1\r\nHost: test\r\n\r\n")
	res, err := http.ReadResponse(bufio.NewReaderSize(conn, 512), nil)
	switch {
	case ctx.Err() != nil:
		return 0
	case err != nil:
		s.count("download: no answer")
		return time.Second
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		s.count(fmt.Sprintf("download: %d %s", res.StatusCode, res.Header.Get("Plover-Outcome")))
		return retryAfter(res)
	}
	if stops {
		<-ctx.Done()
		s.count("download: not read")
		return 0
	}
	read, err := s.readDocument(res.Body, slow)
	switch {
	case err == nil && read == downloadSize:
		s.count("download: whole")
	case err == nil:
		s.t.Errorf("a response ended after %d of %d bytes as if it were complete", read, downloadSize)
	case ctx.Err() != nil:
		s.count("download: under way at the end")
	default:
		s.count("download: broken")
	}
	return time.Second
}

// readDocument reads the document and checks each byte. It returns no error if the response ends as complete.
func (s *bulkSite) readDocument(from io.Reader, slow bool) (int, error) {
	piece := make([]byte, 32<<10)
	if slow {
		piece = piece[:slowPiece]
	}
	pause := time.NewTicker(slowPause)
	defer pause.Stop()
	for read := 0; ; {
		n, err := from.Read(piece)
		if read+n > downloadSize || !bytes.Equal(piece[:n], s.document[read:read+n]) {
			s.t.Errorf("wrong bytes at %d", read)
			return read, io.ErrUnexpectedEOF
		}
		read += n
		if err == io.EOF {
			return read, nil
		}
		if err != nil {
			return read, err
		}
		if slow {
			<-pause.C
		}
	}
}

// sendUsual sends usual requests until the context ends and waits for their answers.
func (s *bulkSite) sendUsual(ctx context.Context) {
	c := newCaller()
	defer c.CloseIdleConnections()
	tick := time.NewTicker(time.Second / usualRate)
	defer tick.Stop()
	var all sync.WaitGroup
	defer all.Wait()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		all.Go(func() {
			key := fmt.Sprintf("usual-%d", i)
			r := send(c, http.MethodGet, "http://"+s.proc.Entry()+"/positions/1", key, "")
			if r.err != nil || !bytes.Equal(r.body, target.Echo(http.MethodGet, "/positions/1", key, nil)) {
				s.t.Errorf("usual request %d: status %d outcome %q body %q error %v after %v", i, r.status, r.outcome, r.body, r.err, r.took)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.usual = append(s.usual, r.took)
		})
	}
}

// queued returns the bytes in the kernel's queues of the node's connections. A container counts them as its memory.
func (s *bulkSite) queued() (bytes int64) {
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		s.t.Error(err)
	}
	entryPort := fmt.Sprintf(":%04X", netip.MustParseAddrPort(s.proc.Entry()).Port())
	for line := range strings.Lines(string(b)) {
		var slot, local, remote, state string
		var sending, received int64
		if n, _ := fmt.Sscanf(line, "%s %s %s %s %x:%x", &slot, &local, &remote, &state, &sending, &received); n < 6 {
			continue
		}
		if strings.HasSuffix(local, entryPort) || strings.HasPrefix(local, outgoingPrefix) {
			bytes += sending + received
		}
	}
	return bytes
}

// watchQueues returns the largest result of queued until the context ends.
func (s *bulkSite) watchQueues(ctx context.Context) (peak int64) {
	tick := time.NewTicker(queuePoll)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return peak
		case <-tick.C:
			peak = max(peak, s.queued())
		}
	}
}

// peakMemory returns the largest resident set of the node in KiB.
func (s *bulkSite) peakMemory() int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.proc.PID()))
	if err != nil {
		s.t.Fatal(err)
	}
	var peak int
	_, rest, _ := strings.Cut(string(b), "VmHWM:")
	if _, err := fmt.Sscan(rest, &peak); err != nil {
		s.t.Fatal(err)
	}
	return peak
}

// Guards against a node that outgrows its memory, refuses usual requests or reports wrong outcomes while many
// large bodies are sent and read slowly. With -large-bodies=2m it runs at full length.
func TestSlowLargeBodies(t *testing.T) {
	s := newBulkSite(t)
	ctx, cancel := context.WithTimeout(context.Background(), *largeBodiesFor)
	defer cancel()
	var all sync.WaitGroup
	all.Go(func() { s.sendUsual(ctx) })
	var queued int64
	all.Go(func() { queued = s.watchQueues(ctx) })
	start := time.NewTicker(startPause)
	defer start.Stop()
	for i := range slowBodies + fastBodies {
		<-start.C
		all.Go(func() {
			repeat(ctx, func(ctx context.Context, call int) time.Duration {
				return s.upload(ctx, fmt.Sprintf("upload-%d-%d", i, call), i%2*firstPiece, i >= fastBodies)
			})
		})
		all.Go(func() {
			repeat(ctx, func(ctx context.Context, _ int) time.Duration {
				return s.download(ctx, i >= fastBodies, i >= fastBodies && i%stoppedShare == 0)
			})
		})
	}
	all.Wait()
	peak := s.peakMemory()
	slices.Sort(s.usual)
	t.Logf("peak memory %d KiB, in queues of the kernel %d KiB, of %d; 99th percentile of %d usual requests %v, longest %v; %d responses aborted by targets; %v",
		peak, queued>>10, nodeMemory<<10, len(s.usual), s.usual[len(s.usual)*99/100], s.usual[len(s.usual)-1], s.aborted.Load(), s.counts)
	if used := peak + int(queued>>10); !strings.Contains(os.Getenv("GOFLAGS"), "-race") && used > nodeMemory<<10 {
		t.Errorf("the node used %d KiB, its instance has %d", used, nodeMemory<<10)
	}
	select {
	case <-s.proc.Exited():
		t.Errorf("the node ended by itself: %v", s.proc.ExitError())
	default:
	}
	for _, key := range s.refusedUploads {
		if _, ran := s.ran.Load(key); ran {
			t.Errorf("upload %s ran but was reported as not run", key)
		}
	}
	for i, b := range s.targets {
		if b.ended.Load() {
			t.Errorf("target %d was sent more bodies than it has slots, and ended", i)
		}
	}
	for _, what := range []string{"upload: answered after its deadline", "upload: no answer", "upload: no connection", "download: no answer", "download: no connection"} {
		if n := s.counts[what]; n > 0 {
			t.Errorf("%d of %q", n, what)
		}
	}
	for _, what := range []string{"upload: 204 done", "download: whole"} {
		if s.counts[what] == 0 {
			t.Errorf("none of %q, so the test is void", what)
		}
	}
}
