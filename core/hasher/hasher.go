// Package hasher maps keys to the 64-bit hash space.
//
// # Usage
//
//	hash := hasher.Sum("QA76.73")
//
// The hash function must never change: stored ownership tables contain hashes, so all hosts and all versions of the
// daemon must compute the same ones.
package hasher

import "github.com/cespare/xxhash/v2"

// Sum returns the XXH64 hash of key with seed 0.
func Sum(key string) uint64 {
	return xxhash.Sum64String(key)
}
