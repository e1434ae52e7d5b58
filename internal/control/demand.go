package control

import (
	"slices"
	"sync"
	"time"

	"sycamoredeal/internal/wire"
)

// demandSum adds up demand until the planner takes it.
type demandSum struct {
	mu  sync.Mutex
	sum map[string]wire.ModelDemand
}

func plus(a, b wire.ModelDemand) wire.ModelDemand {
	return wire.ModelDemand{Name: b.Name, Requests: a.Requests + b.Requests, Tokens: a.Tokens + b.Tokens, Refused: a.Refused + b.Refused}
}

func (d *demandSum) add(list []wire.ModelDemand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sum == nil {
		d.sum = make(map[string]wire.ModelDemand)
	}
	for _, m := range list {
		d.sum[m.Name] = plus(d.sum[m.Name], m)
	}
}

// take returns the demand since the previous call.
func (d *demandSum) take() map[string]wire.ModelDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	sum := d.sum
	d.sum = nil
	return sum
}

const (
	// demandRate bounds the demand that a host sends, in bytes per second. 19 hosts that each report 235 models every
	// second would send the lease holder 67 KB/s, against a budget of 2 KB/s for control.
	demandRate = 500
	// demandBytes is the approximate size of one model's demand in a report without its name.
	demandBytes = 6
)

// onDemand takes in the demand of another host: for the planner, or to be passed on.
func (k *core) onDemand(list []wire.ModelDemand) {
	if k.holder == k.opts.Host {
		k.demand.add(list)
		return
	}
	for _, d := range list {
		k.pending[d.Name] = plus(k.pending[d.Name], d)
	}
}

// forwardDemand sends pending demand towards the holder of the lease, at most once a heartbeat and within demandRate. It
// is kept while there is no holder.
func (k *core) forwardDemand() {
	if len(k.pending) == 0 || k.holder == "" {
		return
	}
	own, size := k.holder == k.opts.Host, 0
	var list []wire.ModelDemand
	for _, d := range k.pending {
		list = append(list, d)
		size += len(d.Name) + demandBytes
	}
	if !own && k.now()-k.demanded < time.Duration(size)*time.Second/demandRate {
		return
	}
	if own {
		k.demand.add(list)
	} else if !k.sendDemand(&wire.DemandReport{Host: k.opts.Host, Demand: list}) {
		return
	}
	k.demanded = k.now()
	clear(k.pending)
}

// sendDemand sends a report to the parent of this host, or to the holder while the parent is not connected.
func (k *core) sendDemand(r *wire.DemandReport) bool {
	for _, host := range []string{demandParent(k.opts.Host, k.holder, hostNames(k.sentMembers.Members)), k.holder} {
		if p := k.peers[host]; p != nil && p.Send(r) == nil {
			return true
		}
	}
	return false
}

// demandParent returns the host that adds the demand of self to its own. The hosts form a binary tree with the holder at
// its root, so that no host receives more than two reports. Hosts with different views may form another graph for a
// moment; demand then travels further, and none is counted twice.
func demandParent(self, holder string, hosts []string) string {
	i, root := slices.Index(hosts, self), slices.Index(hosts, holder)
	if i < 0 || root < 0 || i == root {
		return holder
	}
	place := (i - root + len(hosts)) % len(hosts)
	return hosts[((place-1)/2+root)%len(hosts)]
}

func hostNames(members []wire.Member) []string {
	var out []string
	for _, m := range members {
		out = append(out, m.Host)
	}
	return out
}
