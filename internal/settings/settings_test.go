// SPDX-License-Identifier: Apache-2.0

package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/settings"
)

const good = `
[node]
data_hall = sibiu
[entry]
listen = 127.0.0.1:8080
max_body = 2MiB
drain_wait = 250ms
[operator]
listen = 127.0.0.1:8081
[peers]
listen = 127.0.0.1:8082
seeds = 127.0.0.1:1, 127.0.0.1:2
[source]
kind = platform
platform = http://127.0.0.1:9300/
`

func load(t *testing.T, text string) (*settings.Settings, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "ploverd.ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return settings.Load(file)
}

func TestLoad(t *testing.T) {
	s, err := load(t, good)
	if err != nil {
		t.Fatal(err)
	}
	if s.DataHall() != "sibiu" || s.MaxBody() != 2<<20 || s.DrainWait() != 250*time.Millisecond ||
		len(s.Seeds()) != 2 || s.Platform() != "http://127.0.0.1:9300" || s.Advertise() != s.PeerListen() {
		t.Fatalf("got %+v", s)
	}
}

func TestFaults(t *testing.T) {
	cases := []struct {
		name    string
		text    string
		kind    settings.Kind
		section string
		key     string
	}{
		{"unknown section", good + "[extra]\na = 1\n", settings.KindSection, "extra", ""},
		{"unknown key", good + "[log]\nlvl = info\n", settings.KindKey, "log", "lvl"},
		{"key before any section", "x = 1\n" + good, settings.KindSection, "DEFAULT", ""},
		{"twice", good + "[entry]\nmax_body = 1MiB\n", settings.KindDuplicate, "entry", "max_body"},
		{"no unit of time", good + "[entry]\ndeadline = 5\n", settings.KindValue, "entry", "deadline"},
		{"no unit of size", good + "[entry]\nhold_body = 5\n", settings.KindValue, "entry", "hold_body"},
		{"wrong unit", good + "[entry]\nhold_body = 5s\n", settings.KindValue, "entry", "hold_body"},
		{"out of range", good + "[entry]\ndeadline = 48h\n", settings.KindValue, "entry", "deadline"},
		{"negative", good + "[entry]\nstall = -1s\n", settings.KindValue, "entry", "stall"},
		{"host name", good + "[peers]\nadvertise = host:1\n", settings.KindValue, "peers", "advertise"},
		{"level", good + "[log]\nlevel = loud\n", settings.KindValue, "log", "level"},
		{"count", good + "[metrics]\nworkspaces = many\n", settings.KindValue, "metrics", "workspaces"},
		{"half of the keys", good + "[peers]\ncertificate = a.pem\n", settings.KindMissing, "peers", "certificate, key, authority"},
		{"nothing", "", settings.KindMissing, "node", "data_hall"},
		{"no delimiter", good + "[log]\nlevel\n", settings.KindSyntax, "", ""},
		{"directory without path", "[node]\ndata_hall=a\n[entry]\nlisten=127.0.0.1:1\n[operator]\nlisten=127.0.0.1:2\n[source]\nkind=directory\n", settings.KindMissing, "source", "directory"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := load(t, c.text)
			var se *settings.Error
			if !errors.As(err, &se) {
				t.Fatalf("got %v", err)
			}
			if se.Kind() != c.kind || se.Section() != c.section || se.Key() != c.key {
				t.Fatalf("got %v (kind %q section %q key %q)", err, se.Kind(), se.Section(), se.Key())
			}
		})
	}
}

func TestMissingFile(t *testing.T) {
	_, err := settings.Load(filepath.Join(t.TempDir(), "nothing.ini"))
	var se *settings.Error
	if !errors.As(err, &se) || se.Kind() != settings.KindFile {
		t.Fatalf("got %v", err)
	}
}
