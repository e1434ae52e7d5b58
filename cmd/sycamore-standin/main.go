// Command sycamore-standin plays the systems around sycamoredeal in tests and in the demo.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"sycamoredeal/internal/settings"
	"sycamoredeal/internal/standin/engine"
	"sycamoredeal/internal/standin/platform"
	"sycamoredeal/internal/standin/service"
)

func main() {
	var s settings.SycamoreStandin
	var h http.Handler
	switch settings.MustParse(&s, nil) {
	case "platform":
		h = platform.New()
	case "engine":
		h = engine.New(engine.Options{
			MemoryBytes: s.EngineMemory, Slots: s.EngineSlots, ChecksFencing: s.EngineChecksFencing, LoadTime: s.EngineLoadTime,
			AdapterTime: s.EngineAdapterTime, TokenTime: s.EngineTokenTime, PrefillTime: s.EnginePrefill,
			BatchSlowdown: s.EngineBatchSlowdown, CacheTokens: s.EngineCacheTokens,
			Log: func(f string, a ...any) { fmt.Fprintf(os.Stderr, f+"\n", a...) },
		})
	case "service":
		h = service.New(service.Options{
			Delay: s.ServiceDelay, AnswerDelay: s.ServiceAnswerDelay, CloseBeforeExecution: s.ServiceCloseBefore, CloseAfterExecution: s.ServiceCloseAfter,
		})
	}
	srv := &http.Server{Addr: s.Listen, Handler: h, ReadHeaderTimeout: 5 * time.Second}
	if err := srv.ListenAndServe(); err != nil {
		fmt.Fprintf(os.Stderr, "sycamore-standin: serve: %v\n", err)
		os.Exit(1)
	}
}
