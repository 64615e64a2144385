// SPDX-License-Identifier: Apache-2.0

package target

import (
	"math/rand/v2"
	"net/http"
	"time"
)

// faultyWriter truncates, stalls or slows down the body of a response.
type faultyWriter struct {
	http.ResponseWriter
	request *http.Request
	mode    *Mode
	sent    int64
}

// Write sends b in chunks up to the fault.
func (f *faultyWriter) Write(b []byte) (int, error) {
	const piece = 16 << 10
	done := 0
	for done < len(b) {
		n := min(piece, len(b)-done)
		limit := f.mode.CutAfter
		if limit == 0 {
			limit = f.mode.StallAfter
		}
		if limit > 0 {
			n = min(n, int(limit-f.sent))
		}
		if n <= 0 {
			f.fail()
		}
		wrote, err := f.ResponseWriter.Write(b[done : done+n])
		done += wrote
		f.sent += int64(wrote)
		if err != nil {
			return done, err
		}
		_ = http.NewResponseController(f.ResponseWriter).Flush()
		sleep(f.request, f.mode.ChunkDelay)
	}
	return done, nil
}

func (f *faultyWriter) fail() {
	if f.mode.StallAfter > 0 {
		<-f.request.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

// forRequest returns the mode for one request: whether it is rejected is drawn, and its query may
// set its latency, as in "work=250ms".
func (m *Mode) forRequest(r *http.Request) *Mode {
	out := *m
	out.Shed = m.Shed || rand.Float64() < m.RejectShare
	if d, err := time.ParseDuration(r.URL.Query().Get("work")); err == nil {
		out.Latency = d
	}
	return &out
}

// Document returns size bytes that depend only on the path.
func Document(path string, size int64) []byte {
	b := make([]byte, size)
	seed := uint64(len(path))
	for _, c := range []byte(path) {
		seed = seed*131 + uint64(c)
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	for i := 0; i < len(b); i += 8 {
		v := rng.Uint64()
		for j := i; j < min(i+8, len(b)); j++ {
			b[j] = byte(v >> (8 * (j - i)))
		}
	}
	return b
}

func sendUnframed(w http.ResponseWriter, content []byte) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = buf.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
	_, _ = buf.Write(content)
	_ = buf.Flush()
	_ = conn.Close()
}
