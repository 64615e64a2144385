// SPDX-License-Identifier: Apache-2.0

package source

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"ploverjunction.example/ploverjunction/internal/wire"
)

// Times and sizes of calls to the platform.
const (
	// watchTime is how long a watch waits for a change.
	watchTime = 25 * time.Second
	// watchGrace is how much longer than that an answer may take.
	watchGrace = 3 * time.Second
	// readTime bounds a read of all values.
	readTime = 10 * time.Second
	// roleBeat is how often a process that isn't a reader asks whether it is.
	roleBeat = 500 * time.Millisecond
	// Times between calls after failures.
	retryFirst = 250 * time.Millisecond
	retryMost  = 15 * time.Second
	maxAnswer  = 512 << 20
)

// Platform reads values from the platform's configuration service: GET
// /v1/values for all of them and GET /v1/watch?after=REVISION for changes, both
// answered by a wire.ValueList in JSON. Run may be called once; Calls
// concurrently with it.
type Platform struct {
	base     string
	client   *http.Client
	revision uint64
	calls    atomic.Int64
}

// NewPlatform returns a source that reads from a base URL.
func NewPlatform(base string) *Platform {
	return &Platform{
		base: base,
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 1,
				IdleConnTimeout:     time.Minute,
			},
		},
	}
}

// Calls returns how many calls were made.
func (p *Platform) Calls() int64 { return p.calls.Load() }

// Run reads and watches while this process is a reader, until the context ends.
func (p *Platform) Run(ctx context.Context, cfg Config) error {
	return Follow(ctx, cfg, Beats{
		Role:       roleBeat,
		RetryFirst: retryFirst,
		RetryMost:  retryMost,
	}, func(ctx context.Context) error {
		entries, err := p.next(ctx)
		if err != nil {
			return err
		}
		cfg.Heard()
		cfg.Deliver(entries)
		return nil
	})
}

// next makes one call: a read at first, then watches. An answer older than one
// before it comes from a stale replica: its values are still handed on, for each
// counts by its own revision, but the watch doesn't go back.
func (p *Platform) next(ctx context.Context) ([]*wire.Entry, error) {
	url, limit := p.base+"/v1/values", readTime
	if p.revision > 0 {
		url = fmt.Sprintf("%s/v1/watch?after=%d&wait=%s", p.base, p.revision, watchTime)
		limit = watchTime + watchGrace
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	list, err := p.get(ctx, url)
	if err != nil {
		return nil, err
	}
	p.revision = max(p.revision, list.GetRevision())
	out := make([]*wire.Entry, 0, len(list.GetValues()))
	for _, v := range list.GetValues() {
		out = append(out, &wire.Entry{
			Key:      v.GetKey(),
			Revision: v.GetRevision(),
			Value:    []byte(v.GetValue()),
			Deleted:  v.GetDeleted(),
		})
	}
	return out, nil
}

func (p *Platform) get(ctx context.Context, url string) (*wire.ValueList, error) {
	p.calls.Add(1)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, p.fault(KindConnect, err)
	}
	res, err := p.client.Do(req)
	if err != nil {
		return nil, p.fault(KindConnect, err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		e := p.fault(KindStatus, nil)
		e.code = res.StatusCode
		return nil, e
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return nil, p.fault(KindAnswer, err)
	}
	list := &wire.ValueList{}
	if err := (protojson.UnmarshalOptions{
		DiscardUnknown: true,
	}).Unmarshal(body, list); err != nil {
		return nil, p.fault(KindAnswer, err)
	}
	return list, nil
}

func (p *Platform) fault(kind Kind, cause error) *Error {
	return &Error{
		kind:  kind,
		place: p.base,
		cause: cause,
	}
}
