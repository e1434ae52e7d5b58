package objects_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/objects"
	standin "sycamoredeal/internal/standin/platform"
)

// startPlatform starts a stand-in of the platform. It returns a client of it and a function that sets its faults.
func startPlatform(t *testing.T) (*objects.Client, func(string)) {
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

// TestErrorForEachFault guards against a wrong error for a fault of the platform. In particular, a change that may have
// taken effect must be reported as ErrUnavailable.
func TestErrorForEachFault(t *testing.T) {
	c, setFaults := startPlatform(t)
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
		setFaults(v.faults)
		if v.name == "answer lost" {
			o.Name = "d"
		}
		_, err := c.Create(t.Context(), o)
		if !errors.Is(err, v.want) && (v.want != nil || err != nil) {
			t.Errorf("%s: %v, want %v", v.name, err, v.want)
		}
		setFaults(`{}`)
		if _, err := c.Get(t.Context(), o.Kind, o.Name); (err == nil) != v.stored {
			t.Errorf("%s: Get after Create: %v, want stored %v", v.name, err, v.stored)
		}
	}
	setFaults(`{"writesPerSecond":1}`)
	var throttled bool
	for range 3 {
		_, err := c.Create(t.Context(), o)
		throttled = throttled || errors.Is(err, objects.ErrThrottled)
	}
	if !throttled {
		t.Error("no call returned ErrThrottled")
	}
}

// TestListLag guards against a stand-in whose lists show a change before the configured lag has passed, or never.
func TestListLag(t *testing.T) {
	c, setFaults := startPlatform(t)
	setFaults(`{"listLagMs":200}`)
	o, _ := objects.Encode(objects.KindEndpoint, "e", "", 1)
	if _, err := c.Create(t.Context(), o); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	for {
		list, _, err := c.List(t.Context(), objects.KindEndpoint)
		if err != nil || time.Since(start) > 2*time.Second {
			t.Fatal(list, err)
		}
		if len(list) == 1 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if d := time.Since(start); d < 150*time.Millisecond {
		t.Errorf("the list shows the object after %s, want 200 ms", d)
	}
}

// TestFollow guards against updates that Follow misses after an outage or after a version has expired (410).
func TestFollow(t *testing.T) {
	c, setFaults := startPlatform(t)
	ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
	defer cancel()
	seen := make(chan string, 1<<14)
	go objects.Follow(ctx, c, objects.KindHead, "head", func(o objects.Object) { seen <- string(o.Data) }, func(error) {})
	waitFor := func(want string) {
		t.Helper()
		for {
			select {
			case data := <-seen:
				if data == want {
					return
				}
			case <-ctx.Done():
				t.Fatalf("version with data %s was not passed to fn", want)
			}
		}
	}
	o, _ := objects.Encode(objects.KindHead, "head", "", 1)
	o, err := c.Create(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	waitFor("1")
	setFaults(`{"outage":true}`)
	setFaults(`{}`)
	o.Data = []byte("2")
	if o, err = c.Update(ctx, o); err != nil {
		t.Fatal(err)
	}
	waitFor("2")
}

// TestExpiredWatch guards against a watch that doesn't return ErrExpired for a version that is too old (410).
func TestExpiredWatch(t *testing.T) {
	c, _ := startPlatform(t)
	o, _ := objects.Encode(objects.KindLease, "l", "", 0)
	o, err := c.Create(t.Context(), o)
	for i := 0; i < 4200 && err == nil; i++ { // more updates than the stand-in keeps events
		o, err = c.Update(t.Context(), o)
	}
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Watch(t.Context(), o.Kind, o.Name, "1", func(objects.Event) {}); !errors.Is(err, objects.ErrExpired) {
		t.Fatalf("%v, want %v", err, objects.ErrExpired)
	}
}

// TestWatchError guards against an error of the platform that is taken for an expired version: it would be neither logged nor
// waited for, and a client that is to send less would list at once.
func TestWatchError(t *testing.T) {
	for _, tc := range []struct {
		object string
		want   error
	}{
		{`{"code":410}`, objects.ErrExpired}, {`{"code":429}`, objects.ErrThrottled}, {`{"code":500}`, objects.ErrUnavailable},
		{`{"code":400,"message":"bad"}`, objects.ErrUnavailable}, {`{}`, objects.ErrUnavailable},
	} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, `{"type":"ERROR","object":%s}`+"\n", tc.object)
		}))
		c := objects.NewClient(srv.URL, "")
		if err := c.Watch(t.Context(), objects.KindHead, "", "1", func(objects.Event) {}); !errors.Is(err, tc.want) {
			t.Errorf("%s: %v, want %v", tc.object, err, tc.want)
		}
		srv.Close()
	}
}
