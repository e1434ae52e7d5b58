package control

import (
	"context"
	"math/rand/v2"
	"reflect"
	"sort"

	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/membership"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/placement"
	"sycamoredeal/internal/rendezvous"
	"sycamoredeal/internal/wire"
)

// pollers is the number of hosts per cell that read the endpoint list, so that one of them may be frozen or cut off.
const pollers = 3

// endpointState is the content of an object of kind objects.KindEndpoint. Its name is that of an endpoint or of a host.
type endpointState struct {
	Leaving bool   `json:"leaving"`
	Reason  string `json:"reason"`
}

// pollEndpoints reads the platform's endpoint list if this host is one of the cell's pollers. The first of them also
// reads the configuration head, so that a watch that hangs without an error delays no revision.
func (c *Control) pollEndpoints(ctx context.Context) {
	log := c.opts.Log.Part("endpoints")
	var b objects.Backoff
	for ctx.Err() == nil {
		clock.Sleep(ctx, c.opts.Poll/2+rand.N(c.opts.Poll/2))
		rank := c.pollRank()
		if rank < 0 {
			continue
		}
		states, err := c.readStates(ctx)
		if err == nil && rank == 0 {
			err = c.readHead(ctx)
		}
		if err != nil {
			if ctx.Err() == nil {
				log.Debug().Err(err).Msg("Endpoint list not read.")
				b.Wait(ctx, err)
			}
			continue
		}
		b.Reset()
		c.events.Push(ctx, evStates{states})
	}
}

// pollRank returns the place of this host among the pollers, or -1.
func (c *Control) pollRank() int {
	for i, h := range rendezvous.Order("poll/"+c.opts.Cell, membership.Hosts(c.view.Load().live)) {
		if i < pollers && h == c.opts.Host {
			return i
		}
	}
	return -1
}

func (c *Control) readStates(ctx context.Context) ([]wire.EndpointState, error) {
	list, _, err := c.opts.Store.List(ctx, objects.KindEndpoint)
	if err != nil {
		return nil, err
	}
	var out []wire.EndpointState
	for _, o := range list {
		s, err := objects.Decode[endpointState](o)
		if err != nil {
			return nil, err
		}
		if s.Leaving {
			out = append(out, wire.EndpointState{Endpoint: o.Name, Leaving: true, Reason: s.Reason})
		}
	}
	return out, nil
}

func (c *Control) readHead(ctx context.Context) error {
	o, err := c.opts.Store.Get(ctx, objects.KindHead, "head")
	if err != nil {
		return err
	}
	head, err := objects.Decode[wire.Head](o)
	if err != nil {
		return err
	}
	return c.events.Push(ctx, evHead{head})
}

// onOwnStates passes the list on to the other members, when it changes and often enough that they don't discard it.
func (k *core) onOwnStates(states []wire.EndpointState) {
	now := k.now()
	k.sources[k.opts.Host] = stateSource{states, now}
	if reflect.DeepEqual(states, k.ownStates) && now-k.ownStatesAt < statesMaxAge/3 {
		return
	}
	k.ownStates, k.ownStatesAt = states, now
	for _, p := range k.peers {
		p.Send(&wire.EndpointsUpdate{States: states})
	}
}

// pushStates merges what the pollers saw with the declarations. An endpoint is leaving if any of them says so: the
// pollers' lists lag differently, and a return that is noticed late costs less than a leaving that is.
func (k *core) pushStates() {
	if k.snapshot == nil || !k.statesKnown && len(k.sources) == 0 && k.now() < settleLimit {
		return
	}
	leaving := make(map[string]string)
	for _, s := range k.freshSources() {
		for _, st := range s.states {
			leaving[st.Endpoint] = st.Reason
		}
	}
	var u wire.EndpointsUpdate
	add := func(name, host string, declared bool) {
		reason, ok := leaving[name]
		if !ok {
			reason, ok = leaving[host]
		}
		if !ok && declared {
			reason, ok = placement.ReasonDeclared, true
		}
		if ok {
			u.States = append(u.States, wire.EndpointState{Endpoint: name, Leaving: true, Reason: reason})
		}
	}
	for i := range k.snapshot.Endpoints {
		e := &k.snapshot.Endpoints[i]
		add(e.Name, e.Host, e.Leaving)
	}
	for i := range k.snapshot.Services {
		for _, e := range k.snapshot.Services[i].Endpoints {
			add(e.Name, e.Host, e.Leaving)
		}
	}
	sort.Slice(u.States, func(i, j int) bool { return u.States[i].Endpoint < u.States[j].Endpoint })
	if !reflect.DeepEqual(u, k.sentStates) || !k.statesKnown {
		k.observer.leavings(k.sentStates.States, u.States)
		k.sentStates, k.statesKnown = u, true
		k.push(&u)
	}
}

// freshSources returns the lists that are not too old. During an outage all are old, and all of them count.
func (k *core) freshSources() []stateSource {
	var fresh, all []stateSource
	for _, s := range k.sources {
		all = append(all, s)
		if k.now()-s.at < statesMaxAge {
			fresh = append(fresh, s)
		}
	}
	if len(fresh) > 0 {
		return fresh
	}
	return all
}
