package slopes

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/control"
	"sycamoredeal/internal/engine"
	"sycamoredeal/internal/httpjson"
	"sycamoredeal/internal/testbed"
)

// Sizes of the whole target fleet.
const (
	targetModels    = 2000
	targetEndpoints = 730
	targetAdapters  = 6000
)

const (
	copies      = 3 // of each model that an endpoint's memory has room for
	settleLimit = 40 * time.Second
	settleFor   = 3 * time.Second // without an order
	apiKey      = "slopes"
)

// size is that of a fleet. whole declares the models, adapters and endpoints of the target fleet, of which only the
// given number of endpoints runs.
type size struct {
	hosts, endpoints, models int
	whole                    bool
}

func absent(e *config.Endpoint) bool { return !strings.HasPrefix(e.Address, "127.0.0.1:") }

// declarations returns the files of a fleet by name.
func (s size) declarations() map[string]string {
	models, endpoints, adapters := s.models, s.endpoints, 0
	if s.whole {
		models, endpoints, adapters = targetModels, targetEndpoints, targetAdapters
	}
	var m, a, e strings.Builder
	m.WriteString("models:\n")
	for i := range models {
		fmt.Fprintf(&m, "  - {name: model-%d, memory: 1GiB, minReplicas: 2}\n", i)
	}
	memory := (models*copies + endpoints - 1) / endpoints
	if s.whole {
		memory = 640
	}
	e.WriteString("endpoints:\n")
	for i := range endpoints {
		addr := fmt.Sprintf("127.0.0.1:%d", 10000+i)
		if i >= s.endpoints {
			addr = fmt.Sprintf("127.9.%d.%d:9", i/200, i%200+1)
		}
		fmt.Fprintf(&e, "  - {name: endpoint-%d, host: server-%d, zone: zone-%d, address: \"%s\", memory: %dGiB, adapterMemory: 8GiB, slots: 64}\n",
			i, i, i%3, addr, memory)
	}
	files := map[string]string{
		"10-base.yaml": "ranks: [{name: normal, order: 0, deadline: 10s, queueLimit: 5000}]\n" +
			"callers: [{name: caller, ranks: [normal], weight: 1, keyHashes: [" + config.Digest([]byte(apiKey)) + "]}]\n" +
			"weightStore: {loadsPerSecond: 400, concurrentLoads: 200, adaptersInFlight: 50}\n" +
			"services: [{name: ledger, timeout: 2s, calls: [{method: POST, path: /pay, idempotent: false}], " +
			"endpoints: [{name: ledger-1, host: ledger-host, zone: zone-0, address: \"127.0.0.1:9999\"}]}]\n",
		"20-models.yaml": m.String(), "40-endpoints.yaml": e.String(),
	}
	if adapters > 0 {
		a.WriteString("adapters:\n")
		for i := range adapters {
			fmt.Fprintf(&a, "  - {name: adapter-%d, model: model-%d, memory: 64MiB}\n", i, i%models)
		}
		files["30-adapters.yaml"] = a.String()
	}
	return files
}

// fleet starts a fleet and waits until its placement has settled.
func (r *runner) fleet(ctx context.Context, s size) (*testbed.Fleet, *testbed.Testbed, error) {
	r.fleets++
	source, work := filepath.Join(r.dir, fmt.Sprint("source", r.fleets)), filepath.Join(r.dir, fmt.Sprint("fleet", r.fleets))
	for _, dir := range []string{source, work} {
		if err := os.Mkdir(dir, 0o755); err != nil {
			return nil, nil, errors.Trace(err)
		}
	}
	for name, content := range s.declarations() {
		if err := os.WriteFile(filepath.Join(source, name), []byte(content), 0o644); err != nil {
			return nil, nil, errors.Trace(err)
		}
	}
	r.say("Starting %d hosts, %d endpoints, %d models (whole configuration: %t).", s.hosts, s.endpoints, s.models, s.whole)
	bed := r.bed.WithSamePrograms()
	f, err := testbed.StartFleet(ctx, bed, testbed.FleetOptions{
		Declarations: source, Dir: work, Hosts: s.hosts, SkipEndpoint: absent,
		EngineArgs:  []string{"--token-time", "1ms", "--prefill", "1ms", "--load-time", "5ms", "--adapter-time", "1ms"},
		ServiceArgs: []string{"--delay", "1ms"}, OnStandinsStarted: s.preload,
	})
	if err == nil {
		err = r.settle(ctx, f, s)
	}
	if err != nil {
		bed.Close()
		return nil, nil, err
	}
	return f, bed, nil
}

// preload makes the models resident before the fleet starts. The planner loads at most one model a round, which would
// take minutes for a cell of the target size. Copies of a model are in several availability zones and share few neighbours,
// so that the planner moves little.
func (s size) preload(ctx context.Context, f *testbed.Fleet) error {
	if s.whole {
		return nil
	}
	client := engine.NewClient(time.Second)
	id := uint64(1) << 40 // not an id of the planner
	for m := range s.models {
		turn := m / s.endpoints
		step := 1 + turn + turn/2 // not a multiple of the 3 availability zones
		for c := range copies {
			e := &f.Snapshot.Endpoints[(m+c*step)%s.endpoints]
			id++
			o := engine.Order{ID: id, Action: engine.ActionLoad, Name: f.Snapshot.Models[m].Name, Bytes: 1 << 30}
			if err := client.Order(ctx, e.Address, o); err != nil {
				return err
			}
		}
	}
	return nil
}

// settle waits until every model of the cell is resident and no order has been decided for a while. The placement of a
// whole configuration can't settle, because most of its endpoints are absent.
func (r *runner) settle(ctx context.Context, f *testbed.Fleet, s size) error {
	if s.whole || r.Short {
		return pause(ctx, settleFor)
	}
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	var orders uint64
	since := time.Now()
	for {
		var st control.Status
		err := httpjson.Get(ctx, "http://"+f.Hosts[0].AdminAddr+"/v1/status", &st)
		if err == nil && (st.Orders != orders || resident(&st) < s.models) {
			orders, since = st.Orders, time.Now()
		}
		if time.Since(since) > settleFor && resident(&st) >= s.models {
			return nil
		}
		if pause(ctx, 200*time.Millisecond) != nil {
			return errors.Errorf("placement did not settle: %d of %d models, %d orders", resident(&st), s.models, st.Orders)
		}
	}
}

func resident(st *control.Status) int {
	names := make(map[string]bool)
	for _, e := range st.Endpoints {
		for _, m := range e.Residents {
			names[m.Name] = true
		}
	}
	return len(names)
}
