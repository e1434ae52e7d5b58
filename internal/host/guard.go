package host

import (
	"runtime/debug"

	"github.com/juju/errors"

	"sycamoredeal/internal/telemetry"
)

// catchPanic calls do and returns a panic as an error. A malformed message or an unexpected state then ends one connection
// or one round of a periodic task instead of the process with all its requests.
func catchPanic(log telemetry.Logger, what string, do func()) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Errorf("%s: panic: %v", what, r)
			log.Error().Str("what", what).Str("panic", errors.Details(err)).Str("stack", string(debug.Stack())).Msg("Unexpected error.")
		}
	}()
	do()
	return nil
}
