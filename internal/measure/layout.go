package measure

import (
	"context"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/httpjson"
	"sycamoredeal/internal/testbed"
)

const layoutQuiet = 4 * time.Second // without a new order, the initial layout counts as complete

// waitLayout waits until the planner has given no order for a while.
func waitLayout(ctx context.Context, f *testbed.Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, layoutLimit)
	defer cancel()
	last, since := -1, time.Now()
	for time.Since(since) < layoutQuiet || last <= 0 {
		if n := orders(ctx, f.Hosts[0].AdminAddr); n != last {
			last, since = n, time.Now()
		}
		clock.Sleep(ctx, 200*time.Millisecond)
		if ctx.Err() != nil {
			return errors.Errorf("the layout was not complete after %s, %d orders", layoutLimit, last)
		}
	}
	return nil
}

// orders returns how many orders to engines the cell has decided, or -1.
func orders(ctx context.Context, admin string) int {
	var st struct {
		Orders int `json:"orders"`
	}
	if httpjson.Get(ctx, "http://"+admin+"/v1/status", &st) != nil {
		return -1
	}
	return st.Orders
}
