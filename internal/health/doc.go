// SPDX-License-Identifier: Apache-2.0

// Package health tells how likely each target of a service is to fail the next
// request. A target is a channel with two states that it changes by itself
// (Gilbert, Bell System Technical Journal 1960): while it works it answers nearly
// all requests, while it fails it errs or says nothing. How often targets change,
// and what they do with a request in either state, is learned from the attempts of
// the service; how long an answer may take, from the answers of each route.
//
// The package is pure: it starts no goroutine, opens nothing, logs nothing and takes
// the time as an argument. Nothing in it is safe for concurrent use.
package health
