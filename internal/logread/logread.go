// Package logread finds in the collected logs of hosts what happened to one request, and why: its own lines, and those
// about the endpoint, the model and the duties around that time.
package logread

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Line is one line of a log.
type Line struct {
	Time    time.Time
	Source  string // name of the file without its ending, as a rule the host
	Part    string
	Message string
	Fields  map[string]string // all others
}

// RequestLog is what the logs tell of a request.
type RequestLog struct {
	Request string
	Own     []Line // that name the request, in the order of time
	Around  []Line // about its endpoints, its model and the duties, at most Window before it ended
}

const (
	// ContextWindow is the time before the end of a request in which other lines may tell the cause. A load from the weight store
	// takes four seconds, a lease term under two.
	ContextWindow = 6 * time.Second
	// mostAround bounds the lines about other things; the latest stay.
	mostAround = 40
	maxLine    = 1 << 20
)

// ErrRequestNotFound tells that no line names the request.
var ErrRequestNotFound = errors.New("no line names the request")

// about are the messages that tell of endpoints, copies and duties.
var about = []string{
	"Endpoint gone.", "Endpoint listed.", "Copy ordered.", "Copy changed.", "Copy not changed.", "Order sent.", "Dispatcher in use.", "Dispatcher passed over.",
	"Placement lease held.", "Placement lease no longer held.", "Store lost.", "Store regained.", "Configuration in force.", "Started.", "Stopping.", "Stopped.",
}

// Files returns the files below the paths. A folder stands for the files in it.
func Files(paths []string) ([]string, error) {
	var out []string
	for _, p := range paths {
		info, err := os.Stat(p)
		if err != nil {
			return nil, errors.Trace(err)
		}
		if !info.IsDir() {
			out = append(out, p)
			continue
		}
		entries, err := os.ReadDir(p)
		if err != nil {
			return nil, errors.Trace(err)
		}
		for _, e := range entries {
			if e.Type().IsRegular() {
				out = append(out, filepath.Join(p, e.Name()))
			}
		}
	}
	return out, nil
}

// Read returns the story of a request from log files.
func Read(files []string, request string) (*RequestLog, error) {
	var lines []Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Trace(err)
		}
		got, err := Parse(f, strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)), request)
		f.Close()
		if err != nil {
			return nil, errors.Annotate(err, name)
		}
		lines = append(lines, got...)
	}
	return Select(lines, request)
}

// Parse reads the lines that may matter for a request. What is no JSON object is left out: processes may write other text,
// and collectors put prefixes before lines.
func Parse(r io.Reader, source, request string) ([]Line, error) {
	var out []Line
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), maxLine)
	for s.Scan() {
		text := s.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, request) && !slices.ContainsFunc(about, func(m string) bool { return strings.Contains(text, m) }) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(text[start:]), &fields) != nil {
			continue
		}
		out = append(out, line(source, fields))
	}
	return out, errors.Trace(s.Err())
}

func line(source string, fields map[string]any) Line {
	l := Line{Source: source, Fields: make(map[string]string, len(fields))}
	for k, v := range fields {
		text := fmt.Sprint(v)
		if n, ok := v.(float64); ok {
			text = strings.TrimSuffix(fmt.Sprintf("%.3f", n), ".000")
		}
		switch {
		case k == "time":
			if t, err := time.Parse(time.RFC3339Nano, text); err == nil {
				l.Time = t
			}
		case k == "part":
			l.Part = text
		case k == "message":
			l.Message = text
		case v != nil && k != "level":
			l.Fields[k] = text
		}
	}
	return l
}

// Select picks from lines what matters for a request.
func Select(lines []Line, request string) (*RequestLog, error) {
	s := &RequestLog{Request: request}
	names := make(map[string]bool) // of endpoints and the model
	var rest []Line
	for _, l := range lines {
		if l.Fields["request"] != request {
			rest = append(rest, l)
			continue
		}
		s.Own = append(s.Own, l)
		for _, k := range []string{"endpoint", "model"} {
			if v := l.Fields[k]; v != "" {
				names[v] = true
			}
		}
	}
	if len(s.Own) == 0 {
		return nil, fmt.Errorf("%w: %s", ErrRequestNotFound, request)
	}
	byTime(s.Own)
	end := s.Own[len(s.Own)-1].Time
	for _, l := range rest {
		if age := end.Sub(l.Time); age >= 0 && age <= ContextWindow && s.concerns(l, names) {
			s.Around = append(s.Around, l)
		}
	}
	byTime(s.Around)
	if n := len(s.Around); n > mostAround {
		s.Around = s.Around[n-mostAround:]
	}
	return s, nil
}

// concerns tells whether a line is about one of the names, or about a duty on which the request may have waited.
func (s *RequestLog) concerns(l Line, names map[string]bool) bool {
	switch l.Message {
	case "Endpoint gone.", "Endpoint listed.", "Copy ordered.", "Copy changed.", "Copy not changed.", "Order sent.":
		for _, k := range []string{"endpoint", "model", "load", "unload"} {
			if names[l.Fields[k]] {
				return true
			}
		}
		return false
	case "Placement lease held.", "Placement lease no longer held.":
		return true
	}
	// What one host believes matters for its own requests only.
	return slices.ContainsFunc(s.Own, func(o Line) bool { return o.Source == l.Source }) && slices.Contains(about, l.Message)
}

func byTime(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
}

// Cause says in a sentence how the request ended, from its last line of the front.
func (s *RequestLog) Cause() string {
	for i := len(s.Own) - 1; i >= 0; i-- {
		l := s.Own[i]
		if l.Part != "front" || l.Fields["how"] == "" {
			continue
		}
		f := l.Fields
		switch f["how"] {
		case "answered":
			return fmt.Sprintf("answered with %s after %s ms, by %s", f["status"], f["totalMs"], f["endpoint"])
		case "own answer":
			if f["outcome"] == "unknown" {
				return fmt.Sprintf("%s after %s sends: the request may have run at %s, and could not be sent again: %s", f["status"], f["sends"], f["endpoint"], f["error"])
			}
			return fmt.Sprintf("%s, not run: %s", f["status"], f["error"])
		case "stream broken":
			return fmt.Sprintf("cut after %s events from %s, resumed %s times: %s", f["events"], f["endpoint"], f["resumes"], f["error"])
		}
		return fmt.Sprintf("%s after %s ms", f["how"], f["totalMs"])
	}
	return "still in progress when the logs end, or its last line was dropped"
}
