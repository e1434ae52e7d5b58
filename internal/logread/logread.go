// Package logread searches the collected logs of hosts for what happened to one request and why. It selects the lines of
// the request, and those about its endpoints, its model and the roles of hosts shortly before its end.
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
	Source  string // name of the file without its extension, usually the host
	Part    string
	Message string
	Fields  map[string]string // all fields but time, level, part and message
}

// RequestLog is the part of the logs that concerns a request. sycamorectl prints it under these field names.
type RequestLog struct {
	Request string
	Own     []Line // lines of the request, in the order of time
	Around  []Line // related lines, at most ContextWindow before its end, in the order of time
}

const (
	// ContextWindow is the time before the end of a request in which related lines may show the cause. A load from the
	// weight store takes four seconds, a lease term less than two.
	ContextWindow = 6 * time.Second
	// maxContextLines limits the related lines to the latest ones.
	maxContextLines = 40
	maxLineBytes    = 1 << 20
)

// ErrRequestNotFound is returned if no line has the ID of the request.
var ErrRequestNotFound = errors.New("no line names the request")

// contextMessages are the messages about endpoints, copies, leases, dispatchers and the state of a host.
var contextMessages = []string{
	"Endpoint gone.", "Endpoint listed.", "Copy ordered.", "Copy changed.", "Copy not changed.", "Order sent.", "Dispatcher in use.", "Dispatcher passed over.",
	"Placement lease held.", "Placement lease no longer held.", "Store lost.", "Store regained.", "Configuration in force.", "Started.", "Stopping.", "Stopped.",
}

// Files returns the files that the paths name. A directory is replaced by the regular files directly in it.
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

// Read returns the lines about a request from log files.
func Read(files []string, requestID string) (*RequestLog, error) {
	var lines []Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Trace(err)
		}
		parsed, err := Parse(f, strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)), requestID)
		f.Close()
		if err != nil {
			return nil, errors.Annotate(err, name)
		}
		lines = append(lines, parsed...)
	}
	return Select(lines, requestID)
}

// Parse reads the lines of a log that may be relevant for a request. A prefix before the JSON object of a line, as log
// collectors add one, is ignored, and so are lines without a JSON object, which other programs may write.
func Parse(r io.Reader, source, requestID string) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, requestID) && !slices.ContainsFunc(contextMessages, func(m string) bool { return strings.Contains(text, m) }) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(text[start:]), &fields) != nil {
			continue
		}
		out = append(out, toLine(source, fields))
	}
	return out, errors.Trace(scanner.Err())
}

// toLine converts the fields of a JSON object to a line.
func toLine(source string, fields map[string]any) Line {
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

// Select returns the lines of a request and those related to it.
func Select(lines []Line, requestID string) (*RequestLog, error) {
	log := &RequestLog{Request: requestID}
	names := make(map[string]bool) // names of its endpoints and its model
	var others []Line
	for _, l := range lines {
		if l.Fields["request"] != requestID {
			others = append(others, l)
			continue
		}
		log.Own = append(log.Own, l)
		for _, k := range []string{"endpoint", "model"} {
			if name := l.Fields[k]; name != "" {
				names[name] = true
			}
		}
	}
	if len(log.Own) == 0 {
		return nil, fmt.Errorf("%w: %s", ErrRequestNotFound, requestID)
	}
	sortByTime(log.Own)
	end := log.Own[len(log.Own)-1].Time
	for _, l := range others {
		if age := end.Sub(l.Time); age >= 0 && age <= ContextWindow && log.isRelevant(l, names) {
			log.Around = append(log.Around, l)
		}
	}
	sortByTime(log.Around)
	if n := len(log.Around); n > maxContextLines {
		log.Around = log.Around[n-maxContextLines:]
	}
	return log, nil
}

// isRelevant returns whether a line is about one of the names, about the placement lease, or about the state of a host
// that handled the request.
func (log *RequestLog) isRelevant(l Line, names map[string]bool) bool {
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
	// The remaining messages describe the view of a single host, which affects only the requests that it handles.
	return slices.ContainsFunc(log.Own, func(o Line) bool { return o.Source == l.Source }) && slices.Contains(contextMessages, l.Message)
}

func sortByTime(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
}

// Cause describes in one phrase how the request ended. It uses the last line that the front of a host logged for it.
func (log *RequestLog) Cause() string {
	for i := len(log.Own) - 1; i >= 0; i-- {
		l := log.Own[i]
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
