package greengageroute

import (
	"cmp"
	"maps"
	"slices"
)

type (
	// Set is a set of values that can be sorted.
	Set[T cmp.Ordered] map[T]struct{}
)

// NewSet returns a set of the given values.
func NewSet[T cmp.Ordered](values ...T) Set[T] {
	set := make(Set[T], len(values))
	for _, value := range values {
		set[value] = struct{}{}
	}
	return set
}

// Has reports whether the value is in the set.
func (set Set[T]) Has(value T) bool {
	_, ok := set[value]
	return ok
}

// Add adds a value to the set and reports whether it was new.
func (set Set[T]) Add(value T) bool {
	if set.Has(value) {
		return false
	}
	set[value] = struct{}{}
	return true
}

// Sorted returns the values in ascending order.
func (set Set[T]) Sorted() []T {
	return slices.Sorted(maps.Keys(set))
}
