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

// Guards against metrics that lose the caller or the rank of a measurement.
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

// Guards against unbounded growth and against losing the order of decisions when the ring wraps.
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
