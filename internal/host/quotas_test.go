package host

import (
	"context"
	"errors"
	"fmt"
	"os"
	"testing"
	"time"

	"sycamoredeal/internal/attempt"
	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/sched"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/wire"
)

// quotaHost returns one of four hosts, whose share of account a0's quota is 1,000 units a second, up to 1,000.
func quotaHost() *Host {
	h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Log: telemetry.NewLogger(os.Stderr, "fatal", "test")})
	v := &fleet.View{Config: &fleet.Config{Version: 1, Accounts: fleet.NewAccounts()}, EndpointsListed: true}
	v.Config.Accounts.Add(fleet.Account{Name: "a0", Limit: fleet.AccountLimit{PerSec: 4000, Burst: 4000, ByTokens: true}}, nil)
	for i := range 4 {
		v.Hosts = append(v.Hosts, fleet.Host{Name: fmt.Sprint("h", i)})
	}
	v.Endpoints = []fleet.Endpoint{{ID: "p0", Service: "app", Slots: 1000}}
	h.directory.currentView.Store(v)
	return h
}

func costingAsk(cost float64) wire.Ask { return wire.Ask{Service: "app", Account: "a0", Cost: cost} }

// bindFor binds within the given time.
func bindFor(h *Host, ask wire.Ask, patience time.Duration) (*binding, error) {
	now := time.Now()
	return h.binder.bind(context.Background(), ask, answerBounds{startBy: now.Add(patience), target: now})
}

// TestQuotaWithoutDispatcher guards against a host without a dispatcher that sends more than its share of a quota, that refuses a
// request over it with 429 although other hosts may have units left, or that gives up before a dispatcher can have been replaced.
func TestQuotaWithoutDispatcher(t *testing.T) {
	h := quotaHost()
	h.binder.stateAt = time.Now().Add(-500 * time.Millisecond)
	if _, err := bindFor(h, costingAsk(300), time.Second); err != nil {
		t.Fatal(err)
	}
	begin := time.Now()
	_, err := bindFor(h, costingAsk(5000), 10*time.Second)
	var r *refusal
	if !errors.As(err, &r) || r.overLimit || r.retryAfter <= 0 {
		t.Fatalf("error %v, want a refusal that is not over the limit", err)
	}
	if d := time.Since(begin); d < quotaWait || d > quotaWait+500*time.Millisecond {
		t.Errorf("refused after %v, want %v", d, quotaWait)
	}
	begin = time.Now()
	if _, err = bindFor(h, costingAsk(5000), 200*time.Millisecond); err == nil || time.Since(begin) > 500*time.Millisecond {
		t.Errorf("error %v after %v, want a refusal after 200ms", err, time.Since(begin))
	}
	if len(h.binder.calls) != 1 {
		t.Errorf("%d calls are known, want that of the slot", len(h.binder.calls))
	}
}

// TestQuotaRefillsWhileWaiting guards against a request that is refused although its host's share of the quota refills in time.
func TestQuotaRefillsWhileWaiting(t *testing.T) {
	h := quotaHost()
	h.binder.stateAt = time.Now()
	if x, err := bindFor(h, costingAsk(300), 5*time.Second); err != nil || x.endpoint != "p0" {
		t.Fatal(err)
	}
}

// TestWaitingForDispatcher guards against a request that waits for a dispatcher and isn't sent to the one that comes into use, or
// whose refusal over the limit is lost.
func TestWaitingForDispatcher(t *testing.T) {
	for _, c := range []struct {
		answer    wire.Message
		overLimit bool
	}{
		{&wire.Grant{Endpoint: "p0"}, false},
		{&wire.Refuse{OverLimit: true, RetryAfterMs: 700}, true},
	} {
		h := quotaHost()
		b := h.binder
		b.stateAt = time.Now()
		go func() {
			time.Sleep(150 * time.Millisecond)
			b.mu.Lock()
			p := &fakePeer{}
			b.nextLink = &link{host: fleet.Host{Name: "h1"}, conn: p}
			l := b.nextLink
			b.switchDispatcher(time.Now())
			r := p.sent[0].(*wire.Resync)
			b.mu.Unlock()
			if len(r.Waiting) != 1 || r.Waiting[0].Cost != 5000 || r.Waiting[0].Charged {
				t.Errorf("resynchronised with %+v", r)
				return
			}
			switch m := c.answer.(type) {
			case *wire.Grant:
				m.ID = r.Waiting[0].ID
			case *wire.Refuse:
				m.ID = r.Waiting[0].ID
			}
			b.onMessage(l, c.answer)
		}()
		_, err := bindFor(h, costingAsk(5000), 5*time.Second)
		var r *refusal
		if errors.As(err, &r) != c.overLimit || c.overLimit && (!r.overLimit || r.retryAfter != 700*time.Millisecond) {
			t.Errorf("error %v for %+v", err, c.answer)
		}
	}
}

