// Command sycamore-standin runs a stand-in for an external system in tests and in the demo: the platform, an engine or a
// service.
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
	var handler http.Handler
	switch settings.MustParse(&s, nil) {
	case "platform":
		handler = platform.New()
	case "engine":
		handler = engine.New(engine.Options{
			MemoryBytes: s.EngineMemory, Slots: s.EngineSlots, ChecksFencing: s.EngineChecksFencing, LoadTime: s.EngineLoadTime,
			AdapterTime: s.EngineAdapterTime, TokenTime: s.EngineTokenTime, PrefillTime: s.EnginePrefill,
			BatchSlowdown: s.EngineBatchSlowdown, CacheTokens: s.EngineCacheTokens,
			Log: func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) },
		})
	case "service":
		handler = service.New(service.Options{
			Delay: s.ServiceDelay, AnswerDelay: s.ServiceAnswerDelay, CloseBeforeExecution: s.ServiceCloseBefore, CloseAfterExecution: s.ServiceCloseAfter,
		})
	}
	server := &http.Server{Addr: s.Listen, Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	if err := server.ListenAndServe(); err != nil {
		fmt.Fprintf(os.Stderr, "sycamore-standin: serve: %v\n", err)
		os.Exit(1)
	}
}
