// Package rendezvous picks one owner of a key among hosts by rendezvous hashing.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Pick returns the host with the highest hash of host and key, or "" if there is none. Removing another host never
// changes the result.
func Pick(key string, hosts []string) string {
	var best string
	var top uint64
	for _, h := range hosts {
		if s := score(h, key); best == "" || s > top || s == top && h < best {
			best, top = h, s
		}
	}
	return best
}

// Order returns the hosts in the order of their hashes with key, the one that Pick returns first.
func Order(key string, hosts []string) []string {
	out := slices.Clone(hosts)
	scores := make(map[string]uint64, len(hosts))
	for _, h := range hosts {
		scores[h] = score(h, key)
	}
	slices.SortFunc(out, func(a, b string) int { return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(a, b)) })
	return out
}

func score(host, key string) uint64 {
	d := xxhash.New()
	d.WriteString(host)
	d.Write([]byte{0}) // separates host and key, so that "a"+"bc" and "ab"+"c" differ
	d.WriteString(key)
	return d.Sum64()
}
