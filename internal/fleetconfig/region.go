// SPDX-License-Identifier: Apache-2.0

package fleetconfig

import (
	"slices"

	"ploverjunction.example/ploverjunction/internal/wire"
)

// Regions are the regions whose targets may serve a request; none means all.
type Regions []string

// Allow reports whether a region is allowed. A target of unknown region has the region "",
// which no list contains.
func (r Regions) Allow(region string) bool { return len(r) == 0 || slices.Contains(r, region) }

func checkRegions(kind, name string, regions []string) error {
	if slices.Contains(regions, "") {
		return fault(KindMissing, "name of a region", "%s %s", kind, name)
	}
	return nil
}

func (c *Config) addEvacuations(d *wire.Document) error {
	for _, w := range d.GetEvacuations() {
		if err := checkName("evacuation", w.GetDataHall()); err != nil {
			return err
		}
		c.evacuated[w.GetDataHall()] = true
	}
	return nil
}
