// SPDX-License-Identifier: Apache-2.0

package task_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ploverjunction.example/ploverjunction/internal/task"
)

func ExampleGo() {
	t := task.Go(context.Background(), "wait", func(ctx context.Context) error {
		<-ctx.Done()
		return nil
	})
	fmt.Println(t.Name(), t.Stop())
	// Output: wait <nil>
}

func TestPanicEndsTaskWithError(t *testing.T) {
	err := <-task.Go(t.Context(), "bad", func(context.Context) error { panic("no") }).Done()
	var pe *task.PanicError
	if !errors.As(err, &pe) || !strings.Contains(err.Error(), "bad panicked: no") {
		t.Fatalf("got %v", err)
	}
}

func TestGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g task.Group
		for i := range 3 {
			g.Go(t.Context(), "sleep", func(context.Context) error {
				time.Sleep(time.Duration(i) * time.Second)
				return nil
			})
		}
		time.Sleep(1500 * time.Millisecond)
		if err := g.Reap(); err != nil || g.Len() != 1 {
			t.Errorf("%d left, err %v", g.Len(), err)
		}
		if err := g.Wait(); err != nil || g.Len() != 0 {
			t.Errorf("%d left, err %v", g.Len(), err)
		}
	})
}
