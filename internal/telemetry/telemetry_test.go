package telemetry

import (
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestMetricsCarryCallerAndRank guards against metrics that lose the caller or the rank of a measurement.
func TestMetricsCarryCallerAndRank(t *testing.T) {
	Convey("A recorded measurement is exported with its caller and rank", t, func() {
		m, err := NewMetrics()
		So(err, ShouldBeNil)
		defer m.Shutdown(t.Context())
		s := m.Series("casa-norte", "urgent")
		s.FirstToken(120 * time.Millisecond)
		s.Request("answered")
		So(m.Gauge("sycamore.in.flight", "Requests in progress.", func() float64 { return 3 }), ShouldBeNil)
		w := httptest.NewRecorder()
		m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		body, _ := io.ReadAll(w.Body)
		text := string(body)
		So(text, ShouldContainSubstring, `caller="casa-norte",rank="urgent"`)
		So(text, ShouldContainSubstring, "sycamore_first_token_seconds_bucket")
		So(text, ShouldContainSubstring, "sycamore_in_flight 3")
	})
}

// TestJournalKeepsTheLatest guards against a journal that grows without limit, and against one that loses the order of the
// decisions when its ring buffer wraps around.
func TestJournalKeepsTheLatest(t *testing.T) {
	Convey("A journal of 3 keeps the latest 3 in order", t, func() {
		j := NewJournal(3)
		for i := range 5 {
			j.Add(Decision{Subject: fmt.Sprint("r", i%2), Reason: fmt.Sprint(i)})
		}
		var got []string
		for _, d := range j.Find("") {
			got = append(got, d.Reason)
		}
		So(strings.Join(got, ","), ShouldEqual, "2,3,4")
		So(len(j.Find("r1")), ShouldEqual, 1)
	})
}

// TestDecisionsBetweenProcesses guards against decisions that change on their way to another process or lose the name of
// the process that made them, against a search that misses the model or endpoint of a decision, and against reasons and
// replies of unlimited length.
func TestDecisionsBetweenProcesses(t *testing.T) {
	Convey("Decisions of an entry that a control process forwards", t, func() {
		at := time.UnixMicro(1_800_000_000_000_000).UTC()
		d := Decision{Time: at, Part: "dispatch", Subject: "r1", Decision: "grant", Reason: "free slot", Fields: map[string]string{"model": "m1", "endpoint": "e1"}}
		forwarded := FromWire("control h2", ToWire(FromWire("entry h2", ToWire([]Decision{d}))))
		d.Fields = map[string]string{"model": "m1", "endpoint": "e1", "process": "entry h2"}
		So(forwarded, ShouldResemble, []Decision{d})
		j := NewJournal(2)
		j.Add(d)
		So(len(j.Find("m1")), ShouldEqual, 1)
		So(len(j.Find("e1")), ShouldEqual, 1)
		So(len(j.Find("h2")), ShouldEqual, 0)
		j.Add(Decision{Subject: "long", Reason: strings.Repeat("é", 10*maxReasonBytes)})
		So(len(j.Find("long")[0].Reason), ShouldBeLessThanOrEqualTo, maxReasonBytes+3)
		So(len(ToWire(make([]Decision, 2*maxWireDecisions))), ShouldEqual, maxWireDecisions)
	})
}

// BenchmarkToken measures the cost of the metrics for each token.
func BenchmarkToken(b *testing.B) {
	s := MustNewMetrics().Series("casa-norte", "urgent")
	b.ReportAllocs()
	for b.Loop() {
		s.BetweenTokens(30 * time.Millisecond)
	}
}
