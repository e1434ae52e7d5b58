package host

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/sched"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/wire"
)

// TestRepeatsAlone replays requests that meet a fault at one endpoint after the other while the dispatcher is away (caprired
// scale-2: 575 repeats in ten seconds, 388 were allowed, most of them sent without the dispatcher). Hosts together must
// leave the dispatcher its part of the budget.
func TestRepeatsAlone(t *testing.T) {
	const hosts, firsts, extra, ratio = 4, 50, 100.0, 0.2
	d := fleet.Deployment{Host: "h0", RetryRatio: ratio, RetryExtra: extra, RetryWindow: 10 * time.Second}
	h := New(Options{Deployment: d, Log: telemetry.NewLogger(os.Stderr, "error", "test")})
	v := &fleet.View{Config: &fleet.Config{Version: 1}, Listed: true}
	for i := range hosts {
		v.Hosts = append(v.Hosts, fleet.Host{Name: fmt.Sprint("h", i)})
	}
	v.Endpoints = []fleet.Endpoint{{ID: "p0", Service: "app", Slots: 1000}}
	h.directory.now.Store(v)
	send := func(repeat bool) error {
		now := time.Now()
		b, err := h.binder.bind(context.Background(), wire.Ask{Service: "app", Repeat: repeat}, now.Add(time.Second), now)
		if err == nil {
			b.done(wire.Done{})
		}
		return err
	}
	for range firsts {
		if err := send(false); err != nil {
			t.Fatal(err)
		}
	}
	allowed := 0
	for range 10 * firsts {
		if send(true) == nil {
			allowed++
		}
	}
	share := sched.AloneExtra * extra / hosts
	if want := int(ratio*firsts + share); allowed != want {
		t.Errorf("%d repeats after %d first sends, want %d", allowed, firsts, want)
	}
}
