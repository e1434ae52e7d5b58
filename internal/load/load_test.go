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

// fakeEntry starts a server with the paths of an entry. It serves completions from an engine stand-in, after tamper has
// changed their bodies, and calls from a service stand-in, whose own address is the second result.
func fakeEntry(t *testing.T, tamper func(string) string) (entry, svc string) {
	eng := engine.New(engine.Options{MemoryBytes: 1 << 30, Slots: 64, TokenTime: time.Millisecond})
	loaded := httptest.NewRecorder()
	eng.ServeHTTP(loaded, httptest.NewRequest("POST", "/v1/orders", strings.NewReader(`{"id":1,"action":"load","name":"m1","bytes":1}`)))
	app := service.New(service.Options{})
	mux := http.NewServeMux()
	mux.HandleFunc("/readyz", func(http.ResponseWriter, *http.Request) {})
	mux.Handle("/svc/app/", http.StripPrefix("/svc/app", app))
	mux.HandleFunc("/v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		eng.ServeHTTP(rec, r)
		w.Write([]byte(tamper(rec.Body.String())))
	})
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	direct := httptest.NewServer(app)
	t.Cleanup(direct.Close)
	time.Sleep(20 * time.Millisecond) // until the model is loaded
	return strings.TrimPrefix(srv.URL, "http://"), strings.TrimPrefix(direct.URL, "http://")
}

func scenario(entry, svc string) *Scenario {
	return &Scenario{
		Seed: 1, Duration: 500 * time.Millisecond, EntryAddrs: []string{entry}, ServiceAddrs: []string{svc}, Accelerators: 1,
		Streams: []Stream{{Name: "s", Caller: "a", Rank: "urgent", Models: []string{"m1"}, Rate: 40, PromptTokens: 10, OutputTokens: 5, FirstTokenTarget: time.Second, BetweenTokensTarget: time.Second, Worth: 1}},
		Calls:   []Call{{Name: "c", Caller: "a", Service: "app", Method: "POST", Path: "/book", Rate: 20, LatencyTarget: time.Second, Worth: 1}},
	}
}

// TestOutcomes checks that correct answers count as answered, and that truncated answers and answers with a repeated token
// are detected.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name   string
		tamper func(string) string
		missed func(*Row) int // requests without the expected outcome
	}{
		{"correct answers", func(s string) string { return s }, func(r *Row) int { return r.Sent - r.Answered - r.Truncated }},
		{"missing end marker", func(s string) string { return strings.ReplaceAll(s, "data: [DONE]", "") }, func(r *Row) int { return r.Sent - r.Truncated }},
		{"repeated token", func(s string) string {
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
					So(tc.missed(row), ShouldEqual, 0)
				} else {
					So(row.Answered, ShouldEqual, row.Sent)
					So(row.DuplicateExecutions+row.MissingExecutions+row.ExecutionsAfterRefusal, ShouldEqual, 0)
				}
			}
			So(rep.Violations() == 0, ShouldEqual, tc.name == "correct answers")
		})
	}
}

// TestSchedule checks that a seed always gives the same schedule, and that a phase changes the rate
// from its start on.
func TestSchedule(t *testing.T) {
	Convey("A seed gives the same schedule, whose rate follows the phases", t, func() {
		s := scenario("x", "y")
		s.Duration = 20 * time.Second
		s.Streams[0].Phases = []Phase{{At: 10 * time.Second, Factor: 10}}
		a, b := schedule(s), schedule(s)
		So(len(a), ShouldEqual, len(b))
		So(a[len(a)-1], ShouldResemble, b[len(b)-1])
		early, late := 0, 0
		for _, x := range a {
			if x.flowIndex == 0 && x.at < 10*time.Second {
				early++
			} else if x.flowIndex == 0 {
				late++
			}
		}
		So(float64(late)/float64(early), ShouldBeBetween, 8, 12)
	})
}
