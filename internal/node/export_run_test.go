// SPDX-License-Identifier: Apache-2.0

package node

// EntryAddr returns the address for callers.
func (n *Node) EntryAddr() string { return n.entry.Addr() }

// Ready reports whether the load balancer should send callers to the node.
func (n *Node) Ready() bool {
	ready, _ := n.ready()
	return ready
}
