// SPDX-License-Identifier: Apache-2.0

package blackboard_test

import (
	"fmt"
	"testing"

	"ploverjunction.example/ploverjunction/internal/blackboard"
)

func ExampleSection() {
	var s blackboard.Section[int]
	changed := s.Watch()
	one := 1
	s.Store(&one)
	<-changed
	fmt.Println(*s.Load())
	// Output: 1
}

func TestWatchMissesNoChange(t *testing.T) {
	var s blackboard.Section[int]
	if s.Load() != nil {
		t.Fatal("an empty section holds a value")
	}
	const last = 1000
	seen := make(chan int)
	go func() {
		defer close(seen)
		for {
			changed := s.Watch()
			if v := s.Load(); v != nil && *v == last {
				return
			}
			<-changed
		}
	}()
	for i := range last + 1 {
		s.Store(&i)
	}
	<-seen
}
