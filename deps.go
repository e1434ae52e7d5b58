//go:build deps

package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/Shopify/toxiproxy/v2"
	_ "github.com/Shopify/toxiproxy/v2/toxics"
	_ "github.com/openai/openai-go/v3"
	_ "github.com/openai/openai-go/v3/option"
	_ "github.com/panjf2000/ants/v2"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/smartystreets/goconvey/convey"
	_ "go.opentelemetry.io/otel/exporters/prometheus"
	_ "go.opentelemetry.io/otel/sdk/metric"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg"
	_ "pgregory.net/rapid"
)
