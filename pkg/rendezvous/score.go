// Package rendezvous computes the scores of rendezvous hashing: each key is
// assigned to the node with the highest score for it.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Constants of the xorshift64* generator.
const (
	firstRightShift  = 12
	leftShift        = 25
	secondRightShift = 27
	multiplier       = 2685821657736338717
)

// Hash returns the 64-bit xxHash of the name of a key or a node.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Score returns the score of a node for a key, given both hashes: one step of
// the xorshift64* generator, seeded with their exclusive or.
func Score(keyHash, nodeHash uint64) uint64 {
	score := keyHash ^ nodeHash
	score ^= score >> firstRightShift
	score ^= score << leftShift
	score ^= score >> secondRightShift
	return score * multiplier
}
