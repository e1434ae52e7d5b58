package emulator

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"sycamoredeal/internal/copies"
)

const (
	chunk     = 512 // prompt tokens that are read between two steps
	batchSlow = 1.0 // relative growth of a step from an empty to a full batch
	plainSlow = 0.2 // of plain work at a full endpoint
)

// engine is an endpoint: a model engine or a plain one.
type engine struct {
	w     *simulation
	id    string
	slots int
	plain bool
	born  int64

	models   map[string]bool
	adapters map[copies.Adapter]time.Duration // by latest use
	memory   []string                         // weights at hand, latest last
	disk     []string
	kept     map[string]bool // shared prompt parts
	running  []*request
	stepping bool
	epoch    int // of the process: events of an earlier one don't count

	changing bool // an order for a model is in progress
	closing  string
	coming   string
	down     bool
	dark     bool
	removed  bool // from the list of endpoints
}

// addEngine adds an engine that holds models by its number, so that each model has a copy.
func (w *simulation) addEngine(i int) {
	e := &engine{w: w, id: fmt.Sprintf("e%03d", i), slots: w.s.EngineSpec.Slots}
	e.reset()
	fit := int((engineMemoryMB - adapterMB*float64(w.s.EngineSpec.AdapterSlots)) / modelMB)
	for k := range fit {
		m := w.s.EngineSpec.Models[(i*fit+k)%len(w.s.EngineSpec.Models)].Name
		e.models[m] = true
		e.keep(m)
	}
	w.engines = append(w.engines, e)
	w.byID[e.id] = e
}

func (e *engine) reset() {
	e.models, e.adapters, e.kept = make(map[string]bool), make(map[copies.Adapter]time.Duration), make(map[string]bool)
	e.running, e.stepping, e.changing, e.closing, e.coming = nil, false, false, "", ""
	e.memory = nil
	e.epoch++
}

// keep notes that the weights of a model are at hand.
func (e *engine) keep(m string) {
	e.memory = latest(e.memory, m, e.w.s.ModelsInMemory)
	e.disk = latest(e.disk, m, e.w.s.ModelsOnDisk)
}

func latest(list []string, m string, most int) []string {
	list = append(slices.DeleteFunc(list, func(x string) bool { return x == m }), m)
	if len(list) > most {
		list = list[1:]
	}
	return list
}

// planned returns what the holder knows of the engine.
func (e *engine) planned(running map[string]int) copies.Endpoint {
	p := copies.Endpoint{
		ID: e.id, Usable: true, Busy: e.changing || e.down, Changing: e.changing, Running: running,
		InMemory: slices.Clone(e.memory), OnDisk: slices.Clone(e.disk),
	}
	for m := range e.models {
		if m != e.closing {
			p.Models = append(p.Models, m)
		}
	}
	if e.coming != "" && !e.models[e.coming] {
		p.Models = append(p.Models, e.coming)
		p.Coming = e.coming
	}
	sort.Strings(p.Models)
	return p
}

// then runs do after a time, unless the engine's process has ended.
func (e *engine) then(d time.Duration, do func()) {
	epoch := e.epoch
	e.w.after(d, func() {
		if e.epoch == epoch {
			do()
		}
	})
}

// change carries an order of the planner out.
func (e *engine) change(o copies.Order) {
	if e.changing || e.down {
		return
	}
	e.changing, e.coming, e.closing = true, o.Load, o.Unload
	e.then(closingWait, func() { e.unload(o) })
}

func (e *engine) unload(o copies.Order) {
	if o.Unload == "" {
		e.load(o)
		return
	}
	for _, r := range e.running {
		if r.model == o.Unload {
			e.then(planEvery, func() { e.unload(o) }) // its requests are finished first
			return
		}
	}
	delete(e.models, o.Unload)
	for a := range e.adapters {
		if a.Model == o.Unload {
			delete(e.adapters, a)
		}
	}
	e.w.changed()
	e.then(reportLag, func() { e.load(o) })
}

func (e *engine) load(o copies.Order) {
	takes := o.Takes
	if o.From == copies.FromStore {
		e.w.loads++
		if n := e.w.loads; n > e.w.s.FullSpeedLoads {
			takes = time.Duration(float64(takes) * float64(n) / float64(e.w.s.FullSpeedLoads))
		}
		e.w.after(takes, func() { e.w.loads-- })
	}
	e.then(takes+reportLag/2, func() {
		e.models[o.Load] = true
		e.keep(o.Load)
		e.changing, e.closing, e.coming = false, "", ""
		e.w.changed()
	})
}

// crash ends the process: what runs there ends without an answer.
func (e *engine) crash(dark bool) {
	if e.down {
		return
	}
	running := e.running
	e.reset()
	e.down, e.dark = true, dark
	for _, r := range running {
		wait := refusedAfter
		if dark {
			wait = silentAfter
		}
		attempt := r.attempt
		e.w.after(wait, func() { r.broken(attempt) })
	}
}

func (e *engine) restart() {
	e.down, e.removed = false, false
	e.born++
	e.w.changed()
}

// start admits a request.
func (e *engine) start(r *request) {
	e.running = append(e.running, r)
	if e.plain {
		slow := 1 + plainSlow*float64(len(e.running))/float64(e.slots)
		attempt := r.attempt
		e.then(time.Duration(float64(r.class.ServiceTime)*slow), func() {
			if r.attempt == attempt {
				e.finish(r)
			}
		})
		return
	}
	if key := r.model + "/" + r.adapter; e.kept[key] {
		r.unread -= float64(r.class.SharedPromptTokens)
	} else {
		e.kept[key] = true
	}
	if r.adapter != "" {
		e.adapters[copies.Adapter{Model: r.model, Name: r.adapter}] = e.w.now
	}
	e.step()
}

func (e *engine) finish(r *request) {
	e.leave(r)
	r.finished()
}

// leave frees the place of a request.
func (e *engine) leave(r *request) {
	e.running = slices.DeleteFunc(e.running, func(x *request) bool { return x == r })
}

// step reads a piece of the oldest prompt and makes a token for each request whose prompt has been read.
func (e *engine) step() {
	if e.stepping || len(e.running) == 0 {
		return
	}
	e.stepping = true
	read := 0.0
	var reading *request
	for _, r := range e.running {
		if r.unread > 0 {
			reading, read = r, min(r.unread, chunk)
			break
		}
	}
	batch := float64(len(e.running)-1) / float64(e.slots)
	took := e.w.s.StepMs*(1+batchSlow*batch) + read/e.w.s.PromptTokensPerMs
	var writing []*request
	for _, r := range e.running {
		if r.unread <= 0 {
			writing = append(writing, r)
		}
	}
	e.then(time.Duration(took*float64(time.Millisecond)), func() {
		e.stepping = false
		if reading != nil {
			reading.unread -= read
		}
		for _, r := range writing {
			if r.engine == e && r.token() {
				e.finish(r)
			}
		}
		e.step()
	})
}
