package objects

import (
	"strconv"

	"github.com/juju/errors"
)

// revisionBits is the number of bits of a version that hold the revision; those above hold the generation.
const revisionBits = 40

// MakeVersion returns the version of an object in a store that may return from an older copy of itself. It then gives revisions
// out again, so that only its generation, which rises each time, and the revision together have an order that never goes back.
func MakeVersion(generation, revision uint64) string {
	return strconv.FormatUint(generation<<revisionBits|revision, 10)
}

// ParseVersion returns the generation and the revision of a version.
func ParseVersion(version string) (generation, revision uint64, err error) {
	v, err := strconv.ParseUint(version, 10, 64)
	return v >> revisionBits, v & (1<<revisionBits - 1), errors.Trace(err)
}

// GenerationOf returns the generation of a version, or 0 if it states none.
func GenerationOf(version string) uint64 {
	generation, _, err := ParseVersion(version)
	if err != nil {
		return 0
	}
	return generation
}
