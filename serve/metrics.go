package serve

import (
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

const metricsInterval = time.Second

// newMetrics returns the process's root scope and the handler that shows it in
// the Prometheus text form.
func newMetrics(instance string) (tally.Scope, fasthttp.RequestHandler) {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "auburnscale", Tags: map[string]string{"instance": instance},
		CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
	}, metricsInterval)
	return scope, fasthttpadaptor.NewFastHTTPHandler(reporter.HTTPHandler())
}
