// Package rendezvous picks one owner of a key among hosts by rendezvous hashing.
package rendezvous

import "github.com/cespare/xxhash/v2"

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

func score(host, key string) uint64 {
	d := xxhash.New()
	d.WriteString(host)
	d.Write([]byte{0}) // separates host and key, so that "a"+"bc" and "ab"+"c" differ
	d.WriteString(key)
	return d.Sum64()
}
