package host

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamoredeal/internal/sched"
	"sycamoredeal/internal/wire"
)

// broadcast sends the state of the fleet to all connected hosts.
func (d *dispatcher) broadcast() {
	d.sendBatch() // hosts need the changes before the summaries that include them
	full, loads, brief := d.fleetStates()
	d.announcedView = brief.ViewCurrent
	if v := d.state.Quarantine().Version(); v != d.announcedQuarantine {
		d.announcedQuarantine = v
		brief.Quarantine, brief.QuarantineListed = loads.Quarantine, true
	}
	if v := d.state.LimitVersion(); v != d.announcedLimits {
		d.announcedLimits = v
		brief.Limits, brief.LimitsListed = loads.Limits, true
	}
	d.round++
	for host, p := range d.peers {
		switch {
		case host == d.lastBeat.Host:
			d.send(p, full)
		case xxhash.Sum64String(host)%broadcastsPerLoads == d.round%broadcastsPerLoads:
			d.send(p, loads)
		default:
			d.send(p, brief)
		}
	}
}

// fleetStates returns three versions of the state: full for the holder of the placement lease, loads for each other
// host in one of broadcastsPerLoads broadcasts, and brief for the other broadcasts. Only the host that plans copies
// needs the demand for models, and only a host that has to decide without the dispatcher needs the loads of endpoints.
// Sent to all hosts each time, they would fill the dispatcher's link in a large fleet.
func (d *dispatcher) fleetStates() (full, loads, brief *wire.FleetState) {
	brief = d.briefState()
	withLoads, current := *brief, d.state.FleetState()
	withLoads.Endpoints, withLoads.Hosts = current.Endpoints, current.Hosts
	withLoads.Limits, withLoads.LimitsListed = d.state.Limits(), true
	withLoads.Quarantine, withLoads.QuarantineListed = d.state.Quarantine().List(d.now()), true
	withDemand := withLoads
	withDemand.Models, withDemand.Weights = current.Models, current.Weights
	withDemand.StoreLoads, withDemand.StoreLoadsKnown = d.agedStoreLoads()
	return &withDemand, &withLoads, brief
}

// briefState returns the part of the state that every broadcast contains.
func (d *dispatcher) briefState() *wire.FleetState {
	f := &wire.FleetState{Leaving: d.h.directory.leavingEndpoints()}
	followsStore := d.h.directory.isCurrent()
	lastChosenAt := d.relays.chosenAt
	isDispatcher := d.h.binder.isDispatcher()
	if !isDispatcher {
		d.usedSince = time.Time{}
	} else if d.usedSince.IsZero() {
		d.usedSince = time.Now()
	}
	reading := time.Since(d.usedSince) < firstReadTime && !d.h.directory.hasOutage()
	f.Relays = d.relays.choose(time.Now(), followsStore || reading, isDispatcher, d.relayCandidates())
	if d.relays.chosenAt != lastChosenAt {
		d.log.Info().Strs("relays", f.Relays).Msg("Store lost, relays chosen.")
	}
	f.ViewCurrent = (followsStore || d.relays.available(time.Now())) && isDispatcher
	d.addDispatcherInUse(f)
	if f.ViewCurrent {
		f.Views = d.h.directory.summaries()
	}
	if time.Since(d.lastBeatAt) < holderTimeout {
		f.Holder, f.Epoch = d.lastBeat.Host, d.lastBeat.Epoch
	} else if d.lastBeat.LeaseReleased {
		f.LeaseVacant, f.Epoch = true, d.lastBeat.Epoch
	}
	return f
}

// addDispatcherInUse adds to a state which dispatcher this host uses. A host that is stopping adds none.
func (d *dispatcher) addDispatcherInUse(f *wire.FleetState) {
	u, serves, ok := d.h.binder.dispatcherInUse()
	switch {
	case !ok || d.h.leaving():
	case u.Name == d.h.deployment().Host:
		f.Serving = true
	default:
		f.Successor = &wire.HostRef{Name: u.Name, Address: u.Address, Incarnation: u.Incarnation, MilliCores: uint32(u.MilliCores)}
		f.SuccessorServes = serves
	}
}

