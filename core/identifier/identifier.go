// Package identifier names single runs of upstream processes.
//
// An upstream may start again under the ID that it had. The new process knows nothing of the former one: it has no grants, no
// requests and no load of it. What is known about one run must therefore not reach the next one, in whatever order messages
// arrive. Reports, orders, results and caches name an Incarnation, so that the ID alone does not compile.
//
// # Usage
//
//	i := identifier.Incarnation{ID: "u1", Start: 1700000000000}
//	i.Tag()                          // short form, for messages between hosts
//	i, ok := identifier.Parse("u1/1700000000000")
package identifier

import (
	"cmp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Incarnation identifies one run of the process of an upstream.
type Incarnation struct {
	ID string
	// Start is the time of the start in Unix milliseconds, as the upstream states it. It distinguishes the runs with an ID.
	// It does not order them, because the clock of the upstream may be set back. 0: unknown.
	Start int64
}

// Tag is a digest of an Incarnation. It is shorter than the ID.
type Tag uint64

// Tag returns the digest of i.
func (i Incarnation) Tag() Tag { return Tag(xxhash.Sum64String(i.String())) }

// Compare orders incarnations by ID and start, for a stable order of lists.
func Compare(a, b Incarnation) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Start, b.Start))
}

// IsZero reports whether i names no upstream.
func (i Incarnation) IsZero() bool { return i == Incarnation{} }

// String returns the text form, ID/Start.
func (i Incarnation) String() string { return i.ID + "/" + strconv.FormatInt(i.Start, 10) }

// Parse decodes the text form. It returns false for any other text.
func Parse(text string) (Incarnation, bool) {
	slash := strings.LastIndexByte(text, '/')
	if slash < 0 {
		return Incarnation{}, false
	}
	start, err := strconv.ParseInt(text[slash+1:], 10, 64)
	return Incarnation{ID: text[:slash], Start: start}, err == nil
}

// Index resolves tags.
type Index map[Tag]Incarnation

// Add adds an incarnation.
func (x Index) Add(i Incarnation) { x[i.Tag()] = i }
