// SPDX-License-Identifier: Apache-2.0

// Package wire holds the messages of the fleet, generated from the schemas
// config.proto (published configuration), peer.proto (calls between processes)
// and datagram.proto (datagrams between processes).
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative config.proto peer.proto datagram.proto