// agedStoreLoads returns the loads from the weight store that a holder last reported, with their ages as of now, and
// whether any holder has reported.
func (d *dispatcher) agedStoreLoads() ([]wire.StoreLoads, bool) {
	if d.storeLoadsAt.IsZero() {
		return nil, false
	}
	elapsedMs := uint32(time.Since(d.storeLoadsAt).Milliseconds())
	out := make([]wire.StoreLoads, 0, len(d.storeLoads))
	for _, l := range d.storeLoads {
		aged := wire.StoreLoads{Service: l.Service}
		for _, a := range l.AgesMs {
			aged.AgesMs = append(aged.AgesMs, a+elapsedMs)
		}
		out = append(out, aged)
	}
	return out, true
}

// sendWarnings sends a host that has just connected the prompt parts that are suspected or blocked, and the limits of
// endpoints. It is called after the host has reported what it knows, because the host replaces that by the lists.
func (d *dispatcher) sendWarnings(p peer) {
	parts, limits := d.state.Quarantine().List(d.now()), d.state.Limits()
	if len(parts)+len(limits) == 0 {
		return
	}
	f := d.briefState()
	f.Quarantine, f.QuarantineListed = parts, true
	f.Limits, f.LimitsListed = limits, true
	d.send(p, f)
}

// flush logs what the queue has noted about endpoints, and sends the messages that the last event caused.
func (d *dispatcher) flush() {
	if d.state == nil {
		return
	}
	for _, n := range d.state.TakeHealthChanges() {
		l := d.log.Info().Str("endpoint", n.Endpoint).Float64("failureRate", n.FailureRate).Float64("placesLeft", n.SlotsLeft).Float64("placesNeeded", n.SlotsNeeded)
		if n.Paused {
			l.Str("fault", n.Fault.String()).Int64("pauseMs", n.PauseDuration.Milliseconds()).Msg("Endpoint paused.")
		} else {
			l.Msg("Endpoint used again.")
		}
	}
	for _, l := range d.state.TakeLostRequests() {
		d.log.Info().Str("endpoint", l.Endpoint).Str("request", l.RequestID).Str("host", l.Host).Str("parts", formatParts(l.Parts)).
			Msg("Connection lost before an answer began.")
	}
	blocksChanged := false
	for _, c := range d.state.Quarantine().TakeChanges() {
		blocksChanged = blocksChanged || c.State != sched.PartSuspected
		l := d.log.Info()
		if c.State == sched.PartBlocked {
			l = d.log.Warn()
			d.announce() // hosts that decide alone need it at once
		}
		l.Str("promptPart", strconv.FormatUint(c.Part, 16)).Str("state", c.State).Str("endpoint", c.Endpoint).Int("trialCrashes", c.Crashes).
			Int64("blockMs", c.Block.Milliseconds()).Msg("Prompt part " + c.State + ".")
	}
	if blocksChanged {
		d.h.blocked.update(d.state.Quarantine().List(d.now()))
	}
	for _, c := range d.state.TakeLimitChanges() {
		d.log.Info().Str("endpoint", c.Endpoint).Float64("perSec", c.PerSec).Bool("ended", c.Ended).Msg("Endpoint's limit changed.")
		d.announce()
	}
	d.quotaRefusals.log(d.log, d.now(), d.quotaUnits.record(d.state.TakeQuotaDecisions()))
	for _, o := range d.state.TakeOutputs() {
		if m, ok := o.Message.(*wire.Refuse); ok && !m.OverLimit {
			d.log.Info().Str("request", o.RequestID).Str("host", o.To).Str("reason", o.Reason).Int64("waitMs", o.WaitMs).
				Int("waiting", o.Waiting).Uint32("retryMs", m.RetryAfterMs).Msg("Refused.")
		}
		if p := d.peers[o.To]; p != nil {
			d.send(p, o.Message)
		}
	}
}
