package serve

import (
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

const metricsReportInterval = time.Second

// newFastHTTPMetrics is newMetricsScope with a handler for fasthttp.
func newFastHTTPMetrics(instance string) (tally.Scope, fasthttp.RequestHandler) {
	scope, handler := newMetricsScope(instance)
	return scope, fasthttpadaptor.NewFastHTTPHandler(handler)
}

// newMetricsScope returns a root scope, tagged with the instance's name, and a
// handler that serves its metrics in the Prometheus text format.
func newMetricsScope(instance string) (tally.Scope, http.Handler) {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "auburnscale", Tags: map[string]string{"instance": instance},
		CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, metricsReportInterval)
	return scope, reporter.HTTPHandler()
}
