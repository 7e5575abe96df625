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

const metricsInterval = time.Second

// newMetrics returns the process's root scope and the handler that shows it in
// the Prometheus text form.
func newMetrics(instance string) (tally.Scope, fasthttp.RequestHandler) {
	scope, handler := newFleetMetrics(instance)
	return scope, fasthttpadaptor.NewFastHTTPHandler(handler)
}

func newFleetMetrics(instance string) (tally.Scope, http.Handler) {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "auburnscale", Tags: map[string]string{"instance": instance},
		CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, metricsInterval)
	return scope, reporter.HTTPHandler()
}
