package entry

import (
	"context"
	"testing"

	"sycamoredeal/internal/attempt"
	"sycamoredeal/internal/config"
	"sycamoredeal/internal/routing"
	"sycamoredeal/internal/wire"
)

type panicBinder struct{}

func (panicBinder) Bind(context.Context, wire.Ask) (routing.Binding, error) {
	panic("fault in a handler")
}

// TestPanic guards against an empty answer with status 200 after a fault in a handler.
func TestPanic(t *testing.T) {
	b := newBed(t, Options{}, panicBinder{}, config.Declarations{})
	if p := readProblem(t, b.do("POST", "/v1/chat/completions", completionOf(true))); p.Status != 500 || p.Executed != attempt.ExecutedUnknown {
		t.Errorf("%+v, want 500 and unknown", p)
	}
}
