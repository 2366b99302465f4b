// Package hasher maps keys to positions in the 64-bit hash space.
//
// # Usage
//
//	position := hasher.Sum("QA76.73")
//
// All hosts and all versions of the daemon must agree on the result, because the stored tables are expressed in
// positions. The function must therefore never change.
package hasher

import "github.com/cespare/xxhash/v2"

// Sum returns the position of key in the hash space.
func Sum(key string) uint64 {
	return xxhash.Sum64String(key)
}
