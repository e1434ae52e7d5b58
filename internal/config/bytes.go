package config

import (
	"math"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Bytes is an amount of memory. In YAML it is a number with an optional unit: KiB, MiB, GiB, TiB.
type Bytes int64

var byteUnits = []struct {
	suffix string
	factor float64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"TiB", 1 << 40}, {"", 1}}

// ParseBytes parses an amount such as "24GiB".
func ParseBytes(s string) (Bytes, error) {
	s = strings.TrimSpace(s)
	for _, u := range byteUnits {
		num, ok := strings.CutSuffix(s, u.suffix)
		if !ok {
			continue
		}
		f, err := strconv.ParseFloat(strings.TrimSpace(num), 64)
		if err != nil || f < 0 || math.IsNaN(f) || f*u.factor >= math.MaxInt64 {
			return 0, errors.Errorf("%q is not an amount of memory such as 24GiB", s)
		}
		return Bytes(f * u.factor), nil
	}
	return 0, errors.Errorf("%q is not an amount of memory such as 24GiB", s)
}

// UnmarshalYAML implements the interface of goccy/go-yaml.
func (b *Bytes) UnmarshalYAML(data []byte) error {
	v, err := ParseBytes(strings.Trim(string(data), " \n\"'"))
	if err != nil {
		return err
	}
	*b = v
	return nil
}
