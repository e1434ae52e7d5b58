// Command sycamore-standin plays the systems around sycamoredeal in tests and in the demo.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/standin/engine"
	"sycamoredeal/internal/standin/platform"
	"sycamoredeal/internal/standin/service"
)

func main() {
	app := kingpin.New("sycamore-standin", "Plays the systems around sycamoredeal in tests and in the demo.")
	listen := app.Flag("listen", "ip:port to serve.").Required().String()

	app.Command("platform", "The platform's object API.")

	eng := app.Command("engine", "A model engine.")
	memory := eng.Flag("memory", "Accelerator memory, for example 24GiB.").Default("24GiB").String()
	slots := eng.Flag("slots", "Requests in one batch.").Default("8").Int()
	fencing := eng.Flag("checks-fencing", "Refuse orders with an old fencing token.").Bool()
	load := eng.Flag("load-time", "Time to load a model.").Default("100ms").Duration()
	adapter := eng.Flag("adapter-time", "Time to load an adapter.").Default("8ms").Duration()
	token := eng.Flag("token-time", "Time between tokens.").Default("10ms").Duration()
	prefill := eng.Flag("prefill", "Time for 1000 prompt tokens.").Default("50ms").Duration()
	slowdown := eng.Flag("batch-slowdown", "Relative growth of the time between tokens from an empty to a full batch.").Default("0").Float64()
	cache := eng.Flag("cache-tokens", "Prompt tokens in the prefix cache.").Default("0").Int()

	svc := app.Command("service", "A plain service.")
	delay := svc.Flag("delay", "Time for each request.").Default("5ms").Duration()

	var h http.Handler
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case "platform":
		h = platform.New()
	case "engine":
		bytes, err := config.ParseBytes(*memory)
		app.FatalIfError(err, "memory")
		h = engine.New(engine.Options{
			MemoryBytes: int64(bytes), Slots: *slots, ChecksFencing: *fencing, LoadTime: *load, AdapterTime: *adapter,
			TokenTime: *token, Prefill: *prefill, BatchSlowdown: *slowdown, CacheTokens: *cache,
			Log: func(f string, a ...any) { fmt.Fprintf(os.Stderr, f+"\n", a...) },
		})
	case "service":
		h = service.New(*delay)
	}
	srv := &http.Server{Addr: *listen, Handler: h, ReadHeaderTimeout: 5 * time.Second}
	app.FatalIfError(srv.ListenAndServe(), "serve")
}
