// SPDX-License-Identifier: Apache-2.0

package order_test

import (
	"fmt"
	"testing"

	"ploverjunction.example/ploverjunction/internal/order"
)

func ExamplePosition_Compare() {
	before, after := order.At(1, 44), order.At(2, 41)
	fmt.Println(before.Compare(after), order.Max(before, after))
	// Output: -1 2/41
}

func ExampleStamp_Compare() {
	first, restarted := order.StampOf(1700000000000, 9), order.StampOf(1700000005000, 1)
	fmt.Println(first.Compare(restarted), first.Compare(first.Next()))
	// Output: -1 -1
}

func TestCompare(t *testing.T) {
	tests := []struct {
		name string
		got  int
		want int
	}{
		{
			name: "revisions of one era",
			got:  order.At(1, 2).Compare(order.At(1, 1)),
			want: 1,
		},
		{
			name: "greater revision of an earlier era",
			got:  order.At(1, 9).Compare(order.At(2, 1)),
			want: -1,
		},
		{
			name: "one position",
			got:  order.At(3, 9).Compare(order.At(3, 9)),
		},
		{
			name: "no position",
			got:  order.Position{}.Compare(order.At(0, 1)),
			want: -1,
		},
		{
			name: "counts of one incarnation",
			got:  order.StampOf(5, 2).Compare(order.StampOf(5, 1)),
			want: 1,
		},
		{
			name: "later incarnation with a new count",
			got:  order.StampOf(6, 1).Compare(order.StampOf(5, 9)),
			want: 1,
		},
	}
	for _, tt := range tests {
		if tt.got != tt.want {
			t.Errorf("%s: got %d, want %d", tt.name, tt.got, tt.want)
		}
	}
}
