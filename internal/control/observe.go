package control

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sycamoredeal/internal/engine"
	"sycamoredeal/internal/placement"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
)

const (
	journalSize    = 4096        // decisions
	inquiryTimeout = time.Second // for one process; a control process asks its entries within it
	inquiryMargin  = inquiryTimeout / 4
	// reportsTimeout keeps the status quick while the holder of the lease is dead or frozen.
	reportsTimeout  = 150 * time.Millisecond
	maxInquiries    = 8               // answered at the same time for other control processes
	reportsMaxAge   = 5 * time.Second // an older report is not shown
	decisionInForce = "in force"
)

// observer holds what operators see of a control process.
type observer struct {
	metrics   *telemetry.Metrics
	journal   *telemetry.Journal
	frozen    atomic.Bool   // the planner of this process can't store the placement
	inquiries chan struct{} // one element for each inquiry that is being answered

	mu      sync.Mutex
	reports map[string]report // latest of each endpoint, as the planner of this process got it
}

type report struct {
	running, waiting uint32
	at               time.Time
}

func newObserver() *observer {
	return &observer{
		metrics: telemetry.MustNewMetrics(), journal: telemetry.NewJournal(journalSize),
		inquiries: make(chan struct{}, maxInquiries), reports: make(map[string]report),
	}
}

func (o *observer) note(part, subject, decision, reason string) {
	o.journal.Add(telemetry.Decision{Part: part, Subject: subject, Decision: decision, Reason: reason})
}

// leavings records the endpoints that begin or cease to take no new work, as the platform's list and the declarations
// say.
func (o *observer) leavings(before, after []wire.EndpointState) {
	in := func(list []wire.EndpointState, name string) bool {
		return slices.ContainsFunc(list, func(s wire.EndpointState) bool { return s.Endpoint == name })
	}
	for _, s := range after {
		if !in(before, s.Endpoint) {
			o.note("endpoints", s.Endpoint, "leaving", cmp.Or(s.Reason, "platform list"))
		}
	}
	for _, s := range before {
		if !in(after, s.Endpoint) {
			o.note("endpoints", s.Endpoint, "no longer leaving", cmp.Or(s.Reason, "platform list"))
		}
	}
}

// planned records a decision of the planner.
func (o *observer) planned(d placement.Decision) {
	fields := map[string]string{"endpoint": d.Endpoint}
	subject := d.Endpoint
	if d.Name != "" {
		subject = d.Name
		fields["model"], fields["order"] = d.Name, fmt.Sprint(d.Intent)
	}
	o.journal.Add(telemetry.Decision{Part: "planner", Subject: subject, Decision: d.Action, Reason: d.Reason, Fields: fields})
}

// froze records whether the planner can store the placement.
func (o *observer) froze(err error) {
	if o.frozen.Swap(err != nil) == (err != nil) {
		return
	}
	if err != nil {
		o.note("planner", "placement", "frozen", err.Error())
	} else {
		o.note("planner", "placement", "no longer frozen", "")
	}
}

// reported keeps the latest reports of engines.
func (o *observer) reported(reports map[string]engine.Report) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, r := range reports {
		o.reports[name] = report{uint32(max(r.Running, 0)), uint32(max(r.Waiting, 0)), time.Now()}
	}
}

// states returns the reports that are recent.
func (o *observer) states() []wire.EndpointState {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []wire.EndpointState
	for name, r := range o.reports {
		if age := time.Since(r.at); age < reportsMaxAge {
			out = append(out, wire.EndpointState{Endpoint: name, Running: r.running, Waiting: r.waiting, AgeMs: uint32(age.Milliseconds())})
		} else {
			delete(o.reports, name)
		}
	}
	return out
}

// source is another process that can be asked.
type source struct {
	name string
	call func(context.Context, wire.Message) (wire.Message, error)
}

// evSources asks the core for the processes that can be asked.
type evSources struct{ reply chan<- sources }

type sources struct{ controls, entries []source }

// sources lists the other control processes of the cell and the entries that are subscribed to this process.
func (k *core) sourcesNow() sources {
	var out sources
	for host, p := range k.peers {
		out.controls = append(out.controls, source{"control " + host, p.Call})
	}
	for conn := range k.subs {
		if r := conn.Remote(); r.Role == wire.RoleEntry {
			out.entries = append(out.entries, source{"entry " + r.Host, conn.Call})
		}
	}
	return out
}

// askSources returns the processes that can be asked; none if the process is busy or stopping.
func (c *Control) askSources(ctx context.Context) sources {
	reply := make(chan sources, 1)
	if !c.events.TryPush(evSources{reply}) {
		return sources{}
	}
	select {
	case s := <-reply:
		return s
	case <-ctx.Done():
		return sources{}
	}
}

// ask sends an inquiry to other processes at the same time and joins their answers.
func ask(ctx context.Context, list []source, q wire.Inquiry) (out wire.InquiryReply, decisions []telemetry.Decision) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, s := range list {
		wg.Go(func() {
			m, err := s.call(ctx, &q)
			r, ok := m.(*wire.InquiryReply)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || !ok {
				out.Missing = append(out.Missing, s.name)
				return
			}
			out.Missing = append(out.Missing, r.Missing...)
			out.Reports = append(out.Reports, r.Reports...)
			decisions = append(decisions, telemetry.FromWire(s.name, r.Decisions)...)
		})
	}
	wg.Wait()
	return out, decisions
}