// TestAskAgainWhenResponsive guards against a request that waits out its time because the dispatcher in use was unresponsive when
// the request arrived.
func TestAskAgainWhenResponsive(t *testing.T) {
	h := quotaHost()
	b := h.binder
	p := &fakePeer{}
	l := &link{host: fleet.Host{Name: "h1"}, conn: p, unresponsive: true}
	b.link, b.stateAt = l, time.Now()
	go func() {
		time.Sleep(30 * time.Millisecond)
		b.onMessage(l, &wire.FleetState{})
		for range 20 {
			time.Sleep(20 * time.Millisecond)
			b.mu.Lock()
			var id uint64
			for _, m := range p.sent {
				if a, ok := m.(*wire.Ask); ok {
					id = a.ID
				}
			}
			b.mu.Unlock()
			if id != 0 {
				b.onMessage(l, &wire.Grant{ID: id, Endpoint: "p0"})
				return
			}
		}
	}()
	if _, err := bindFor(h, costingAsk(5000), 5*time.Second); err != nil {
		t.Error(err)
	}
}

// TestLocalQuotaRefund guards against units that stay used at a host for a request that hasn't run.
func TestLocalQuotaRefund(t *testing.T) {
	for outcome, again := range map[attempt.Outcome]bool{attempt.Refused: true, attempt.Unknown: false} {
		h := quotaHost()
		h.binder.stateAt = time.Now().Add(-time.Minute)
		x, err := bindFor(h, costingAsk(1000), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		x.done(wire.Done{Outcome: uint8(outcome)})
		if _, err = bindFor(h, costingAsk(1000), time.Millisecond); (err == nil) != again {
			t.Errorf("after outcome %v: %v", outcome, err)
		}
	}
	h := quotaHost()
	h.binder.stateAt = time.Now().Add(-time.Minute)
	ask := costingAsk(1000)
	ask.Service = "unknown"
	if _, err := bindFor(h, ask, time.Second); err == nil {
		t.Fatal("no endpoint serves the request")
	}
	if _, err := bindFor(h, costingAsk(1000), time.Millisecond); err != nil {
		t.Errorf("after a request without an endpoint: %v", err)
	}
}

// TestUnlimitedIsNotDelayed guards against requests without a quota, and repeats of charged requests, that wait for a dispatcher.
func TestUnlimitedIsNotDelayed(t *testing.T) {
	h := quotaHost()
	h.binder.stateAt = time.Now()
	charged := costingAsk(5000)
	charged.Charged = true
	for _, ask := range []wire.Ask{{Service: "app"}, charged, {Service: "unknown"}} {
		begin := time.Now()
		_, err := bindFor(h, ask, 5*time.Second)
		if time.Since(begin) > quotaWait/2 || err != nil && ask.Service == "app" {
			t.Errorf("%+v: %v after %v", ask, err, time.Since(begin))
		}
	}
}

// TestQuotaBeat guards against a dispatcher whose quotas aren't refilled because hosts without requests send it nothing, and
// against messages that only quotas need in a deployment without accounts.
func TestQuotaBeat(t *testing.T) {
	for _, accounts := range []bool{true, false} {
		h := quotaHost()
		if !accounts {
			h.directory.currentView.Store(&fleet.View{Config: &fleet.Config{}})
		}
		p := &fakePeer{}
		l := &link{host: fleet.Host{Name: "h1"}, conn: p, lastSent: time.Now().Add(-time.Second)}
		h.binder.link = l
		h.binder.onMessage(l, &wire.FleetState{})
		h.binder.onMessage(l, &wire.FleetState{})
		beats := 0
		for _, m := range p.sent {
			if c, ok := m.(*wire.Cancel); ok && c.ID == 0 {
				beats++
			}
		}
		if want := map[bool]int{true: 1}[accounts]; beats != want {
			t.Errorf("accounts %v: %d beats, want %d", accounts, beats, want)
		}
	}
}

// TestQuotaSeriesBounded guards against a metric with a series for each of very many accounts.
func TestQuotaSeriesBounded(t *testing.T) {
	var u quotaUnits
	for i := range 1000 {
		u.record([]sched.QuotaDecision{{Account: fmt.Sprint("a", i), Event: sched.QuotaAdmitted, Units: 2}})
	}
	total := uint64(0)
	for _, c := range u.series() {
		total += c.Count
	}
	if n := len(u.series()); n != (maxQuotaSeries+1)*int(sched.QuotaEvents) || total != 2000 {
		t.Errorf("%d series with %d units", n, total)
	}
}

// TestRefusalLogBounded guards against a log line for each refused request of a hot account.
func TestRefusalLogBounded(t *testing.T) {
	var q quotaRefusals
	lines, units := 0, 0.0
	for ms := range 5001 {
		now := time.Duration(ms) * time.Millisecond
		if ms < 4000 {
			q.add(now, []sched.QuotaDecision{{Account: "a", Host: "h1", Event: sched.QuotaRefused, Units: 3}, {Account: "a", Event: sched.QuotaAdmitted, Units: 9}})
		}
		for account, r := range q.take(now) {
			lines++
			units += r.units
			if account != "a" || r.host != "h1" {
				t.Errorf("account %q, host %q", account, r.host)
			}
		}
	}
	if lines != 5 || units != 12000 || len(q.byAccount) != 0 {
		t.Errorf("%d lines with %v units, %d accounts left", lines, units, len(q.byAccount))
	}
}

// TestDispatcherEnforcesQuota guards against a dispatcher whose queue doesn't get the settings or decisions of quotas: a host has to
// get the refusal over the limit, and the metrics and the log its units.
func TestDispatcherEnforcesQuota(t *testing.T) {
	h := quotaHost()
	d, other := h.dispatcher, &fakePeer{}
	h.activeDeployment.Store(&fleet.Deployment{Host: "h0", QuotaWindow: 8 * time.Second, QuotaTolerance: 0.1, QuotaSlack: 17000})
	d.handle(dispatcherEvent{"h1", other, &wire.Resync{}})
	d.handle(dispatcherEvent{"h1", other, &wire.Ask{ID: 1, Service: "app", DeadlineMs: 1000, TargetMs: 300, Account: "a0", Cost: 9000}})
	d.flush()
	r, ok := other.sent[len(other.sent)-1].(*wire.Refuse)
	if !ok || !r.OverLimit || r.RetryAfterMs == 0 {
		t.Fatalf("%#v, want a refusal over the limit", other.sent[len(other.sent)-1])
	}
	refused := uint64(0)
	for _, c := range d.quotaUnits.series() {
		if c.Attributes["account"] == "a0" && c.Attributes["event"] == sched.QuotaRefused.String() {
			refused = c.Count
		}
	}
	if refused != 9000 {
		t.Errorf("%d units in the metrics, want 9000", refused)
	}
	// A quarter of the initial credit is there at once: 0.12 of the tolerance of 0.1 x (8 x 4000 + 4000) + 17000.
	d.handle(dispatcherEvent{"h1", other, &wire.Ask{ID: 2, Service: "app", DeadlineMs: 1000, TargetMs: 300, Account: "a0", Cost: 600}})
	d.flush()
	if r, ok := other.sent[len(other.sent)-1].(*wire.Refuse); ok && r.OverLimit {
		t.Error("the initial credit is missing")
	}
}
