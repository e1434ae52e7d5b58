// Command sycamore-soak runs host processes against stand-ins of the users' platform, injects seeded random faults and checks
// what callers and endpoints observe. It exits with status 1 if a rule was violated.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"sycamoredeal/internal/soak"
	"sycamoredeal/internal/testbed"
)

func main() {
	app := kingpin.New("sycamore-soak", "Runs host processes under seeded random faults and checks what callers and endpoints see.")
	seeds := app.Flag("seeds", "Seeds to run, as numbers and ranges, for example 1-50 or 7,12.").String()
	freshTime := app.Flag("fresh", "Run newly drawn seeds for this time.").Duration()
	hosts := app.Flag("hosts", "Number of hosts; by default, each seed determines its own.").Int()
	parallel := app.Flag("parallel", "Number of concurrent runs.").Default("3").Int()
	failureDir := app.Flag("keep", "Folder for the logs of failed runs.").Default("soak-failures").String()
	verbose := app.Flag("verbose", "Print each event when it begins.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	failed, err := run(ctx, *seeds, *freshTime, *hosts, *parallel, *failureDir, *verbose)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak failed:", err)
	}
	if err != nil || failed > 0 {
		os.Exit(1)
	}
}

func run(ctx context.Context, seedList string, freshTime time.Duration, hosts, parallel int, failureDir string, verbose bool) (failed int, err error) {
	seeds, err := parseSeeds(seedList)
	if err != nil {
		return 0, err
	}
	bin, err := os.MkdirTemp("", "soak-bin")
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer os.RemoveAll(bin)
	bed, err := testbed.New(ctx, bin)
	if err != nil {
		return 0, err
	}
	next := make(chan uint64)
	go func() {
		defer close(next)
		for _, s := range seeds {
			next <- s
		}
		for end := time.Now().Add(freshTime); time.Now().Before(end) && ctx.Err() == nil; {
			next <- rand.Uint64N(1 << 32)
		}
	}()
	var mu sync.Mutex
	var wg sync.WaitGroup
	runs := 0
	for range max(parallel, 1) {
		wg.Go(func() {
			for seed := range next {
				o := soak.Options{Bed: bed, FailureDir: failureDir}
				if verbose {
					o.LogEvent = func(s string) { fmt.Printf("seed %d: %s\n", seed, s) }
				}
				r, runErr := soak.Run(ctx, soak.NewPlan(seed, hosts), o)
				mu.Lock()
				r.Err = runErr
				if runs++; runErr != nil {
					err = errors.Annotatef(runErr, "seed %d", seed)
				}
				if len(r.Violations) > 0 {
					failed++
				}
				fmt.Println(r)
				for _, v := range r.Violations {
					fmt.Println("  ", v)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	fmt.Printf("%d runs, %d with violations\n", runs, failed)
	return failed, err
}

// parseSeeds parses a comma-separated list of numbers and ranges.
func parseSeeds(list string) ([]uint64, error) {
	var out []uint64
	if list == "" {
		return nil, nil
	}
	for _, part := range strings.Split(list, ",") {
		from, to, ranged := strings.Cut(part, "-")
		first, err := strconv.ParseUint(from, 10, 64)
		if err != nil {
			return nil, errors.Errorf("--seeds: %q is not a number", from)
		}
		last := first
		if ranged {
			if last, err = strconv.ParseUint(to, 10, 64); err != nil || last < first {
				return nil, errors.Errorf("--seeds: %q is not a range", part)
			}
		}
		for s := first; s <= last; s++ {
			out = append(out, s)
		}
	}
	return out, nil
}
