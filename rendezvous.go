package greengageroute

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous returns the given number of nodes that are responsible for the key,
// by highest random weight. When a node is removed, only its keys move.
func Rendezvous(key string, nodes []string, count int) []string {
	ranked := slices.Clone(nodes)
	weight := func(node string) uint64 { return xxhash.Sum64String(node + "\x00" + key) }
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(weight(b), weight(a)) })
	return ranked[:min(count, len(ranked))]
}
