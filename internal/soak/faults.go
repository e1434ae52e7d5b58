package soak

import (
	"os"
	"sync"
	"syscall"
	"time"

	"sycamoredeal/platform/platformtest"
)

// disturb carries events out at their times, and returns when all have ended.
func (f *fleet) disturb(events []Event, log func(string)) {
	start := time.Now()
	var wg sync.WaitGroup
	for _, e := range events {
		select {
		case <-f.ctx.Done():
		case <-time.After(e.At - time.Since(start)):
		}
		log(e.String())
		wg.Go(func() {
			if e.Kind.Unplanned() {
				defer f.audit.FaultBegins()()
			}
			f.carryOut(e)
		})
	}
	wg.Wait()
}

// carryOut does one event from its begin to its end.
func (f *fleet) carryOut(e Event) {
	h := f.hosts[e.Target%len(f.hosts)]
	switch e.Kind {
	case KillHost:
		h.kill(e.For)
		time.Sleep(e.For)
	case KillAll:
		for i, h := range f.hosts {
			go h.kill(e.For * time.Duration(i) / time.Duration(len(f.hosts)))
		}
		time.Sleep(e.For)
	case FreezeHost:
		f.freeze(h, e.For)
	case StopHost:
		h.stop(e.For)
	case ReloadHost:
		f.signal(h, syscall.SIGHUP)
	case BadSettings:
		f.badSettings(h, e.For)
	case StoreDown:
		during(e.For, f.store.SetDown)
	case StoreSlow:
		f.harm(Delayed, e.Delay, e.For, f.storeProxies()...)
	case StoreLost:
		f.store.LoseAnswers(e.Count)
	case StoreCompact:
		f.store.Compact()
	case Configure:
		f.configure()
	case DrainServer:
		f.drain(e.Target)
	default:
		f.harmConnections(e, h)
	}
}

// harmConnections carries out events that strike connections or a server.
func (f *fleet) harmConnections(e Event, h *hostProcess) {
	switch e.Kind {
	case StoreSilent:
		f.harm(Silent, 0, e.For, h.storeProxy)
	case StoreReset:
		f.reset(e, h.storeProxy)
	case PeerSilent:
		f.harm(Silent, 0, e.For, h.peerProxy)
	case PeerOneWay:
		f.harm(OneWay, 0, e.For, h.peerProxy)
	case PeerReset:
		f.reset(e, h.peerProxy)
	case PeerSlow:
		f.harm(Delayed, e.Delay, e.For, h.peerProxy)
	case ServerCrash:
		f.crash(e, false)
	case ServerReused:
		f.crash(e, true)
	default:
		if s := f.pick(e.Target, ""); s != nil {
			f.harmServer(e, s)
		}
	}
}

func (f *fleet) harmServer(e Event, s *server) {
	switch e.Kind {
	case ServerSilent:
		f.harm(Silent, 0, e.For, s.proxy)
	case ServerOneWay:
		f.harm(OneWay, 0, e.For, s.proxy)
	case ServerReset:
		f.reset(e, s.proxy)
	case ServerSlow:
		f.harm(Delayed, e.Delay, e.For, s.proxy)
	case ServerFailing:
		during(e.For, s.SetFailing)
	case ServerGarbles:
		during(e.For, s.SetGarbling)
	case OrdersLate:
		if s := f.pick(e.Target, platformtest.EngineService); s != nil {
			s.LoseOrders(e.Count, e.Delay*4)
			time.Sleep(e.For)
			s.LoseOrders(0, 0)
		}
	default:
		f.audit.Violate("SOAK", "event %q is not carried out", e.Kind)
	}
}

// during switches something on for a time.
func during(length time.Duration, set func(on bool)) {
	set(true)
	time.Sleep(length)
	set(false)
}

func (f *fleet) storeProxies() []*Proxy {
	var out []*Proxy
	for _, h := range f.hosts {
		out = append(out, h.storeProxy)
	}
	return out
}

func (f *fleet) harm(m Mode, delay, length time.Duration, proxies ...*Proxy) {
	for _, p := range proxies {
		p.Set(m, delay)
	}
	time.Sleep(length)
	for _, p := range proxies {
		p.Set(Pass, 0)
	}
}

func (f *fleet) reset(e Event, p *Proxy) {
	for range e.Count {
		p.Reset()
		time.Sleep(e.For / time.Duration(e.Count))
	}
}

func (f *fleet) freeze(h *hostProcess, length time.Duration) {
	p, _ := h.process()
	if p.Suspend() != nil {
		return // it has ended
	}
	time.Sleep(length)
	if err := p.Resume(); err != nil {
		return // it was killed meanwhile
	}
}

func (f *fleet) signal(h *hostProcess, s syscall.Signal) {
	p, _ := h.process()
	if p.Signal(s) != nil {
		return // it has ended
	}
}

// badSettings leaves a file that can't be read for a time: the process keeps the former settings. A process that would
// start meanwhile waits, because no process starts without settings.
func (f *fleet) badSettings(h *hostProcess, length time.Duration) {
	h.settingsMu.Lock()
	defer h.settingsMu.Unlock()
	if err := os.WriteFile(h.settings, []byte("node_name = ["), 0o644); err != nil {
		f.audit.Violate("SOAK", "settings: %v", err)
	}
	f.signal(h, syscall.SIGHUP)
	time.Sleep(length)
	if err := f.writeSettings(h); err != nil {
		f.audit.Violate("SOAK", "settings: %v", err)
	}
	f.signal(h, syscall.SIGHUP)
}

// crash ends a server without a word. The platform drops its entry after a while, and another server takes its place: an
// empty one of the same service or, at the same address, one of the other service.
func (f *fleet) crash(e Event, reuse bool) {
	s := f.take(e.Target)
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
		f.replace(other, s.proxy)
	}
	time.Sleep(goneAfter)
	f.store.Delete(serversKind, s.ID())
	time.Sleep(e.For)
	f.replace(s.opts.Service, nil)
}

// replace adds an empty server in place of one that goes. It returns false if that fails.
func (f *fleet) replace(service string, p *Proxy) bool {
	if _, err := f.addServer(service, nil, p); err != nil {
		f.audit.Violate("SOAK", "server: %v", err)
		return false
	}
	return true
}

// drain replaces a server: the new one comes first, then the old one is listed as leaving, and goes after a time.
func (f *fleet) drain(target int) {
	s := f.take(target)
	if s == nil || !f.replace(s.opts.Service, nil) {
		return
	}
	s.Register(f.store, "draining")
	f.audit.Draining(s.ID())
	time.Sleep(drainTime)
	f.store.Delete(serversKind, s.ID())
	time.Sleep(drainTime / 3)
	s.Close()
}
