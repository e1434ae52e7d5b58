package control

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/goleak"

	"sycamoredeal/internal/platform"
	standin "sycamoredeal/internal/standin/platform"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/testbed"
)

// TestStopLeaksNothing guards against goroutines that outlive a stopped control process, with seeds, peers, a held
// lease and the admin server.
func TestStopLeaksNothing(t *testing.T) {
	// hertz's event loop is one for the whole process and never ends.
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent(), goleak.IgnoreAnyFunction("github.com/cloudwego/netpoll.(*defaultPoll).Wait"))
	srv := httptest.NewServer(standin.New())
	defer srv.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
	defer cancel()
	ended := make(chan error, 2)
	var cs []*Control
	seed := testbed.FreeAddr()
	for _, host := range []string{"a", "b"} {
		store := platform.NewClient(srv.URL, "")
		defer store.Close()
		o := Options{
			Host: host, Zone: "z", Cell: "c", Listen: testbed.FreeAddr(), EntryAddress: testbed.FreeAddr(), AdminListen: testbed.FreeAddr(),
			Seeds: []string{seed}, Term: 600 * time.Millisecond, Heartbeat: 100 * time.Millisecond, Store: store, Log: telemetry.Discard(),
		}
		c := New(o)
		cs = append(cs, c)
		go func() { ended <- c.Run(ctx) }()
	}
	for ctx.Err() == nil && (len(cs[0].Status().Members) < 2 || cs[0].Status().Lease.Epoch == 0) {
		time.Sleep(10 * time.Millisecond)
	}
	if ctx.Err() != nil {
		t.Error("the two processes did not form a cell")
	}
	cancel()
	for range cs {
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}
