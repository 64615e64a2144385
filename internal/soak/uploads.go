// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"ploverjunction.example/ploverjunction/internal/standin/target"
)

// Uploads are larger than what a node holds whole. A caller that breaks off does so after uploadPart.
const (
	wholePrefix  = "upload-whole-"
	brokenPrefix = "upload-broken-"
	uploadSize   = 100_000
	uploadPart   = 70_000
	// partPause is the time between the parts of a body, in which the first one reaches a target.
	partPause = 50 * time.Millisecond
	// uploadPause is the time between two uploads.
	uploadPause = 100 * time.Millisecond
)

// errLeft is the error with which the body of a caller that breaks off ends.
var errLeft = errors.New("soak: the caller has left")

// sendUploads sends uploads with a length or in chunks to random nodes until the context ends. Every other caller
// breaks off.
func (f *fleet) sendUploads(ctx context.Context) {
	c := newClient()
	defer c.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(f.plan.Seed, 0x75b))
	for i := 0; ctx.Err() == nil; i++ {
		l := f.nodes[rng.IntN(len(f.nodes))].current.Load()
		prefix, rest := wholePrefix, io.Reader(bytes.NewReader(make([]byte, uploadSize-uploadPart)))
		if i%2 == 0 {
			prefix, rest = brokenPrefix, &failingReader{}
		}
		f.upload(c, l.proc.Entry(), prefix+strconv.Itoa(i), rest, rng.IntN(2) == 0)
		time.Sleep(uploadPause)
	}
}

// failingReader is the rest of a body whose caller leaves.
type failingReader struct{}

func (*failingReader) Read([]byte) (int, error) { return 0, errLeft }

// pause is a part of a body without bytes that takes time.
type pause struct{}

func (pause) Read([]byte) (int, error) {
	time.Sleep(partPause)
	return 0, io.EOF
}

// upload sends the first part of a body and the rest. The result is checked at the targets.
func (f *fleet) upload(c *http.Client, entry, key string, rest io.Reader, chunked bool) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	body := io.MultiReader(bytes.NewReader(make([]byte, uploadPart)), pause{}, rest)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/quotes/upload", body)
	if err != nil {
		f.violation("upload: %v", err)
		return
	}
	if !chunked {
		req.ContentLength = uploadSize
	}
	req.Header.Set(target.HeaderKey, key)
	if shown := f.key(); shown != "" {
		req.Header.Set("Authorization", "Bearer "+shown)
		req.Header.Set("Plover-Workspace", shown)
	}
	if res, err := c.Do(req); err == nil {
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
}

// checkUploads reports targets that ran an upload whose caller broke off, or ran a whole one twice.
func (f *fleet) checkUploads() {
	runs := map[string]int{}
	for _, b := range f.targets {
		for _, r := range b.Runs() {
			if strings.HasPrefix(r.Key, brokenPrefix) {
				f.violation("%s ran %s, of which a part was sent", b.Name(), r.Key)
			}
			if strings.HasPrefix(r.Key, wholePrefix) {
				runs[r.Key]++
			}
		}
	}
	for key, n := range runs {
		if n > 1 {
			f.violation("%s ran %d times", key, n)
		}
	}
}
