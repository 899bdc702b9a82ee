package greengageroute_test

import (
	"fmt"
	"testing"

	greengageroute "greengageroute.example/greengageroute"
)

func ExampleStoreRevision_Before() {
	before := greengageroute.StoreRevision{Era: 1, Version: 298}
	restored := greengageroute.StoreRevision{Era: 2, Version: 282}
	fmt.Println(before.Before(restored), restored.Before(before))
	// Output: true false
}

// TestStatedAfter guards against rows of a restored store that outweigh what their targets
// wrote later.
func TestStatedAfter(t *testing.T) {
	row := func(era, version uint64, start int64, statement uint64) greengageroute.Target {
		return greengageroute.Target{Revision: greengageroute.StoreRevision{Era: era, Version: version}, StartUnixMilli: start, Statement: statement}
	}
	tests := []struct {
		name       string
		row, known greengageroute.Target
		want       bool
	}{
		{"higher version of the same era", row(1, 8, 5, 1), row(1, 7, 5, 9), true},
		{"lower version of the same era", row(1, 6, 5, 9), row(1, 7, 5, 1), false},
		{"the copy is older", row(2, 6, 5, 3), row(1, 7, 5, 4), false},
		{"the copy has the same", row(2, 6, 5, 4), row(1, 7, 5, 4), false},
		{"written again with a change", row(2, 6, 5, 5), row(1, 7, 5, 4), true},
		{"restarted meanwhile", row(2, 6, 6, 1), row(1, 7, 5, 4), true},
		{"the copy shows an earlier start", row(2, 6, 4, 9), row(1, 7, 5, 1), false},
		{"the target doesn't count", row(2, 6, 5, 0), row(1, 7, 5, 0), true},
		{"a row from before the restoration", row(1, 9, 5, 3), row(2, 6, 5, 4), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.row.StatedAfter(test.known); got != test.want {
				t.Errorf("stated after: %v, want %v", got, test.want)
			}
		})
	}
}

// TestStatedBefore guards against rows that arrive at the store after later ones of their target.
func TestStatedBefore(t *testing.T) {
	row := func(start int64, statement uint64) greengageroute.Target {
		return greengageroute.Target{StartUnixMilli: start, Statement: statement}
	}
	tests := []struct {
		name       string
		row, known greengageroute.Target
		want       bool
	}{
		{"earlier", row(5, 3), row(5, 4), true},
		{"the same", row(5, 4), row(5, 4), false},
		{"later", row(5, 5), row(5, 4), false},
		{"the target doesn't count", row(5, 0), row(5, 4), false},
		{"of an earlier start", row(4, 9), row(5, 1), true},
		{"of a later start", row(6, 1), row(5, 9), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.row.StatedBefore(test.known); got != test.want {
				t.Errorf("stated before: %v, want %v", got, test.want)
			}
		})
	}
}
