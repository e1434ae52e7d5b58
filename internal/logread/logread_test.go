package logread

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const dispatcherLog = `{"time":"2026-07-20T11:13:15.000Z","level":"info","part":"dispatcher","request":"r1","host":"b","reason":"can't start in time","waitMs":30000,"waiting":2,"retryMs":4000,"message":"Refused."}
plain text of another program
{"time":"2026-07-20T11:13:12.000Z","level":"info","part":"placement","endpoint":"e7","load":"m1","unload":"m2","need":12.5,"copies":1,"message":"Copy ordered."}
{"time":"2026-07-20T11:13:12.000Z","level":"info","part":"placement","endpoint":"e8","load":"m5","unload":"m6","message":"Copy ordered."}
{"time":"2026-07-20T11:12:12.000Z","level":"info","part":"placement","endpoint":"e7","load":"m1","message":"Copy ordered."}
{"time":"2026-07-20T11:13:14.000Z","level":"info","part":"placement","epoch":4,"message":"Placement lease no longer held."}
{"time":"2026-07-20T11:13:14.500Z","level":"warn","part":"binder","dispatcher":"c","message":"Dispatcher passed over."}
`

const frontLog = `host b: {"time":"2026-07-20T11:13:15.001Z","level":"info","part":"front","request":"r1","how":"own answer","status":503,"totalMs":3,"sends":0,"outcome":"no attempt","model":"m1","error":"can't start in time","message":"Request ended."}
{"time":"2026-07-20T11:13:14.500Z","level":"warn","part":"binder","dispatcher":"a","message":"Dispatcher passed over."}
{"time":"2026-07-20T11:13:15.001Z","level":"info","part":"front","request":"r2","how":"stream broken","status":0,"totalMs":300,"sends":1,"outcome":"unknown","endpoint":"e7","events":10,"resumes":0,"error":"unexpected EOF","message":"Request ended."}
{"time":"2026-07-20T11:13:15.002Z","level":"info","part":"directory","endpoint":"e7","message":"Endpoint gone."}
{"time":"2026-07-20T11:13:16.001Z","level":"info","part":"front","request":"r3","how":"own answer","status":502,"totalMs":300,"sends":1,"outcome":"unknown","endpoint":"e7","error":"after sending: connection reset by peer","message":"Request ended."}
`

// writeLogs writes the logs of two hosts to files and returns their paths.
func writeLogs(t *testing.T) []string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range map[string]string{"a.log": dispatcherLog, "b.log": frontLog} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	files, err := Files([]string{dir})
	if err != nil || len(files) != 2 {
		t.Fatalf("%v, %v", files, err)
	}
	return files
}

// TestRequestLog guards against a cause that is missing for one of the three kinds of failed requests, and against lines
// that are unrelated to the request.
func TestRequestLog(t *testing.T) {
	files := writeLogs(t)
	for _, c := range []struct {
		request, cause string
		around         []string // messages with the model or dispatcher that they name
	}{
		// The dispatcher logged the request as well, so that lines about the state of its host are related.
		{"r1", "503, not run: can't start in time",
			[]string{"Copy ordered. m1", "Placement lease no longer held. ", "Dispatcher passed over. c", "Dispatcher passed over. a"}},
		{"r2", "cut after 10 events from e7, resumed 0 times: unexpected EOF", []string{"Copy ordered. m1", "Placement lease no longer held. ", "Dispatcher passed over. a"}},
		{"r3", "502 after 1 sends: the request may have run at e7, and could not be sent again: after sending: connection reset by peer",
			[]string{"Copy ordered. m1", "Placement lease no longer held. ", "Dispatcher passed over. a", "Endpoint gone. "}},
	} {
		s, err := Read(files, c.request)
		if err != nil {
			t.Fatal(err)
		}
		if got := s.Cause(); got != c.cause {
			t.Errorf("%s: %q, want %q", c.request, got, c.cause)
		}
		var around []string
		for _, l := range s.Around {
			around = append(around, l.Message+" "+l.Fields["load"]+l.Fields["dispatcher"])
		}
		if strings.Join(around, "|") != strings.Join(c.around, "|") {
			t.Errorf("%s: lines %q, want %q", c.request, around, c.around)
		}
	}
	if s, err := Read(files, "r1"); err != nil || len(s.Own) != 2 || s.Own[0].Source != "a" || s.Own[1].Source != "b" {
		t.Errorf("lines of r1: %+v, %v", s, err)
	}
}

// TestUnknownRequest guards against an empty result without an error for a request or a path that doesn't exist.
func TestUnknownRequest(t *testing.T) {
	if _, err := Read(writeLogs(t), "r9"); !errors.Is(err, ErrRequestNotFound) {
		t.Errorf("error %v", err)
	}
	if _, err := Files([]string{filepath.Join(t.TempDir(), "missing")}); err == nil {
		t.Error("no error for a missing directory")
	}
}
