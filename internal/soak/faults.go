package soak

import (
	"os"
	"sync"
	"syscall"
	"time"

	"sycamoredeal/platform/platformtest"
)

// runEvents starts each event at its time and returns when all events have ended.
func (f *fleet) runEvents(events []Event, logEvent func(string)) {
	start := time.Now()
	var wg sync.WaitGroup
	for _, e := range events {
		select {
		case <-f.ctx.Done():
		case <-time.After(e.At - time.Since(start)):
		}
		logEvent(e.String())
		wg.Go(func() {
			if e.Kind.Unplanned() {
				defer f.audit.BeginFault()()
			}
			f.runEvent(e)
		})
	}
	wg.Wait()
}

// runEvent performs one event and returns when it has ended.
func (f *fleet) runEvent(e Event) {
	h := f.hosts[e.Target%len(f.hosts)]
	switch e.Kind {
	case KillHost:
		h.kill(e.Duration)
		time.Sleep(e.Duration)
	case KillAllHosts:
		for i, h := range f.hosts {
			go h.kill(e.Duration * time.Duration(i) / time.Duration(len(f.hosts)))
		}
		time.Sleep(e.Duration)
	case FreezeHost:
		f.freezeHost(h, e.Duration)
	case StopHost:
		h.stop(e.Duration)
	case ReloadHost:
		f.signalHost(h, syscall.SIGHUP)
	case BadSettings:
		f.breakSettings(h, e.Duration)
	case StoreDown:
		enableFor(e.Duration, f.store.SetUnavailable)
	case StoreSlow:
		f.impair(Delayed, e.Delay, e.Duration, f.storeProxies()...)
	case StoreAnswersLost:
		f.store.DropAnswers(e.Count)
	case StoreCompact:
		f.store.Compact()
	case StoreRestored:
		f.restoreStore(e)
	case Configure:
		f.storeNextConfig()
	case DrainServer:
		f.drainServer(e.Target)
	case ServerLimits:
		f.limitServer(e)
	case HotAccount:
		f.runHotAccount(e)
	default:
		f.runConnectionEvent(e, h)
	}
}

// runConnectionEvent performs an event that affects connections or a server.
func (f *fleet) runConnectionEvent(e Event, h *hostProcess) {
	switch e.Kind {
	case StoreSilent:
		f.impair(Silent, 0, e.Duration, h.storeProxy)
	case StoreReset:
		f.resetRepeatedly(e, h.storeProxy)
	case PeerSilent:
		f.impair(Silent, 0, e.Duration, h.peerProxy)
	case PeerOneWay:
		f.impair(OneWay, 0, e.Duration, h.peerProxy)
	case PeerReset:
		f.resetRepeatedly(e, h.peerProxy)
	case PeerSlow:
		f.impair(Delayed, e.Delay, e.Duration, h.peerProxy)
	case ServerCrash:
		f.crashServer(e, false)
	case ServerAddressReused:
		f.crashServer(e, true)
	default:
		if s := f.pickServer(e.Target, ""); s != nil {
			f.runServerEvent(e, s)
		}
	}
}

// runServerEvent performs an event that affects server s or its connections.
func (f *fleet) runServerEvent(e Event, s *server) {
	switch e.Kind {
	case ServerSilent:
		f.impair(Silent, 0, e.Duration, s.proxy)
	case ServerOneWay:
		f.impair(OneWay, 0, e.Duration, s.proxy)
	case ServerReset:
		f.resetRepeatedly(e, s.proxy)
	case ServerSlow:
		f.impair(Delayed, e.Delay, e.Duration, s.proxy)
	case ServerFailing:
		enableFor(e.Duration, s.SetFailing)
	case ServerGarbles:
		enableFor(e.Duration, s.SetMalformedAnswers)
	case OrdersLate:
		if s := f.pickServer(e.Target, platformtest.EngineService); s != nil {
			s.DelayOrders(e.Count, e.Delay*4)
			time.Sleep(e.Duration)
			s.DelayOrders(0, 0)
		}
	default:
		f.runShape(e, s)
	}
}

