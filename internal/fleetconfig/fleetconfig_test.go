// SPDX-License-Identifier: Apache-2.0

package fleetconfig_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/order"
	"ploverjunction.example/ploverjunction/internal/policy"
	"ploverjunction.example/ploverjunction/internal/wire"
)

const pool = `{"services":[{"name":"s"}],"targets":[{"service":"s","address":"192.0.2.1:80","slots":3,"connections":9}]}`

func build(t *testing.T, values ...string) (*fleetconfig.Config, error) {
	t.Helper()
	var docs []*wire.Document
	for _, v := range values {
		d, err := fleetconfig.Parse([]byte(v))
		if err != nil {
			return nil, err
		}
		docs = append(docs, d)
	}
	return fleetconfig.Build(docs)
}

func ExampleBuild() {
	doc, err := fleetconfig.Parse([]byte(`{
		"services": [{"name": "quotes"}],
		"routes": [{"name": "read", "pathPrefix": "/quotes", "service": "quotes", "repeatable": true}]
	}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	cfg, err := fleetconfig.Build([]*wire.Document{doc})
	if err != nil {
		fmt.Println(err)
		return
	}
	r, match := cfg.Route("example.org", "/quotes/17", "GET")
	fmt.Println(match == fleetconfig.MatchRoute, r.Name(), r.Class(), r.Repeatable())
	// Output: true read quotes true
}

func TestBadValues(t *testing.T) {
	cases := []struct {
		name  string
		value string
		kind  fleetconfig.Kind
	}{
		{
			name:  "unknown field",
			value: `{"sevices":[]}`,
			kind:  fleetconfig.KindSyntax,
		},
		{
			name:  "wrong type",
			value: `{"services":{}}`,
			kind:  fleetconfig.KindSyntax,
		},
		{
			name:  "bad duration",
			value: `{"services":[{"name":"s"}],"routes":[{"name":"r","pathPrefix":"/","service":"s","deadline":"2"}]}`,
			kind:  fleetconfig.KindSyntax,
		},
		{
			name:  "too large",
			value: strings.Repeat(" ", fleetconfig.MaxDocument) + "{}",
			kind:  fleetconfig.KindSize,
		},
		{
			name:  "no name",
			value: `{"services":[{}]}`,
			kind:  fleetconfig.KindMissing,
		},
		{
			name:  "service twice",
			value: `{"services":[{"name":"s"},{"name":"s"}]}`,
			kind:  fleetconfig.KindDuplicate,
		},
		{
			name:  "bad policy",
			value: `{"services":[{"name":"s","policy":{"sick":"1"}}]}`,
			kind:  fleetconfig.KindPolicy,
		},
		{
			name:  "bad path",
			value: `{"services":[{"name":"s","healthPath":"health"}]}`,
			kind:  fleetconfig.KindRange,
		},
		{
			name:  "threshold",
			value: `{"services":[{"name":"s","threshold":-1}]}`,
			kind:  fleetconfig.KindRange,
		},
		{
			name:  "target without service",
			value: `{"targets":[{"service":"x","address":"192.0.2.1:80","slots":1,"connections":1}]}`,
			kind:  fleetconfig.KindReference,
		},
		{
			name:  "target by name",
			value: `{"services":[{"name":"s"}],"targets":[{"service":"s","address":"host:80","slots":1,"connections":1}]}`,
			kind:  fleetconfig.KindRange,
		},
		{
			name:  "no slots",
			value: `{"services":[{"name":"s"}],"targets":[{"service":"s","address":"192.0.2.1:80","connections":1}]}`,
			kind:  fleetconfig.KindRange,
		},
		{
			name:  "target twice",
			value: strings.Replace(pool, `"targets":[`, `"targets":[{"service":"s","address":"192.0.2.1:80","slots":1,"connections":1},`, 1),
			kind:  fleetconfig.KindDuplicate,
		},
		{
			name:  "route without service",
			value: `{"routes":[{"name":"r","pathPrefix":"/","service":"x"}]}`,
			kind:  fleetconfig.KindReference,
		},
		{
			name:  "route path",
			value: `{"services":[{"name":"s"}],"routes":[{"name":"r","pathPrefix":"x","service":"s"}]}`,
			kind:  fleetconfig.KindRange,
		},
		{
			name:  "route method",
			value: `{"services":[{"name":"s"}],"routes":[{"name":"r","pathPrefix":"/","service":"s","methods":["get"]}]}`,
			kind:  fleetconfig.KindRange,
		},
		{
			name:  "negative deadline",
			value: `{"services":[{"name":"s"}],"routes":[{"name":"r","pathPrefix":"/","service":"s","deadline":"-1s"}]}`,
			kind:  fleetconfig.KindRange,
		},
		{
			name:  "two routes for one request",
			value: `{"services":[{"name":"s"}],"routes":[{"name":"a","pathPrefix":"/x","service":"s","methods":["GET"]},{"name":"b","pathPrefix":"/x/","service":"s","methods":["GET","PUT"]}]}`,
			kind:  fleetconfig.KindDuplicate,
		},
		{
			name:  "negative rate",
			value: `{"workspaces":[{"id":"w","rate":-1}]}`,
			kind:  fleetconfig.KindRange,
		},
		{
			name:  "infinite rate",
			value: `{"workspaces":[{"id":"w","rate":"Infinity"}]}`,
			kind:  fleetconfig.KindRange,
		},
		{
			name:  "negative weight",
			value: `{"workspaces":[{"id":"w","weight":-1}]}`,
			kind:  fleetconfig.KindRange,
		},
		{
			name:  "weight that is no number",
			value: `{"workspaces":[{"id":"w","weight":"NaN"}]}`,
			kind:  fleetconfig.KindRange,
		},
		{
			name:  "infinite weight",
			value: `{"workspaces":[{"id":"w","weight":"Infinity"}]}`,
			kind:  fleetconfig.KindRange,
		},
		{
			name:  "weight beyond the range",
			value: `{"workspaces":[{"id":"w","weight":1001}]}`,
			kind:  fleetconfig.KindRange,
		},
		{
			name:  "workspace twice",
			value: `{"workspaces":[{"id":"w"},{"id":"w"}]}`,
			kind:  fleetconfig.KindDuplicate,
		},
		{
			name:  "instance state",
			value: `{"instances":[{"address":"192.0.2.1:80","role":"ENTRY"}]}`,
			kind:  fleetconfig.KindMissing,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := build(t, c.value)
			var fe *fleetconfig.Error
			if !errors.As(err, &fe) || fe.Kind() != c.kind {
				t.Fatalf("got %v, want %q", err, c.kind)
			}
		})
	}
}

func TestPolicyErrorHasLineAndColumn(t *testing.T) {
	_, err := build(t, `{"services":[{"name":"s","policy":{"sick":"score >\n  nothing"}}]}`)
	var pe *policy.Error
	if !errors.As(err, &pe) || pe.Line() != 2 || pe.Column() != 3 {
		t.Fatalf("got %v", err)
	}
}

func TestRoute(t *testing.T) {
	cfg, err := build(t, pool, `{"routes":[
		{"name":"any","pathPrefix":"/","service":"s"},
		{"name":"quotes","pathPrefix":"/quotes","service":"s","methods":["GET"]},
		{"name":"special","pathPrefix":"/quotes/special","service":"s"},
		{"name":"host","host":"Example.org","pathPrefix":"/quotes","service":"s","methods":["GET"]},
		{"name":"put","pathPrefix":"/only","service":"s","methods":["PUT"]}]}`)
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct{ host, path, method, want string }{
		{
			host:   "a",
			path:   "/quotes",
			method: "GET",
			want:   "quotes",
		},
		{
			host:   "a",
			path:   "/quotes/",
			method: "GET",
			want:   "quotes",
		},
		{
			host:   "a",
			path:   "/quotes/1/2",
			method: "GET",
			want:   "quotes",
		},
		{
			host:   "a",
			path:   "/quotes/special/2",
			method: "GET",
			want:   "special",
		},
		{
			host:   "a",
			path:   "/quotesspecial",
			method: "GET",
			want:   "any",
		},
		{
			host:   "a",
			path:   "/quotes",
			method: "POST",
			want:   "any",
		},
		{
			host:   "example.org",
			path:   "/quotes/1",
			method: "GET",
			want:   "host",
		},
		{
			host:   "example.org",
			path:   "/quotes/1",
			method: "POST",
			want:   "any",
		},
		{
			host:   "a",
			path:   "/",
			method: "GET",
			want:   "any",
		},
		{
			host:   "a",
			path:   "/only",
			method: "PUT",
			want:   "put",
		},
	}
	for _, c := range cases {
		r, m := cfg.Route(c.host, c.path, c.method)
		if m != fleetconfig.MatchRoute || r.Name() != c.want {
			t.Errorf("%s %s%s: match %d, route %v, want %s", c.method, c.host, c.path, m, r, c.want)
		}
	}
}

func TestRouteDistinguishesWrongMethodFromNoRoute(t *testing.T) {
	cfg, err := build(t, pool, `{"routes":[{"name":"put","pathPrefix":"/only","service":"s","methods":["PUT"]}]}`)
	if err != nil {
		t.Fatal(err)
	}
	if _, m := cfg.Route("", "/only/x", "GET"); m != fleetconfig.MatchPath {
		t.Errorf("wrong method: match %d", m)
	}
	if _, m := cfg.Route("", "/other", "GET"); m != fleetconfig.MatchNone {
		t.Errorf("no route: match %d", m)
	}
}

// step is one value that a source offers.
type step struct {
	key      int
	revision int
	bad      bool
}

func (s step) entry() *wire.Entry {
	value := fmt.Sprintf(`{"workspaces":[{"id":"k%d-r%d"}]}`, s.key, s.revision)
	if s.bad {
		value = "{"
	}
	return &wire.Entry{
		Key:      fmt.Sprint(s.key),
		Revision: uint64(s.revision),
		Value:    []byte(value),
	}
}

// steps makes a random history: whether a value is valid depends only on its
// revision, because one revision has one value.
func steps(codes []int) []step {
	out := make([]step, len(codes))
	for i, c := range codes {
		rev := c/3 + 1
		out[i] = step{
			key:      c % 3,
			revision: rev,
			bad:      rev%4 == 0,
		}
	}
	return out
}

func TestStoreProperties(t *testing.T) {
	p := gopter.NewProperties(nil)
	codes := gen.SliceOfN(30, gen.IntRange(0, 60))
	p.Property("revisions in force never decrease", prop.ForAll(
		func(codes []int) bool {
			s := fleetconfig.NewStore()
			last := map[string]order.Position{}
			for _, st := range steps(codes) {
				s.Offer([]*wire.Entry{st.entry()})
				for k, position := range s.InForce() {
					if position.Compare(last[k]) < 0 {
						return false
					}
					last[k] = position
				}
			}
			return true
		}, codes,
	))
	p.Property("the result is independent of the order of values", prop.ForAll(
		func(codes []int, seed int64) bool {
			a, b := fleetconfig.NewStore(), fleetconfig.NewStore()
			list := steps(codes)
			for _, st := range list {
				a.Offer([]*wire.Entry{st.entry()})
			}
			rng := rand.New(rand.NewPCG(uint64(seed), 1))
			rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
			for _, st := range list {
				b.Offer([]*wire.Entry{st.entry()})
			}
			return a.Digest() == b.Digest() && fmt.Sprint(a.InForce()) == fmt.Sprint(b.InForce())
		}, codes, gen.Int64(),
	))
	p.Property("the greatest valid revision is in force", prop.ForAll(
		func(codes []int) bool {
			s := fleetconfig.NewStore()
			want := map[string]order.Position{}
			for _, st := range steps(codes) {
				s.Offer([]*wire.Entry{st.entry()})
				k := fmt.Sprint(st.key)
				if !st.bad && uint64(st.revision) > want[k].Revision() {
					want[k] = order.At(0, uint64(st.revision))
				}
			}
			return fmt.Sprint(s.InForce()) == fmt.Sprint(want)
		}, codes,
	))
	p.TestingRun(t)
}

func TestDeletedKeyStaysDeleted(t *testing.T) {
	s := fleetconfig.NewStore()
	e := step{
		key:      1,
		revision: 1,
	}.entry()
	s.Offer([]*wire.Entry{e})
	s.Offer([]*wire.Entry{{
		Key:      e.GetKey(),
		Revision: 2,
		Deleted:  true,
	}})
	if s.Config().Workspaces() != 0 {
		t.Fatal("workspace still in force after the deletion of its key")
	}
	s.Offer([]*wire.Entry{e})
	if s.Config().Workspaces() != 0 {
		t.Fatal("an older value undid the deletion")
	}
}

func TestDependentValuesAreValidatedTogether(t *testing.T) {
	s := fleetconfig.NewStore()
	s.Offer([]*wire.Entry{{
		Key:      "routes",
		Revision: 1,
		Value:    []byte(`{"routes":[{"name":"r","pathPrefix":"/","service":"s"}]}`),
	}})
	if len(s.Refusals()) != 1 || s.Config().Routes() != 0 {
		t.Fatalf("refusals %v", s.Refusals())
	}
	s.Offer([]*wire.Entry{{
		Key:      "pool",
		Revision: 2,
		Value:    []byte(pool),
	}})
	if len(s.Refusals()) != 0 || s.Config().Routes() != 1 {
		t.Fatalf("refusals %v, %d routes", s.Refusals(), s.Config().Routes())
	}
	// Deletion of a service that a route refers to is refused.
	s.Offer([]*wire.Entry{{
		Key:      "pool",
		Revision: 3,
		Deleted:  true,
	}})
	if len(s.Refusals()) != 1 || s.Config().Service("s") == nil {
		t.Fatal("a service that a route refers to was deleted")
	}
}

// configWithRoutes builds a configuration of n routes.
func configWithRoutes(t *testing.T, n int) *fleetconfig.Config {
	t.Helper()
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf(`{"name":"r%d","pathPrefix":"/a/b%d","service":"s"}`, i, i))
	}
	cfg, err := build(t, pool, fmt.Sprintf(`{"routes":[%s]}`, strings.Join(list, ",")))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

func lookupTime(cfg *fleetconfig.Config) float64 {
	r := testing.Benchmark(func(b *testing.B) {
		for range b.N {
			if _, m := cfg.Route("host", "/a/b7/c/d", "GET"); m != fleetconfig.MatchRoute {
				b.Fatal("no route")
			}
		}
	})
	return float64(r.T.Nanoseconds()) / float64(r.N)
}

func TestRouteGuard(t *testing.T) {
	few, many := configWithRoutes(t, 10), configWithRoutes(t, 7100)
	allocs := testing.AllocsPerRun(1000, func() { many.Route("host", "/a/b7/c/d", "GET") })
	if allocs != 0 {
		t.Fatalf("%v allocations per lookup, want 0", allocs)
	}
	small, large := lookupTime(few), lookupTime(many)
	t.Logf("10 routes %.0f ns, 7100 routes %.0f ns", small, large)
	if large > 3*small {
		t.Fatalf("a lookup among 7100 routes takes %.1f times as long as among 10, want at most 3", large/small)
	}
}
