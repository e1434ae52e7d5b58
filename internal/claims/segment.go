// Package claims decides which attempt holds an idempotency key. It is a deterministic state machine: its inputs are
// claims, results, the answers of the platform and the time, its outputs are actions for the I/O layer.
package claims

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamoredeal/internal/attempt"
)

const (
	// Shards is the number of claim shards. Keys are assigned to them by hash, so it can't change while claims are kept.
	Shards = 16
	// SealBytes is the size of a segment after which it takes no further records. The platform's limit is 1 MB.
	SealBytes = 64 << 10
	// DefaultRetention is how long a key is remembered at least.
	DefaultRetention = 24 * time.Hour
)

// ShardOf returns the shard of a caller's key, 0 to Shards-1.
func ShardOf(caller, key string) int { return int(xxhash.Sum64String(caller+"\x00"+key) % Shards) }

// Record is one entry of a segment. The last record of a key decides. Each record is complete, so that a segment can
// be read without those before it. An outcome of 0 is a claim; one that proves "not run" releases the key.
type Record struct {
	Caller      string          `json:"c"`
	Key         string          `json:"k"`
	Attempt     string          `json:"a"`
	Fingerprint uint64          `json:"f"`
	Outcome     attempt.Outcome `json:"o,omitempty"`
	Status      uint16          `json:"s,omitempty"`
}

// Segment is the content of one claim object. A sealed segment never changes.
type Segment struct {
	Shard    int      `json:"shard"`
	Seq      uint64   `json:"seq"`
	Sealed   bool     `json:"sealed,omitempty"`
	UnixTime int64    `json:"unixTime"` // seconds; time of the last write, used for retention only
	Started  int64    `json:"started"`  // seconds; time of the first write
	Records  []Record `json:"records"`
}

// Stored is a segment with its version in the platform. An empty version means that it does not exist yet.
type Stored struct {
	Segment
	Version string
}

// Name returns the name of a segment's object.
func Name(shard int, seq uint64) string { return fmt.Sprintf("%02d-%012d", shard, seq) }

// ParseName returns the shard and sequence number of an object's name.
func ParseName(name string) (shard int, seq uint64, ok bool) {
	a, b, ok := strings.Cut(name, "-")
	if !ok {
		return 0, 0, false
	}
	shard, err := strconv.Atoi(a)
	if err != nil {
		return 0, 0, false
	}
	seq, err = strconv.ParseUint(b, 10, 64)
	return shard, seq, err == nil
}

// size returns the encoded size of a record in bytes.
func (r *Record) size() int {
	b, _ := json.Marshal(r)
	return len(b) + 1
}

type keyID struct{ caller, key string }

type holding struct {
	Record
	seq uint64 // segment of the last record
}
