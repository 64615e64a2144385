// SPDX-License-Identifier: Apache-2.0

package node

import (
	"github.com/sirupsen/logrus"

	"ploverjunction.example/ploverjunction/internal/logging"
	"ploverjunction.example/ploverjunction/internal/settings"
)

// Reload applies settings that were read again, or logs the error in them. Seeds, the log level and
// the wait of a planned stop take effect at once; a change that needs other ports or controllers
// takes effect at the next start and is logged. Invalid settings change nothing. It may be called
// concurrently with Run.
func (n *Node) Reload(set *settings.Settings, err error) {
	log := logging.Part(n.log, "settings")
	if err != nil {
		log.WithError(err).Error("settings not reloaded, the old ones stay in force")
		return
	}
	for _, w := range set.Warnings() {
		log.WithError(w).Warn("a safe value is taken in place of a wrong one")
	}
	old := n.live.Swap(set)
	if level, err := logrus.ParseLevel(set.LogLevel()); err == nil {
		n.log.SetLevel(level)
	}
	restart := set.EntryListen() != old.EntryListen() || set.OperatorListen() != old.OperatorListen() ||
		set.PeerListen() != old.PeerListen() || set.Source() != old.Source() || set.Platform() != old.Platform() ||
		set.Choice() != old.Choice() || set.DataHall() != old.DataHall()
	log.WithField("seeds", len(set.Seeds())).WithField("needs_restart", restart).Info("settings reloaded")
}

// seeds returns the seeds in force.
func (n *Node) seeds() []string {
	var out []string
	for _, s := range n.live.Load().Seeds() {
		out = append(out, s.String())
	}
	return out
}