// enableFor switches something on for a given time.
func enableFor(length time.Duration, set func(on bool)) {
	set(true)
	time.Sleep(length)
	set(false)
}

// storeProxies returns the proxies between the hosts and the store.
func (f *fleet) storeProxies() []*Proxy {
	var out []*Proxy
	for _, h := range f.hosts {
		out = append(out, h.storeProxy)
	}
	return out
}

// impair sets the mode of proxies for a given time, and then sets it back to Pass.
func (f *fleet) impair(m Mode, delay, length time.Duration, proxies ...*Proxy) {
	for _, p := range proxies {
		p.SetMode(m, delay)
	}
	time.Sleep(length)
	for _, p := range proxies {
		p.SetMode(Pass, 0)
	}
}

// resetRepeatedly resets the connections of a proxy e.Count times.
func (f *fleet) resetRepeatedly(e Event, p *Proxy) {
	for range e.Count {
		p.Reset()
		time.Sleep(e.Duration / time.Duration(e.Count))
	}
}

// freezeHost suspends the process of a host for a given time.
func (f *fleet) freezeHost(h *hostProcess, length time.Duration) {
	p, _ := h.process()
	if p.Suspend() != nil {
		return // the process has ended
	}
	time.Sleep(length)
	if err := p.Resume(); err != nil {
		return // the process was killed in the meantime
	}
}

// signalHost sends a signal to the process of a host.
func (f *fleet) signalHost(h *hostProcess, s syscall.Signal) {
	p, _ := h.process()
	if p.Signal(s) != nil {
		return // the process has ended
	}
}

// breakSettings makes the settings file of a host invalid for a given time. The running process must keep its settings.
// The lock delays restarts of the process meanwhile, because it can't start without valid settings.
func (f *fleet) breakSettings(h *hostProcess, length time.Duration) {
	h.settingsMu.Lock()
	defer h.settingsMu.Unlock()
	if err := os.WriteFile(h.settingsPath, []byte("node_name = ["), 0o644); err != nil {
		f.audit.Report("SOAK", "write settings: %v", err)
	}
	f.signalHost(h, syscall.SIGHUP)
	time.Sleep(length)
	if err := f.writeSettings(h); err != nil {
		f.audit.Report("SOAK", "write settings: %v", err)
	}
	f.signalHost(h, syscall.SIGHUP)
}

// crashServer closes a server without draining it. If reuse is set, an empty server of the other service takes over its
// address at once. The platform drops the entry of the crashed server after entryRemovalDelay, and an empty server of the
// same service replaces it after e.Duration.
func (f *fleet) crashServer(e Event, reuse bool) {
	s := f.takeForRemoval(e.Target)
	if s == nil {
		return
	}
	s.Close()
	s.proxy.Reset()
	if reuse {
		other := platformtest.PlainService
		if s.opts.Service == other {
			other = platformtest.EngineService
		}
		f.addReplacement(other, s.proxy)
	}
	time.Sleep(entryRemovalDelay)
	f.register(s, gone)
	time.Sleep(e.Duration)
	f.addReplacement(s.opts.Service, nil)
}

// addReplacement adds a server without models, behind proxy p or behind a new proxy if p is nil. It reports whether that
// succeeded.
func (f *fleet) addReplacement(service string, p *Proxy) bool {
	if _, err := f.addServer(service, nil, p); err != nil {
		f.audit.Report("SOAK", "add a replacement server: %v", err)
		return false
	}
	return true
}

// drainServer replaces a server. The new one is added first; then the old one is listed as draining, and closed later.
func (f *fleet) drainServer(target int) {
	s := f.takeForRemoval(target)
	if s == nil || !f.addReplacement(s.opts.Service, nil) {
		return
	}
	f.register(s, draining)
	f.audit.RecordDraining(s.ID())
	time.Sleep(drainTime)
	f.register(s, gone)
	time.Sleep(drainTime / 3)
	s.Close()
}
