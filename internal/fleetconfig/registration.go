// SPDX-License-Identifier: Apache-2.0

package fleetconfig

import (
	"ploverjunction.example/ploverjunction/internal/wire"
)

// registration is a target that registered itself, independently of the document of its service:
// such targets are added and removed one by one.
type registration struct {
	service string
	target  *Target
	// connections is the number stated by the target itself, 0 if none.
	connections int
}

// isRegistration reports whether a document is the registration of a target.
func isRegistration(d *wire.Document) bool {
	return len(d.GetTargets()) == 1 && d.GetTargets()[0].GetId() != "" &&
		len(d.GetServices())+len(d.GetRoutes())+len(d.GetWorkspaces())+len(d.GetInstances())+len(d.GetEvacuations()) == 0 &&
		d.GetLimits() == nil
}

func newRegistration(w *wire.Target) (*registration, error) {
	if err := checkAddress("target", w.GetAddress()); err != nil {
		return nil, err
	}
	t, err := newTarget(w)
	if err != nil {
		return nil, err
	}
	return &registration{
		service:     w.GetService(),
		target:      t,
		connections: t.connections,
	}, nil
}

// targetFor returns the target as one of a service. The pointer stays the same while the number of
// connections does.
func (r *registration) targetFor(s *Service) (*Target, error) {
	want := r.connections
	if want == 0 {
		want = s.connections
	}
	if err := checkConnections(want, r.target); err != nil {
		return nil, err
	}
	if r.target.connections != want {
		t := *r.target
		t.connections = want
		r.target = &t
	}
	return r.target, nil
}
