package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

// PlatformConfig describes the stand-in platform.
type PlatformConfig struct {
	IgnoreFencing bool
	// WeightsPerSecond is the rate limit for reads of the weight store.
	WeightsPerSecond float64
	// FailEvery responds with 503 to every n-th call after recording it, so that
	// the sender cannot know whether the call was accepted.
	FailEvery int
}

// A Platform represents the stand-in platform. It records the usage reports and
// orders that it received, and every violation of their protocol.
type Platform struct {
	server
	config  PlatformConfig
	weights *rate.Limiter

	mutex sync.Mutex
	// epoch is the highest fencing token received.
	epoch    uint64
	received int
	reports  map[int64][]byte
	orders   map[string][]byte
	breaches []string
}

// PlatformRecord holds the reports and orders that the platform received, and the
// protocol violations that it detected.
type PlatformRecord struct {
	Reports  []json.RawMessage `json:"reports"`
	Orders   []json.RawMessage `json:"orders"`
	Breaches []string          `json:"breaches"`
}

// NewPlatform returns a platform that does not listen yet.
func NewPlatform(config PlatformConfig) *Platform {
	if config.WeightsPerSecond == 0 {
		config.WeightsPerSecond = 1
	}
	return &Platform{
		config: config, weights: rate.NewLimiter(rate.Limit(config.WeightsPerSecond), 1),
		reports: map[int64][]byte{}, orders: map[string][]byte{},
	}
}

// Listen starts the platform on the address.
func (p *Platform) Listen(address string) error { return p.listen(address, p.handle) }

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/v1/usage_reports":
		p.take(ctx, p.report)
	case "/v1/target_orders":
		p.take(ctx, p.order)
	case "/v1/record":
		respondJSON(ctx, fasthttp.StatusOK, p.Record())
	case "/weights":
		p.readWeights(ctx)
	default:
		respondJSON(ctx, fasthttp.StatusNotFound, messageBody{"path not found"})
	}
}

func (p *Platform) readWeights(ctx *fasthttp.RequestCtx) {
	if !p.weights.Allow() {
		respondJSON(ctx, fasthttp.StatusTooManyRequests, messageBody{"rate limit of the weight store exceeded"})
		return
	}
	respondJSON(ctx, fasthttp.StatusOK, messageBody{"weights"})
}

// take checks the fencing token and passes the body to f, which records it.
func (p *Platform) take(ctx *fasthttp.RequestCtx, f func([]byte) error) {
	epoch, err := strconv.ParseUint(string(ctx.Request.Header.Peek(fencingHeader)), 10, 64)
	if err != nil {
		respondJSON(ctx, fasthttp.StatusBadRequest, messageBody{"the X-Fencing-Number header is missing or not a number"})
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if epoch < p.epoch && !p.config.IgnoreFencing {
		respondJSON(ctx, fasthttp.StatusConflict, messageBody{fmt.Sprintf("fencing token %d is older than %d", epoch, p.epoch)})
		return
	}
	if epoch < p.epoch {
		p.breaches = append(p.breaches, fmt.Sprintf("a call with fencing token %d arrived after one with fencing token %d", epoch, p.epoch))
	}
	p.epoch = max(p.epoch, epoch)
	if err := f(append([]byte(nil), ctx.PostBody()...)); err != nil {
		respondJSON(ctx, fasthttp.StatusBadRequest, messageBody{err.Error()})
		return
	}
	p.received++
	if p.config.FailEvery > 0 && p.received%p.config.FailEvery == 0 {
		respondJSON(ctx, fasthttp.StatusServiceUnavailable, messageBody{"the call was recorded, and this failure was injected"})
		return
	}
	respondJSON(ctx, fasthttp.StatusOK, messageBody{"taken"})
}

func (p *Platform) report(body []byte) error {
	var head struct {
		Window int64 `json:"window_start_ms"`
	}
	if err := json.Unmarshal(body, &head); err != nil {
		return err
	}
	if known := p.reports[head.Window]; known != nil && !bytes.Equal(known, body) {
		p.breaches = append(p.breaches, fmt.Sprintf("usage window %d was reported twice with different contents", head.Window))
	}
	p.reports[head.Window] = body
	return nil
}

func (p *Platform) order(body []byte) error {
	var head struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(body, &head); err != nil {
		return err
	}
	if known := p.orders[head.ID]; known != nil && !bytes.Equal(known, body) {
		p.breaches = append(p.breaches, fmt.Sprintf("order %s was received twice with different contents", head.ID))
	}
	p.orders[head.ID] = body
	return nil
}

// Record returns the reports, orders and violations recorded so far, in no
// particular order.
func (p *Platform) Record() PlatformRecord {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	record := PlatformRecord{Reports: []json.RawMessage{}, Orders: []json.RawMessage{}, Breaches: append([]string{}, p.breaches...)}
	for _, body := range p.reports {
		record.Reports = append(record.Reports, body)
	}
	for _, body := range p.orders {
		record.Orders = append(record.Orders, body)
	}
	return record
}
