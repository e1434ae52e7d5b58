package measure

import (
	"context"

	"github.com/juju/errors"

	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/httpjson"
	"sycamoredeal/internal/testbed"
)

// dispatcher returns the host whose entry process holds the cell's queue.
func dispatcher(ctx context.Context, f *testbed.Fleet) (*testbed.Host, error) {
	var st struct {
		Dispatcher string `json:"dispatcher"`
	}
	for _, h := range f.Hosts {
		if httpjson.Get(ctx, "http://"+h.AdminAddr+"/v1/status", &st) == nil {
			break
		}
	}
	for _, h := range f.Hosts {
		if h.Name == st.Dispatcher {
			return h, nil
		}
	}
	return nil, errors.Errorf("dispatcher %q is not a host of the fleet", st.Dispatcher)
}

// killDispatcher kills the entry process that holds the queue and starts a new one a little later.
func killDispatcher(ctx context.Context, f *testbed.Fleet) error {
	h, err := dispatcher(ctx, f)
	if err != nil {
		return err
	}
	h.Entry.Kill()
	clock.Sleep(ctx, freezeFor)
	return f.StartEntry(h)
}

// freezeDispatcher stops the entry process that holds the queue for a while without ending it.
func freezeDispatcher(ctx context.Context, f *testbed.Fleet) error {
	h, err := dispatcher(ctx, f)
	if err != nil {
		return err
	}
	if err := h.Entry.Suspend(); err != nil {
		return errors.Trace(err)
	}
	clock.Sleep(ctx, freezeFor)
	return errors.Trace(h.Entry.Resume())
}
