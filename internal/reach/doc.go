// SPDX-License-Identifier: Apache-2.0

// Package reach determines whether this node reaches any target of a service. An attempt that opens no
// connection, or gets no answer, shows a fault of its target or one of the paths of this node; the
// fault is the node's if other targets of the service cannot be reached either (Huang et al., "Gray
// failure", HotOS 2017, call this differential observability).
package reach
