package settings

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"sycamoredeal/internal/config"
)

// maxSecretBytes is how much of a secret's file is read; the rest is ignored.
const maxSecretBytes = 64 << 10

// parse parses the text of the setting into its target. It returns a message if the setting is invalid, else the empty
// string.
func (s *setting) parse() string {
	if s.Kind == "secret" {
		return s.parseSecret()
	}
	if s.raw == "" {
		switch {
		case s.Required:
			return "is required"
		case s.Default != "" && s.isSet:
			return "must not be empty"
		}
		return ""
	}
	switch target := s.target.(type) {
	case *string:
		*target = s.raw
		return s.checkString()
	case *bool:
		b, err := strconv.ParseBool(s.raw)
		*target = b
		return parseMessage(err, "true or false", s.raw)
	case *int:
		return parseBounded(s, target, strconv.Atoi, "a whole number")
	case *int64:
		return parseBounded(s, target, parseBytes, "an amount of memory such as 24GiB")
	case *float64:
		return parseBounded(s, target, parseFloat, "a number")
	case *time.Duration:
		return parseBounded(s, target, time.ParseDuration, "a duration with a unit such as 200ms")
	}
	return fmt.Sprintf("has an unknown type %T", s.target)
}

// checkString checks the text of a setting whose Go type is string against its kind.
func (s *setting) checkString() string {
	switch s.Kind {
	case "address":
		addrPort, err := netip.ParseAddrPort(s.raw)
		if err != nil || addrPort.Port() == 0 {
			return fmt.Sprintf("%q is not an address in the form ip:port", s.raw)
		}
	case "url":
		u, err := url.Parse(s.raw)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return fmt.Sprintf("%q is not an http or https URL", s.raw)
		}
	case "enum":
		if !slices.Contains(s.Values, s.raw) {
			return fmt.Sprintf("%q is not one of %s", s.raw, strings.Join(s.Values, ", "))
		}
	}
	return ""
}

// parseSecret reads a secret from its file if one is given, else from its environment variable. Messages never contain
// the secret.
func (s *setting) parseSecret() string {
	secret := os.Getenv(s.Env)
	if s.raw != "" {
		f, err := os.Open(s.raw)
		if err != nil {
			return err.Error()
		}
		defer f.Close()
		b, err := io.ReadAll(io.LimitReader(f, maxSecretBytes+1))
		if err != nil {
			return err.Error()
		}
		if len(b) > maxSecretBytes {
			return fmt.Sprintf("file %s is longer than %d bytes", s.raw, maxSecretBytes)
		}
		secret = strings.TrimSpace(string(b))
		if secret == "" {
			return fmt.Sprintf("file %s is empty", s.raw)
		}
	}
	if secret == "" && s.Required {
		return "is required"
	}
	if strings.ContainsAny(secret, "\r\n") {
		return "must be a single line"
	}
	*s.target.(*string) = secret
	return ""
}

// parseBounded parses the text of s into target and checks its bounds. It returns a message if the text is invalid;
// expected names the required form in that message.
func parseBounded[T cmp.Ordered](s *setting, target *T, parse func(string) (T, error), expected string) string {
	parsed, err := parse(s.raw)
	if err != nil {
		return parseMessage(err, expected, s.raw)
	}
	if lower, err := parse(s.Min); s.Min != "" && (err != nil || parsed < lower) {
		return fmt.Sprintf("%s is below the minimum %s", s.raw, s.Min)
	}
	if upper, err := parse(s.Max); s.Max != "" && (err != nil || parsed > upper) {
		return fmt.Sprintf("%s is above the maximum %s", s.raw, s.Max)
	}
	*target = parsed
	return ""
}

// parseMessage returns a message that text does not have the expected form, or the empty string if err is nil.
func parseMessage(err error, expected, text string) string {
	if err == nil {
		return ""
	}
	return fmt.Sprintf("%q is not %s", text, expected)
}

// parseBytes parses a number of bytes with or without a unit.
func parseBytes(s string) (int64, error) {
	b, err := config.ParseBytes(s)
	return int64(b), err
}

// parseFloat parses a finite number.
func parseFloat(s string) (float64, error) {
	f, err := strconv.ParseFloat(s, 64)
	if err == nil && (math.IsNaN(f) || math.IsInf(f, 0)) {
		err = strconv.ErrRange
	}
	return f, err
}
