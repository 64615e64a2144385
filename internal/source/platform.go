// SPDX-License-Identifier: Apache-2.0

package source

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/order"
	"ploverjunction.example/ploverjunction/internal/response"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// Times and sizes of calls to the platform.
const (
	// watchTimeout is how long a watch waits for a change.
	watchTimeout = 25 * time.Second
	// watchGrace is how much longer than watchTimeout an answer may take.
	watchGrace = 3 * time.Second
	// readTimeout is the longest time of a full read.
	readTimeout = 10 * time.Second
	// roleInterval is the interval at which a process that isn't a reader checks whether it is.
	roleInterval = 500 * time.Millisecond
	// retryFirst and retryMax bound the mean wait after failures.
	retryFirst = 250 * time.Millisecond
	retryMax   = 15 * time.Second
	// maxAnswerBytes is the greatest size of an answer in bytes.
	maxAnswerBytes = 64 << 20
	// maxHeaderBytes is the greatest size of the header of an answer in bytes.
	maxHeaderBytes = 256 << 10
	// maxHeaderMemory is the greatest estimated memory in bytes of the header of an answer: one of maxHeaderBytes with some
	// 1,600 lines. The platform sends a few.
	maxHeaderMemory = 2 << 20
	// maxInterims is the greatest number of interim responses before an answer. The platform sends none.
	maxInterims = 64
)

// Platform reads values from the platform's configuration service: GET
// /v1/values for all of them and GET /v1/watch?era=ERA&after=REVISION for changes, both
// answered by a wire.ValueList in JSON. Run may be called once; Calls
// concurrently with it.
type Platform struct {
	base     string
	client   *http.Client
	position order.Position
	calls    atomic.Int64
}

// NewPlatform returns a source that reads from a base URL.
func NewPlatform(base string) *Platform {
	transport := response.NewTransport(response.Bounds{
		Memory:   maxHeaderMemory,
		Interims: maxInterims,
	})
	transport.MaxIdleConnsPerHost = 1
	transport.IdleConnTimeout = time.Minute
	transport.MaxResponseHeaderBytes = maxHeaderBytes
	return &Platform{
		base: base,
		client: &http.Client{
			Transport: transport,
		},
	}
}

// Calls returns how many calls were made.
func (p *Platform) Calls() int64 { return p.calls.Load() }

// Run reads and watches while this process is a reader, until the context ends.
func (p *Platform) Run(ctx context.Context, cfg Config) error {
	return Follow(ctx, cfg, Intervals{
		Role:       roleInterval,
		RetryFirst: retryFirst,
		RetryMax:   retryMax,
	}, func(ctx context.Context) error {
		entries, err := p.next(ctx, cfg)
		if err != nil {
			return err
		}
		cfg.Answered()
		cfg.Deliver(entries, p.position)
		return nil
	})
}

// next makes one call: a full read at first, then watches. An answer older than one
// before it comes from a stale replica: its values are still delivered, because each
// has its own position, but the watch doesn't go back. If the platform was restored
// all values are read again at once: a watch omits changes before its revision.
func (p *Platform) next(ctx context.Context, cfg Config) ([]*wire.Entry, error) {
	if p.position == (order.Position{}) {
		return p.readAll(ctx, cfg, reasonFirst)
	}
	url := fmt.Sprintf("%s/v1/watch?era=%d&after=%d&wait=%s", p.base, p.position.Era(), p.position.Revision(), watchTimeout)
	list, err := p.get(ctx, cfg, url, watchTimeout+watchGrace)
	if err != nil {
		return nil, err
	}
	if list.GetEra() > p.position.Era() {
		return p.readAll(ctx, cfg, reasonRestored)
	}
	return p.convert(list), nil
}

// Reasons for a full read.
const (
	reasonFirst    = "first read"
	reasonRestored = "platform was restored"
)

func (p *Platform) readAll(ctx context.Context, cfg Config, reason string) ([]*wire.Entry, error) {
	list, err := p.get(ctx, cfg, p.base+"/v1/values", readTimeout)
	if err != nil {
		return nil, err
	}
	before := p.position
	out := p.convert(list)
	cfg.FullRead(FullRead{
		Reason: reason,
		Before: before,
		After:  p.position,
	})
	return out, nil
}

// convert returns the values of an answer as entries and advances the position to the answer's.
func (p *Platform) convert(list *wire.ValueList) []*wire.Entry {
	p.position = order.Max(p.position, fleetconfig.PositionOf(list))
	out := make([]*wire.Entry, 0, len(list.GetValues()))
	for _, v := range list.GetValues() {
		position, stamp := order.At(list.GetEra(), v.GetRevision()), order.StampOf(0, v.GetVersion())
		if v.GetDeleted() {
			out = append(out, fleetconfig.Removal(v.GetKey(), position, stamp))
			continue
		}
		out = append(out, fleetconfig.Written(v.GetKey(), []byte(v.GetValue()), position, stamp))
	}
	return out
}

// parse parses an answer. Each value is parsed separately: one that can't be read is reported and left out.
func (p *Platform) parse(body []byte, failed func(error)) (*wire.ValueList, error) {
	options := protojson.UnmarshalOptions{
		DiscardUnknown: true,
	}
	const fieldValues = "values"
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	var values []json.RawMessage
	if raw := fields[fieldValues]; raw != nil {
		if err := json.Unmarshal(raw, &values); err != nil {
			return nil, err
		}
		delete(fields, fieldValues)
	}
	head, err := json.Marshal(fields)
	if err != nil {
		return nil, err
	}
	list := &wire.ValueList{}
	if err := options.Unmarshal(head, list); err != nil {
		return nil, err
	}
	for _, raw := range values {
		v := &wire.Value{}
		if err := options.Unmarshal(raw, v); err != nil {
			failed(p.fault(KindValue, err))
			continue
		}
		list.Values = append(list.Values, v)
	}
	return list, nil
}

func (p *Platform) get(ctx context.Context, cfg Config, url string, limit time.Duration) (*wire.ValueList, error) {
	p.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
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
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return nil, p.fault(KindAnswer, err)
	}
	list, err := p.parse(body, cfg.Failed)
	if err != nil {
		return nil, p.fault(KindAnswer, err)
	}
	return list, nil
}

func (p *Platform) fault(kind Kind, cause error) *Error {
	return &Error{
		kind:     kind,
		location: p.base,
		cause:    cause,
	}
}