// explain collects the decisions about a subject from all processes of the cell.
func (c *Control) explain(ctx context.Context, subject string) telemetry.Explanation {
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	all := c.askSources(ctx)
	r, list := ask(ctx, append(all.controls, all.entries...), wire.Inquiry{Subject: subject})
	list = append(list, telemetry.FromWire("control "+c.opts.Host, telemetry.ToWire(c.observer.journal.Find(subject)))...)
	telemetry.SortDecisions(list)
	slices.Sort(r.Missing)
	return telemetry.Explanation{Subject: subject, Entries: list, Missing: r.Missing}
}

// reports returns the latest reports of endpoints, which the holder of the lease has.
func (c *Control) reports(ctx context.Context) []wire.EndpointState {
	if c.lease.held() > 0 {
		return c.observer.states()
	}
	ctx, cancel := context.WithTimeout(ctx, reportsTimeout)
	defer cancel()
	holder := "control " + c.view.Load().holder
	controls := slices.DeleteFunc(c.askSources(ctx).controls, func(s source) bool { return s.name != holder })
	r, _ := ask(ctx, controls, wire.Inquiry{Reports: true})
	return r.Reports
}

// answerInquiry answers another control process of the cell in the background, because entries have to be asked.
func (k *core) answerInquiry(conn *transport.Conn, corr uint64, q wire.Inquiry) {
	if conn.Remote().Role != wire.RoleControl {
		return
	}
	select {
	case k.observer.inquiries <- struct{}{}:
	default:
		return // the asker reports this process as missing
	}
	entries := k.sourcesNow().entries
	go func() {
		defer func() { <-k.observer.inquiries }()
		r := &wire.InquiryReply{}
		if q.Reports {
			r.Reports = k.observer.states()
		}
		if q.Subject != "" {
			ctx, cancel := context.WithTimeout(k.ctx, inquiryTimeout-inquiryMargin)
			defer cancel()
			other, list := ask(ctx, entries, wire.Inquiry{Subject: q.Subject})
			r.Missing = other.Missing
			list = append(list, k.observer.journal.Find(q.Subject)...)
			telemetry.SortDecisions(list)
			r.Decisions = telemetry.ToWire(list)
		}
		conn.Reply(corr, r)
	}()
}

// gauges registers what is read at each collection.
func (c *Control) gauges() error {
	m := c.observer.metrics
	var errs []error
	gauge := func(name, help string, read func() float64) { errs = append(errs, m.Gauge(name, help, read)) }
	count := func(name, help string, read func() uint64) { errs = append(errs, m.Counter(name, help, read)) }
	gauge("sycamore.ready", "1 while the process has a configuration and is not leaving.", func() float64 {
		if c.ready() {
			return 1
		}
		return 0
	})
	gauge("sycamore.lease.epoch", "Epoch of the cell's lease while this process holds it, else 0.", func() float64 { return float64(c.lease.held()) })
	gauge("sycamore.placement.version", "Version of the placement in use.", func() float64 { return float64(c.view.Load().placement.Version) })
	gauge("sycamore.config.revision", "Configuration revision in force.", func() float64 { return float64(c.view.Load().head.Revision) })
	gauge("sycamore.intents", "Orders to engines that are stored and not resolved.", func() float64 { return float64(intents(c.view.Load().placement)) })
	gauge("sycamore.members", "Hosts of the cell that this process hears, itself included.", func() float64 { return float64(len(c.view.Load().live)) })
	gauge("sycamore.unplaced", "Declared models and adapters without a resident copy in the cell.", func() float64 { return float64(unplaced(c.view.Load())) })
	gauge("sycamore.placement.frozen", "1 while the planner in this process can't store the placement.", func() float64 {
		if c.observer.frozen.Load() {
			return 1
		}
		return 0
	})
	gauge("sycamore.leaving", "Endpoints that take no new work.", func() float64 { return float64(len(leavingReasons(c.view.Load(), time.Now()))) })
	count("sycamore.control.bytes.sent", "Bytes sent on control connections.", c.counters.SentBytes.Load)
	count("sycamore.control.bytes.received", "Bytes received on control connections.", c.counters.ReceivedBytes.Load)
	count("sycamore.platform.calls", "Calls of the platform, a waiting watch counts as one.", func() uint64 {
		if calls, ok := c.opts.Store.(interface{ Calls() uint64 }); ok {
			return calls.Calls()
		}
		return 0
	})
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func intents(p wire.Placement) int {
	n := 0
	for i := range p.Endpoints {
		n += len(p.Endpoints[i].Intents)
	}
	return n
}

// unplaced counts the declared models and adapters that no endpoint holds.
func unplaced(v *view) int {
	if v.snapshot == nil {
		return 0
	}
	held := residents(v.placement)
	n := 0
	for i := range v.snapshot.Models {
		if !slices.Contains(held, v.snapshot.Models[i].Name) {
			n++
		}
	}
	for i := range v.snapshot.Adapters {
		if !slices.Contains(held, v.snapshot.Adapters[i].Name) {
			n++
		}
	}
	return n
}

// leavingReasons returns why each endpoint that takes no new work does so.
func leavingReasons(v *view, now time.Time) map[string]string {
	out := make(map[string]string)
	for _, s := range v.states {
		out[s.Endpoint] = cmp.Or(s.Reason, "platform list")
	}
	if v.snapshot == nil {
		return out
	}
	placed := make(map[string]bool)
	for i := range v.placement.Endpoints {
		placed[v.placement.Endpoints[i].Endpoint] = v.placement.Endpoints[i].Leaving
	}
	for i := range v.snapshot.Endpoints {
		if e := &v.snapshot.Endpoints[i]; out[e.Name] == "" && placed[e.Name] {
			out[e.Name] = placement.LeavingReason(v.snapshot, e, now)
		}
	}
	return out
}
