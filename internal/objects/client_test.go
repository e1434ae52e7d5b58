package objects_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/objects"
	standin "sycamoredeal/internal/standin/platform"
)

func server(t *testing.T) (*objects.Client, func(string)) {
	srv := httptest.NewServer(standin.New())
	t.Cleanup(srv.CloseClientConnections)
	t.Cleanup(srv.Close)
	return objects.NewClient(srv.URL, ""), func(faults string) {
		t.Helper()
		req, _ := http.NewRequest(http.MethodPut, srv.URL+"/_faults", strings.NewReader(faults))
		resp, err := http.DefaultClient.Do(req)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatal(resp, err)
		}
		resp.Body.Close()
	}
}

// TestFaults guards against a fault of the platform that is reported as another: only ErrUnavailable leaves the outcome
// of an update open.
func TestFaults(t *testing.T) {
	c, faults := server(t)
	o, _ := objects.Encode(objects.KindLease, "c", "", 1)
	for _, v := range []struct {
		name, faults string
		want         error
		stored       bool
	}{
		{"outage", `{"outage":true}`, objects.ErrUnavailable, false},
		{"rate limit", `{"writesPerSecond":-1,"readsPerSecond":0}`, nil, true},
		{"exists", `{}`, objects.ErrConflict, true},
		{"timeout", `{"delayMs":1300}`, objects.ErrUnavailable, true},
		{"answer lost", `{"loseAnswer":1}`, objects.ErrUnavailable, true},
	} {
		faults(v.faults)
		if v.name == "answer lost" {
			o.Name = "d"
		}
		_, err := c.Create(t.Context(), o)
		if !errors.Is(err, v.want) && (v.want != nil || err != nil) {
			t.Errorf("%s: %v, want %v", v.name, err, v.want)
		}
		faults(`{}`)
		if _, err := c.Get(t.Context(), o.Kind, o.Name); (err == nil) != v.stored {
			t.Errorf("%s: read back: %v, want stored %v", v.name, err, v.stored)
		}
	}
	faults(`{"writesPerSecond":1}`)
	var throttled bool
	for range 3 {
		_, err := c.Create(t.Context(), o)
		throttled = throttled || errors.Is(err, objects.ErrThrottled)
	}
	if !throttled {
		t.Error("no call was throttled")
	}
}

// TestListLag guards against lists of the stand-in that show a change before the lag has passed, or never.
func TestListLag(t *testing.T) {
	c, faults := server(t)
	faults(`{"listLagMs":200}`)
	o, _ := objects.Encode(objects.KindEndpoint, "e", "", 1)
	if _, err := c.Create(t.Context(), o); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	for {
		l, _, err := c.List(t.Context(), objects.KindEndpoint)
		if err != nil || time.Since(start) > 2*time.Second {
			t.Fatal(l, err)
		}
		if len(l) == 1 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if d := time.Since(start); d < 150*time.Millisecond {
		t.Errorf("shown after %s, want 200 ms", d)
	}
}

// TestFollow guards against updates that are missed after an outage or after a version expired (410).
func TestFollow(t *testing.T) {
	c, faults := server(t)
	ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
	defer cancel()
	got := make(chan string, 1<<14)
	go objects.Follow(ctx, c, objects.KindHead, "head", func(o objects.Object) { got <- string(o.Data) }, func(error) {})
	want := func(data string) {
		t.Helper()
		for {
			select {
			case d := <-got:
				if d == data {
					return
				}
			case <-ctx.Done():
				t.Fatalf("%s not seen", data)
			}
		}
	}
	o, _ := objects.Encode(objects.KindHead, "head", "", 1)
	o, err := c.Create(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	want("1")
	faults(`{"outage":true}`)
	faults(`{}`)
	o.Data = []byte("2")
	if o, err = c.Update(ctx, o); err != nil {
		t.Fatal(err)
	}
	want("2")
}

// TestExpiredWatch guards against a 410 that is not told from other errors.
func TestExpiredWatch(t *testing.T) {
	c, _ := server(t)
	o, _ := objects.Encode(objects.KindLease, "l", "", 0)
	o, err := c.Create(t.Context(), o)
	for i := 0; i < 4200 && err == nil; i++ {
		o, err = c.Update(t.Context(), o)
	}
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Watch(t.Context(), o.Kind, o.Name, "1", func(objects.Event) {}); !errors.Is(err, objects.ErrExpired) {
		t.Fatalf("%v, want %v", err, objects.ErrExpired)
	}
}
