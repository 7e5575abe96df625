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
	// WeightsPerSecond limits reads of the weight store.
	WeightsPerSecond float64
	// FailEvery answers each n-th report with 503 after taking it, so that the
	// sender cannot know whether it was taken.
	FailEvery int
}

// A Platform represents the stand-in platform. It records what it was told and
// every breach of what it was promised.
type Platform struct {
	server
	config  PlatformConfig
	weights *rate.Limiter

	mutex    sync.Mutex
	epoch    uint64
	received int
	reports  map[int64][]byte
	orders   map[string][]byte
	breaches []string
}

// PlatformRecord is what the platform was told.
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

// Listen starts the platform at the address.
func (p *Platform) Listen(address string) error { return p.listen(address, p.handle) }

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/v1/usage_reports":
		p.take(ctx, p.report)
	case "/v1/target_orders":
		p.take(ctx, p.order)
	case "/v1/record":
		answerJSON(ctx, fasthttp.StatusOK, p.Record())
	case "/weights":
		p.readWeights(ctx)
	default:
		answerJSON(ctx, fasthttp.StatusNotFound, notice{"no such path"})
	}
}

func (p *Platform) readWeights(ctx *fasthttp.RequestCtx) {
	if !p.weights.Allow() {
		answerJSON(ctx, fasthttp.StatusTooManyRequests, notice{"the weight store's rate is used up"})
		return
	}
	answerJSON(ctx, fasthttp.StatusOK, notice{"weights"})
}

// take checks the fencing number and hands the body on.
func (p *Platform) take(ctx *fasthttp.RequestCtx, f func([]byte) error) {
	epoch, err := strconv.ParseUint(string(ctx.Request.Header.Peek(fencingHeader)), 10, 64)
	if err != nil {
		answerJSON(ctx, fasthttp.StatusBadRequest, notice{"no fencing number"})
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if epoch < p.epoch && !p.config.IgnoreFencing {
		answerJSON(ctx, fasthttp.StatusConflict, notice{fmt.Sprintf("epoch %d is older than %d", epoch, p.epoch)})
		return
	}
	if epoch < p.epoch {
		p.breaches = append(p.breaches, fmt.Sprintf("a process of epoch %d acted after one of epoch %d", epoch, p.epoch))
	}
	p.epoch = max(p.epoch, epoch)
	if err := f(append([]byte(nil), ctx.PostBody()...)); err != nil {
		answerJSON(ctx, fasthttp.StatusBadRequest, notice{err.Error()})
		return
	}
	p.received++
	if p.config.FailEvery > 0 && p.received%p.config.FailEvery == 0 {
		answerJSON(ctx, fasthttp.StatusServiceUnavailable, notice{"taken, but the answer is lost"})
		return
	}
	answerJSON(ctx, fasthttp.StatusOK, notice{"taken"})
}

func (p *Platform) report(body []byte) error {
	var head struct {
		Window int64 `json:"window_start_ms"`
	}
	if err := json.Unmarshal(body, &head); err != nil {
		return err
	}
	if known := p.reports[head.Window]; known != nil && !bytes.Equal(known, body) {
		p.breaches = append(p.breaches, fmt.Sprintf("window %d was reported twice with different figures", head.Window))
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
		p.breaches = append(p.breaches, fmt.Sprintf("order %s came twice with different content", head.ID))
	}
	p.orders[head.ID] = body
	return nil
}

// Record returns what the platform was told so far.
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
