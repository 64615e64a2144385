// SPDX-License-Identifier: Apache-2.0

package target

import "net/http"

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
