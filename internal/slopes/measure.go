package slopes

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/procfs"

	"sycamoredeal/internal/control"
	"sycamoredeal/internal/entry"
	"sycamoredeal/internal/httpjson"
	client "sycamoredeal/internal/objects"
	"sycamoredeal/internal/standin/platform"
	"sycamoredeal/internal/testbed"
)

const mebibyte = 1 << 20

// usage is what a process has used so far.
type usage struct {
	processor     time.Duration
	resident, top float64 // MiB now and at the most
}

// readUsage adds up the time of all threads. The scheduler's account has nanoseconds; the one of the whole process has
// ticks of 10 ms, which is 0.2% of a core in a window of 6 s.
func readUsage(p *testbed.Process) (usage, error) {
	var u usage
	threads, err := procfs.AllThreads(p.PID())
	if err != nil {
		return u, errors.Annotate(err, p.Name)
	}
	for _, t := range threads {
		if s, err := t.Schedstat(); err == nil { // a thread may end meanwhile
			u.processor += time.Duration(s.RunningNanoseconds)
		}
	}
	proc, err := procfs.NewProc(p.PID())
	if err != nil {
		return u, errors.Annotate(err, p.Name)
	}
	st, err := proc.NewStatus()
	if err != nil {
		return u, errors.Annotate(err, p.Name)
	}
	u.resident, u.top = float64(st.VmRSS)/mebibyte, float64(st.VmHWM)/mebibyte
	return u, nil
}

// sample is the state of a fleet at one time.
type sample struct {
	at       time.Time
	control  []usage
	entry    []usage
	platform usage
	status   []control.Status
	entries  []entry.Status
	calls    platform.Stats
	object   int // bytes of the placement object
}

func take(ctx context.Context, f *testbed.Fleet) (*sample, error) {
	s := &sample{status: make([]control.Status, len(f.Hosts)), entries: make([]entry.Status, len(f.Hosts)), at: time.Now()}
	for _, h := range f.Hosts {
		c, err := readUsage(h.Control)
		if err != nil {
			return nil, err
		}
		e, err := readUsage(h.Entry)
		if err != nil {
			return nil, err
		}
		s.control, s.entry = append(s.control, c), append(s.entry, e)
	}
	var err error
	if s.platform, err = readUsage(f.Platform); err != nil {
		return nil, err
	}
	for i, h := range f.Hosts {
		if err := httpjson.Get(ctx, "http://"+h.AdminAddr+"/v1/status", &s.status[i]); err != nil {
			return nil, err
		}
		if err := httpjson.Get(ctx, "http://"+h.EntryAdminAddr+"/v1/status", &s.entries[i]); err != nil {
			return nil, err
		}
	}
	if err := httpjson.Get(ctx, f.PlatformURL+"/_stats", &s.calls); err != nil {
		return nil, err
	}
	o, err := client.NewClient(f.PlatformURL, "").Get(ctx, client.KindPlacement, s.status[0].Cell)
	if err == nil {
		s.object = len(o.Data)
	}
	return s, nil // a fleet whose planner has not written yet has no placement
}

// measure samples the fleet before and after do and records the difference for each role.
func (r *runner) measure(ctx context.Context, f *testbed.Fleet, series []string, x float64, do func() error) error {
	before, err := take(ctx, f)
	if err != nil {
		return err
	}
	if err := do(); err != nil {
		return err
	}
	after, err := take(ctx, f)
	if err != nil {
		return err
	}
	for _, name := range series {
		d := difference{r: r, series: name, x: x, before: before, after: after, seconds: after.at.Sub(before.at).Seconds()}
		d.record(f)
	}
	r.say("%s %g measured.", series[0], x)
	return nil
}

type difference struct {
	r             *runner
	series        string
	x             float64
	before, after *sample
	seconds       float64
	sums          map[[2]string][]float64
}

func (d *difference) value(role, metric string, v float64) {
	k := [2]string{role, metric}
	d.sums[k] = append(d.sums[k], v)
}

func (d *difference) rate(role, metric string, before, after uint64) {
	d.value(role, metric, (float64(after)-float64(before))/d.seconds)
}

// record adds the mean over the processes of each role.
func (d *difference) record(f *testbed.Fleet) {
	d.sums = make(map[[2]string][]float64)
	for i, h := range f.Hosts {
		st := &d.after.status[i]
		role := "control"
		if st.Lease.Held > 0 {
			role = "holder"
		}
		d.usage(role, d.before.control[i], d.after.control[i])
		d.control(role, &d.before.status[i], st)
		role = "entry"
		if st.Dispatcher == h.Name {
			role = "dispatcher"
		}
		d.usage(role, d.before.entry[i], d.after.entry[i])
		d.entry(role, &d.before.entries[i], &d.after.entries[i])
	}
	d.usage("platform", d.before.platform, d.after.platform)
	d.value("platform", "placement_object_KiB", float64(d.after.object)/1024)
	b, a := &d.before.calls, &d.after.calls
	d.rate("platform", "reads_per_s", b.Reads, a.Reads)
	d.rate("platform", "writes_per_s", b.Writes, a.Writes)
	d.rate("platform", "watches_per_s", b.Watches, a.Watches)
	for k, values := range d.sums {
		sum := 0.0
		for _, v := range values {
			sum += v
		}
		d.r.add(d.series, d.x, k[0], k[1], sum/float64(len(values)))
	}
}

func (d *difference) usage(role string, before, after usage) {
	d.value(role, "core_percent", 100*(after.processor-before.processor).Seconds()/d.seconds)
	d.value(role, "resident_MiB", after.resident)
	d.value(role, "peak_MiB", after.top)
}

func (d *difference) control(role string, b, a *control.Status) {
	for _, c := range []struct {
		name string
		b, a control.ByteStatus
	}{{"control", b.ControlBytes, a.ControlBytes}, {"local", b.LocalBytes, a.LocalBytes}, {"claims", b.ClaimBytes, a.ClaimBytes}} {
		d.rate(role, c.name+"_sent_B_per_s", c.b.Sent, c.a.Sent)
		d.rate(role, c.name+"_received_B_per_s", c.b.Received, c.a.Received)
		d.rate(role, c.name+"_messages_per_s", c.b.SentMessages+c.b.ReceivedMessages, c.a.SentMessages+c.a.ReceivedMessages)
	}
}

func (d *difference) entry(role string, b, a *entry.Status) {
	for _, c := range []struct {
		name string
		b, a entry.MessageCount
	}{{"asks", b.Asks, a.Asks}, {"dispatcher", b.Dispatcher, a.Dispatcher}, {"claims", b.Claims, a.Claims}} {
		d.rate(role, c.name+"_sent_B_per_s", c.b.SentBytes, c.a.SentBytes)
		d.rate(role, c.name+"_received_B_per_s", c.b.ReceivedBytes, c.a.ReceivedBytes)
		d.rate(role, c.name+"_messages_per_s", c.b.SentMessages+c.b.ReceivedMessages, c.a.SentMessages+c.a.ReceivedMessages)
	}
}

// loadAverage returns the machine's load averages, or nothing.
func loadAverage() string {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	return strings.Join(strings.Fields(string(b))[:3], " ")
}
