package load

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sycamoredeal/internal/standin/engine"
	"sycamoredeal/internal/standin/service"
)

func fakeEntry(t *testing.T, tamper func(string) string) (entry, svc string) {
	eng := engine.New(engine.Options{MemoryBytes: 1 << 30, Slots: 64, TokenTime: time.Millisecond})
	load := httptest.NewRecorder()
	eng.ServeHTTP(load, httptest.NewRequest("POST", "/v1/orders", strings.NewReader(`{"id":1,"action":"load","name":"m1","bytes":1}`)))
	s := service.New(service.Options{})
	mux := http.NewServeMux()
	mux.HandleFunc("/readyz", func(http.ResponseWriter, *http.Request) {})
	mux.Handle("/svc/app/", http.StripPrefix("/svc/app", s))
	mux.HandleFunc("/v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		eng.ServeHTTP(rec, r)
		w.Write([]byte(tamper(rec.Body.String())))
	})
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	direct := httptest.NewServer(s)
	t.Cleanup(direct.Close)
	time.Sleep(20 * time.Millisecond) // the load order ends
	return strings.TrimPrefix(srv.URL, "http://"), strings.TrimPrefix(direct.URL, "http://")
}

func scenario(entry, svc string) *Scenario {
	return &Scenario{
		Seed: 1, Duration: 500 * time.Millisecond, EntryAddrs: []string{entry}, ServiceAddrs: []string{svc}, Accelerators: 1,
		Streams: []Stream{{Name: "s", Caller: "a", Rank: "urgent", Models: []string{"m1"}, Rate: 40, PromptTokens: 10, OutputTokens: 5, FirstTokenTarget: time.Second, BetweenTokensTarget: time.Second, Worth: 1}},
		Calls:   []Call{{Name: "c", Caller: "a", Service: "app", Method: "POST", Path: "/book", Rate: 20, LatencyTarget: time.Second, Worth: 1}},
	}
}

// Guards against a generator that reports sound answers as broken, or that overlooks broken ones.
func TestVerdicts(t *testing.T) {
	cases := []struct {
		name   string
		tamper func(string) string
		bad    func(*Row) int
	}{
		{"sound answers", func(s string) string { return s }, func(r *Row) int { return r.Sent - r.Answered - r.Truncated }},
		{"missing end marker", func(s string) string { return strings.ReplaceAll(s, "data: [DONE]", "") }, func(r *Row) int { return r.Sent - r.Truncated }},
		{"doubled token", func(s string) string {
			e, rest, _ := strings.Cut(s, "\n\n")
			return e + "\n\n" + e + "\n\n" + rest
		}, func(r *Row) int { return r.Sent - r.Wrong }},
	}
	for _, tc := range cases {
		Convey(tc.name, t, func() {
			entry, svc := fakeEntry(t, tc.tamper)
			rep, err := Run(t.Context(), scenario(entry, svc))
			So(err, ShouldBeNil)
			So(len(rep.Rows), ShouldEqual, 2)
			for _, row := range rep.Rows {
				if row.Rank == "urgent" {
					So(row.Sent, ShouldBeGreaterThan, 5)
					So(tc.bad(row), ShouldEqual, 0)
				} else {
					So(row.Answered, ShouldEqual, row.Sent)
					So(row.DuplicateExecutions+row.MissingExecutions+row.ExecutionsAfterRefusal, ShouldEqual, 0)
				}
			}
			So(rep.Violations() == 0, ShouldEqual, tc.name == "sound answers")
		})
	}
}

// Guards against schedules that depend on anything but the seed, and against phases that don't change the rate.
func TestSchedule(t *testing.T) {
	Convey("A schedule repeats for its seed and follows its phases", t, func() {
		s := scenario("x", "y")
		s.Duration = 20 * time.Second
		s.Streams[0].Phases = []Phase{{At: 10 * time.Second, Factor: 10}}
		a, b := schedule(s), schedule(s)
		So(len(a), ShouldEqual, len(b))
		So(a[len(a)-1], ShouldResemble, b[len(b)-1])
		early, late := 0, 0
		for _, x := range a {
			if x.flow == 0 && x.at < 10*time.Second {
				early++
			} else if x.flow == 0 {
				late++
			}
		}
		So(float64(late)/float64(early), ShouldBeBetween, 8, 12)
	})
}
