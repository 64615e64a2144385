// SPDX-License-Identifier: Apache-2.0

package fleetconfig

import (
	"cmp"
	"slices"
	"strings"
)

// hall counts the targets of a service in one data hall.
type hall struct {
	name  string
	total int
	// slots are those of all targets, draining ones included.
	slots int
	// notDraining counts the targets that are not draining.
	notDraining int
}

// Halls returns the data halls with targets that are not draining, sorted.
func (s *Service) Halls() []string {
	out := make([]string, 0, len(s.halls))
	for _, h := range s.halls {
		if h.notDraining > 0 {
			out = append(out, h.name)
		}
	}
	return out
}

// Slots returns how many requests all targets together process concurrently.
func (s *Service) Slots() int { return s.slots }

// HallSize is the size of a service in one data hall, with draining targets.
type HallSize struct {
	Targets int
	Slots   int
}

// HallSizes returns the size of the service in each data hall with targets, draining ones included.
func (s *Service) HallSizes() map[string]HallSize {
	out := make(map[string]HallSize, len(s.halls))
	for _, h := range s.halls {
		out[h.name] = HallSize{
			Targets: h.total,
			Slots:   h.slots,
		}
	}
	return out
}

func byAddress(a, b *Target) int {
	return cmp.Or(strings.Compare(a.address, b.address), strings.Compare(a.id, b.id), strings.Compare(a.key, b.key))
}

func byKey(a, b *Target) int { return strings.Compare(a.key, b.key) }

// setTargets replaces the targets of the service.
func (s *Service) setTargets(list []*Target) {
	s.targets = slices.SortedFunc(slices.Values(list), byAddress)
	s.keyed = slices.SortedFunc(slices.Values(list), byKey)
	s.halls, s.slots = nil, 0
	for _, t := range list {
		s.countTarget(t, 1)
	}
}

// countTarget adds n to the count of targets in t's data hall and n times t's slots.
func (s *Service) countTarget(t *Target, n int) {
	at, ok := slices.BinarySearchFunc(s.halls, t.dataHall, func(h hall, name string) int { return strings.Compare(h.name, name) })
	if !ok {
		s.halls = slices.Insert(s.halls, at, hall{
			name: t.dataHall,
		})
	}
	s.slots += n * t.slots
	h := &s.halls[at]
	h.total += n
	h.slots += n * t.slots
	if !t.draining {
		h.notDraining += n
	}
	if h.total == 0 {
		s.halls = slices.Delete(s.halls, at, at+1)
	}
}

// withTargets returns a copy of the service with targets removed and added. The number of
// comparisons grows with the targets that change, not with all.
func (s *Service) withTargets(removed, added []*Target) *Service {
	out := *s
	out.targets = splice(s.targets, removed, added, byAddress)
	out.keyed = splice(s.keyed, removed, added, byKey)
	out.halls = slices.Clone(s.halls)
	for _, t := range removed {
		out.countTarget(t, -1)
	}
	for _, t := range added {
		out.countTarget(t, 1)
	}
	return &out
}

// splice returns a copy of a sorted list with entries removed and added.
func splice(list, removed, added []*Target, compare func(a, b *Target) int) []*Target {
	removed, added = slices.Clone(removed), slices.Clone(added)
	slices.SortFunc(removed, compare)
	slices.SortFunc(added, compare)
	out := make([]*Target, 0, len(list)-len(removed)+len(added))
	from := 0
	for len(removed)+len(added) > 0 {
		if len(added) == 0 || len(removed) > 0 && compare(removed[0], added[0]) <= 0 {
			at, _ := slices.BinarySearchFunc(list, removed[0], compare)
			out = append(out, list[from:at]...)
			from, removed = at+1, removed[1:]
			continue
		}
		at, _ := slices.BinarySearchFunc(list, added[0], compare)
		at = max(at, from)
		out = append(append(out, list[from:at]...), added[0])
		from, added = at, added[1:]
	}
	return append(out, list[from:]...)
}

// TargetChanges returns the targets that only s has, and those that only before has. They are compared by
// identity: an unchanged target keeps its pointer.
func (s *Service) TargetChanges(before *Service) (added, removed []*Target) {
	a, b := s.keyed, before.keyed
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(a) > 0 && len(b) > 0 && a[0] == b[0]:
			a, b = a[1:], b[1:]
		case len(b) == 0 || len(a) > 0 && a[0].key <= b[0].key:
			added, a = append(added, a[0]), a[1:]
		default:
			removed, b = append(removed, b[0]), b[1:]
		}
	}
	return added, removed
}
