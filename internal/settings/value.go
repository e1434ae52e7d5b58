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

const maxSecretBytes = 64 << 10

// apply parses the text into the target and returns a message if it is wrong.
func (v *value) apply() string {
	if v.Kind == "secret" {
		return v.applySecret()
	}
	if v.text == "" {
		switch {
		case v.Required:
			return "is required"
		case v.Default != "" && v.seen:
			return "must not be empty"
		}
		return ""
	}
	switch t := v.target.(type) {
	case *string:
		*t = v.text
		return v.checkText()
	case *bool:
		b, err := strconv.ParseBool(v.text)
		*t = b
		return problem(err, "true or false", v.text)
	case *int:
		return bounded(v, t, strconv.Atoi, "a whole number")
	case *int64:
		return bounded(v, t, parseBytes, "an amount of memory such as 24GiB")
	case *float64:
		return bounded(v, t, parseFloat, "a number")
	case *time.Duration:
		return bounded(v, t, time.ParseDuration, "a duration with a unit such as 200ms")
	}
	return fmt.Sprintf("has an unknown type %T", v.target)
}

func (v *value) checkText() string {
	switch v.Kind {
	case "address":
		ap, err := netip.ParseAddrPort(v.text)
		if err != nil || ap.Port() == 0 {
			return fmt.Sprintf("%q is not an address in the form ip:port", v.text)
		}
	case "url":
		u, err := url.Parse(v.text)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return fmt.Sprintf("%q is not an http or https URL", v.text)
		}
	case "enum":
		if !slices.Contains(v.Values, v.text) {
			return fmt.Sprintf("%q is not one of %s", v.text, strings.Join(v.Values, ", "))
		}
	}
	return ""
}

// applySecret reads the file if one is given, else the environment variable. Messages never show the secret.
func (v *value) applySecret() string {
	secret := os.Getenv(v.Env)
	if v.text != "" {
		f, err := os.Open(v.text)
		if err != nil {
			return err.Error()
		}
		defer f.Close()
		b, err := io.ReadAll(io.LimitReader(f, maxSecretBytes))
		if err != nil {
			return err.Error()
		}
		secret = strings.TrimSpace(string(b))
		if secret == "" {
			return fmt.Sprintf("file %s is empty", v.text)
		}
	}
	if secret == "" && v.Required {
		return "is required"
	}
	if strings.ContainsAny(secret, "\r\n") {
		return "must be a single line"
	}
	*v.target.(*string) = secret
	return ""
}

func bounded[T cmp.Ordered](v *value, target *T, parse func(string) (T, error), what string) string {
	got, err := parse(v.text)
	if err != nil {
		return problem(err, what, v.text)
	}
	if least, err := parse(v.Min); v.Min != "" && (err != nil || got < least) {
		return fmt.Sprintf("%s is below the least value %s", v.text, v.Min)
	}
	if most, err := parse(v.Max); v.Max != "" && (err != nil || got > most) {
		return fmt.Sprintf("%s is above the greatest value %s", v.text, v.Max)
	}
	*target = got
	return ""
}

func problem(err error, what, text string) string {
	if err == nil {
		return ""
	}
	return fmt.Sprintf("%q is not %s", text, what)
}

func parseBytes(s string) (int64, error) {
	b, err := config.ParseBytes(s)
	return int64(b), err
}

func parseFloat(s string) (float64, error) {
	f, err := strconv.ParseFloat(s, 64)
	if err == nil && (math.IsNaN(f) || math.IsInf(f, 0)) {
		err = strconv.ErrRange
	}
	return f, err
}
