// SPDX-License-Identifier: Apache-2.0

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Ports of a machine, the same on all machines of a deployment.
const (
	portFront   = 8548
	portReady   = 8542
	portControl = 8544
	portMetrics = 9464
	portStore   = 8541
	portBackend = 8080
)

// zone is a zone with its machines.
type zone struct {
	name     string
	region   string
	machines int
}

// machine is one machine with a ploverd process.
type machine struct {
	name string
	ip   string
	zone zone
	cmd  *exec.Cmd
	done chan struct{}
}

func (m *machine) front() string { return fmt.Sprintf("%s:%d", m.ip, portFront) }

// signal sends a signal to the process that the case started.
func (m *machine) signal(s syscall.Signal) { _ = m.cmd.Process.Signal(s) }

// fleet is one deployment.
type fleet struct {
	rec      *recorder
	dir      string
	prefix   string
	zones    []zone
	bounds   map[string]string
	store    *store
	machines []*machine
	backends []*backend
	// paths are the paths of the machines to the store, where a case cuts them.
	paths map[*machine]*storePath
}

// newFleet starts the store and the machines. It returns the fleet with an error too, to be closed.
func newFleet(rec *recorder, s scenario) (*fleet, error) {
	f := &fleet{
		rec:    rec,
		zones:  s.zones,
		bounds: s.bounds,
		store:  newStore(),
	}
	var err error
	if f.dir, err = os.MkdirTemp("", "review"); err != nil {
		return f, err
	}
	lis, err := f.choosePrefix()
	if err != nil {
		return f, err
	}
	serve(lis, f.store.handler())
	n := 0
	for _, z := range s.zones {
		for i := range z.machines {
			n++
			f.machines = append(f.machines, &machine{
				name: fmt.Sprintf("edge-%s-%d", z.name, i+1),
				ip:   fmt.Sprintf("%s.%d", f.prefix, n),
				zone: z,
			})
		}
	}
	if s.paths {
		if err := f.openPaths(); err != nil {
			return f, err
		}
	}
	for _, m := range f.machines {
		if err := f.start(m); err != nil {
			return f, err
		}
	}
	return f, nil
}

// choosePrefix chooses a loopback network whose addresses are free and returns the store's listener.
func (f *fleet) choosePrefix() (net.Listener, error) {
	var last error
	for range 50 {
		f.prefix = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), 1+rand.IntN(250))
		free := true
		for _, port := range []int{portFront, portReady, portControl, portMetrics, portBackend} {
			lis, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", f.prefix, port))
			if err != nil {
				free, last = false, err
				break
			}
			_ = lis.Close()
		}
		if !free {
			continue
		}
		lis, err := net.Listen("tcp", fmt.Sprintf("%s.250:%d", f.prefix, portStore))
		if err == nil {
			return lis, nil
		}
		last = err
	}
	return nil, last
}

// seeds returns the control addresses of the first machine of each zone.
func (f *fleet) seeds() string {
	var out []string
	seen := map[string]bool{}
	for _, m := range f.machines {
		if !seen[m.zone.name] && len(out) < 3 {
			seen[m.zone.name] = true
			out = append(out, fmt.Sprintf("%s:%d", m.ip, portControl))
		}
	}
	return strings.Join(out, ",")
}

var (
	section = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/[a-z_.0-9]+\}\}`)
	gap     = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// settings fills platform/settings.ini for a machine, as the platform does.
func (f *fleet) settings(m *machine) (string, error) {
	b, err := os.ReadFile("platform/settings.ini")
	if err != nil {
		return "", err
	}
	var regions []string
	for _, z := range f.zones {
		regions = append(regions, z.name+"="+z.region)
	}
	values := map[string]string{
		"zone":             m.zone.name,
		"ip":               m.ip,
		"limits.cpu_share": "0.32",
		"limits.memory_mb": "284",
		"listen.front":     m.front(),
		"listen.ready":     fmt.Sprintf("%s:%d", m.ip, portReady),
		"listen.control":   fmt.Sprintf("%s:%d", m.ip, portControl),
		"seeds":            f.seeds(),
		"seeds.0":          f.seeds(),
		"platform.address": fmt.Sprintf("%s.250:%d", f.prefix, portStore),
	}
	if f.paths != nil {
		values["platform.address"] = fmt.Sprintf("%s:%d", m.ip, portStore)
	}
	for k, v := range f.bounds {
		values["bounds."+k] = v
	}
	text := section.ReplaceAllStringFunc(string(b), func(s string) string {
		p := section.FindStringSubmatch(s)
		if p[1] == "zones" {
			return strings.Join(regions, ",")
		}
		if values[p[1]] == "" {
			return ""
		}
		return p[2]
	})
	return gap.ReplaceAllStringFunc(text, func(s string) string { return values[strings.Trim(s, "{}")] }), nil
}

func (f *fleet) settingsFile(m *machine) string { return filepath.Join(f.dir, m.name+".ini") }

// start starts the process of a machine with the command of the deploy file.
func (f *fleet) start(m *machine) error {
	text, err := f.settings(m)
	if err != nil {
		return err
	}
	if err := os.WriteFile(f.settingsFile(m), []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(f.dir, m.name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command("target/ploverd")
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"),
		"HOME=" + os.Getenv("HOME"),
		"PLOVERJUNCTION_SETTINGS=" + f.settingsFile(m),
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd, m.done = cmd, make(chan struct{})
	go func(done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(m.done)
	f.rec.line("started %s at %s", m.name, m.ip)
	return nil
}

// ready reports whether a machine answers 200 at its ready address.
func ready(m *machine) bool {
	c := &http.Client{
		Timeout: time.Second,
	}
	res, err := c.Get(fmt.Sprintf("http://%s:%d/readyz", m.ip, portReady))
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready.
func (f *fleet) awaitReady() error {
	end := time.Now().Add(45 * time.Second)
	for _, m := range f.machines {
		for !ready(m) {
			if time.Now().After(end) {
				return errors.New("not ready in time: " + m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.rec.line("all machines are ready")
	return nil
}

// close ends all processes that the case started.
func (f *fleet) close() {
	for _, m := range f.machines {
		if m.cmd == nil {
			continue
		}
		m.signal(syscall.SIGCONT)
		_ = m.cmd.Process.Kill()
		<-m.done
	}
	for _, b := range f.backends {
		_ = b.listener.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs in", f.dir)
	}
}
