package standin

import (
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const rateLimitHeader = "X-Rate-Limit"

// A rateLimit is the limit that a stand-in names in its responses, and when requests arrived
// since it does.
type rateLimit struct {
	mutex     sync.Mutex
	perSecond string
	arrivals  []time.Time
}

// SetRateLimit lets every further response name the limit, as it is. An empty text ends it.
func (s *server) SetRateLimit(perSecond string) {
	s.limit.mutex.Lock()
	defer s.limit.mutex.Unlock()
	s.limit.perSecond, s.limit.arrivals = perSecond, nil
}

// LimitedArrivals returns when requests of callers arrived since the limit is named.
func (s *server) LimitedArrivals() []time.Time {
	s.limit.mutex.Lock()
	defer s.limit.mutex.Unlock()
	return slices.Clone(s.limit.arrivals)
}

// name returns a handler that names the limit in the responses of next.
func (l *rateLimit) name(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		l.mutex.Lock()
		if l.perSecond != "" {
			ctx.Response.Header.Set(rateLimitHeader, l.perSecond)
			// Only requests of callers carry a request id.
			if len(ctx.Request.Header.Peek(requestIDHeader)) > 0 {
				l.arrivals = append(l.arrivals, time.Now())
			}
		}
		l.mutex.Unlock()
		next(ctx)
	}
}
