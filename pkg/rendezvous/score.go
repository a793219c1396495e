// Package rendezvous scores pairs of a key and a node, for choosing the nodes
// with the highest scores for a key.
package rendezvous

import "github.com/cespare/xxhash/v2"

// The steps of Score.
const (
	shiftA     = 12
	shiftB     = 25
	shiftC     = 27
	multiplier = 2685821657736338717
)

// Hash returns the hash of a key or a node.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Score mixes the hashes of a key and a node by the xorshift* step.
func Score(key, node uint64) uint64 {
	value := key ^ node
	value ^= value >> shiftA
	value ^= value << shiftB
	value ^= value >> shiftC
	return value * multiplier
}
