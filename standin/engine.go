package standin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"auburnscale/engine"
)

// Faults configures how an engine misbehaves. The zero value injects no fault.
type Faults struct {
	// CrashAt makes the engine crash on its n-th request.
	CrashAt int
	// CrashMarker makes the engine crash on a prompt that contains the text.
	CrashMarker string
	// TruncateEvery truncates every n-th stream in the middle.
	TruncateEvery int
	// TruncateBeforeFinishEvery truncates every n-th stream after its last token,
	// before the finish reason; TruncateBeforeDoneEvery truncates it after the
	// finish reason, before the usage and the [DONE] marker.
	TruncateBeforeFinishEvery int
	TruncateBeforeDoneEvery   int
	// Slow is a factor on the duration of every step; 0 means 1.
	Slow float64
	// MismatchIDEvery returns a wrong request ID on every n-th request.
	MismatchIDEvery int
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// EventDelay is how long a cache event is delayed. GapEvery drops every n-th
	// cache event.
	EventDelay time.Duration
	GapEvery   int
	// IgnoreFencing accepts orders with an old fencing token.
	IgnoreFencing bool
	// RefuseOrders rejects orders with status 503.
	RefuseOrders bool
	// ResumeResponses are bytes that the engine writes as its responses to the first requests to resume a
	// completion, with {id} replaced by the request id, before it closes the connection.
	ResumeResponses []string
	// HoldAfterFirst, if not nil, pauses every stream after its first token
	// until the channel is closed.
	HoldAfterFirst <-chan struct{}
}

// EngineConfig describes a stand-in engine.
type EngineConfig struct {
	Name        string
	Role        string
	Slots       int
	KVTokens    int
	CacheBlocks int
	Timing      Timing
	Seed        uint64
	Faults      Faults
	// Version, if not empty, is the version of the engine's software, which its responses and its
	// output name.
	Version string
	// OnCrash is called after a crash has closed the engine's connections. It may
	// be nil.
	OnCrash func()
}

const (
	defaultSlots       = 16
	defaultKVTokens    = 200_000
	defaultCacheBlocks = 400
	maxRetainedChanges = 4096
	idleStep           = 2 * time.Millisecond
)

// An Engine represents a stand-in model engine.
type Engine struct {
	server
	crashed     atomic.Bool
	config      EngineConfig
	incarnation string

	mutex          sync.Mutex
	batch          batch
	wake           chan struct{}
	role           string
	switchingUntil time.Time
	// epoch is the fencing token of the last accepted order.
	epoch     uint64
	lastOrder string
	orders    []ReceivedOrder
	arrivals  uint64
	reports   []timedReport
	dropped   uint64
	// prefillShare is the moving average of the share of a step spent on prefill.
	prefillShare float64
	stop         chan struct{}
	stopOnce     sync.Once
}

// ReceivedOrder is an order that reached the engine. Accepted is false if its
// fencing token was out of date.
type ReceivedOrder struct {
	ID       string `json:"id"`
	Epoch    uint64 `json:"epoch"`
	Role     string `json:"role"`
	Accepted bool   `json:"accepted"`
}

type timedReport struct {
	at   time.Time
	load engineLoad
}

// NewEngine returns an engine that does not listen yet.
func NewEngine(config EngineConfig) *Engine {
	applyEngineDefaults(&config)
	random := rand.New(rand.NewPCG(config.Seed, uint64(time.Now().UnixNano())))
	e := &Engine{
		config: config, incarnation: fmt.Sprintf("%016x", random.Uint64()), role: config.Role,
		wake: make(chan struct{}, 1), stop: make(chan struct{}),
	}
	e.batch = batch{slots: config.Slots, kvTokens: config.KVTokens, cache: newPrefixCache(config.CacheBlocks), chunk: chunkSize(config.Role), hold: config.Faults.HoldAfterFirst}
	return e
}

func applyEngineDefaults(c *EngineConfig) {
	if c.Slots == 0 {
		c.Slots = defaultSlots
	}
	if c.KVTokens == 0 {
		c.KVTokens = defaultKVTokens
	}
	if c.CacheBlocks == 0 {
		c.CacheBlocks = defaultCacheBlocks
	}
	if c.Role == "" {
		c.Role = "mixed"
	}
	if c.Timing == (Timing{}) {
		c.Timing = DefaultTiming
	}
	if c.Faults.Slow == 0 {
		c.Faults.Slow = 1
	}
}

func chunkSize(role string) int {
	switch role {
	case "prefill":
		return prefillChunk
	case "decode":
		return decodeChunk
	}
	return mixedChunk
}

// Listen starts the engine on the address.
func (e *Engine) Listen(address string) error {
	if err := e.listen(address, e.handle); err != nil {
		return err
	}
	go e.loop()
	return nil
}

// Kill stops the engine and closes every connection, as a crash would.
func (e *Engine) Kill() {
	e.stopOnce.Do(func() { close(e.stop) })
	e.server.Kill()
}

// Crashed reports whether one of the configured faults made the engine crash.
func (e *Engine) Crashed() bool { return e.crashed.Load() }

func (e *Engine) crash() {
	e.crashed.Store(true)
	e.Kill()
	if e.config.OnCrash != nil {
		e.config.OnCrash()
	}
}

// loop runs the steps of the batch, each for as long as the timing model says.
func (e *Engine) loop() {
	for {
		pause := e.step()
		timer := time.NewTimer(pause)
		select {
		case <-e.stop:
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

func (e *Engine) step() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if time.Now().Before(e.switchingUntil) {
		return idleStep
	}
	e.batch.admit()
	if len(e.batch.running) == 0 {
		return idleStep
	}
	prefill, decode := e.batch.step()
	t := e.config.Timing
	work := time.Duration(prefill) * t.PrefillToken
	total := t.Step + work + time.Duration(decode)*t.DecodeStream
	const smoothing = 0.1
	e.prefillShare = (1-smoothing)*e.prefillShare + smoothing*float64(work)/float64(total)
	return time.Duration(float64(total) * e.config.Faults.Slow)
}

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/v1/chat/completions", "/v1/completions":
		e.complete(ctx)
	case "/load":
		respondJSON(ctx, fasthttp.StatusOK, e.load(time.Now()))
	case "/cache/events":
		e.cacheEvents(ctx)
	case "/orders":
		e.order(ctx)
	case "/orders/seen":
		respondJSON(ctx, fasthttp.StatusOK, e.Orders())
	default:
		respondJSON(ctx, fasthttp.StatusNotFound, messageBody{"path not found"})
	}
}

// engineLoad is the engine's load report with the hit counts of its prefix cache.
type engineLoad struct {
	engine.Load
	CacheHits  int64 `json:"cache_hits"`
	CacheAsked int64 `json:"cache_asked"`
}

// load returns the load report, delayed by Faults.LoadLag.
func (e *Engine) load(now time.Time) engineLoad {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.reports = append(e.reports, timedReport{now, e.currentLoad(now)})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.config.Faults.LoadLag {
		e.reports = e.reports[1:]
	}
	return e.reports[0].load
}

func (e *Engine) currentLoad(now time.Time) engineLoad {
	t := e.config.Timing
	slow := e.config.Faults.Slow
	stepTime := t.Step + time.Duration(e.config.Slots)*t.DecodeStream
	busyStep := t.Step + time.Duration(e.batch.chunk)*t.PrefillToken + time.Duration(len(e.batch.running))*t.DecodeStream
	switchingTime := max(0, e.switchingUntil.Sub(now))
	load := engine.Load{
		Name: e.config.Name, Incarnation: e.incarnation, Role: e.role, Running: len(e.batch.running),
		Waiting: len(e.batch.waiting), WaitingTokens: e.batch.waitingTokens(), Slots: e.config.Slots,
		PrefillRate: float64(e.batch.chunk) / busyStep.Seconds() / slow, DecodeRate: 1 / stepTime.Seconds() / slow,
		PrefillShare: e.prefillShare, AwayMs: switchingTime.Milliseconds(), LastOrder: e.lastOrder, Epoch: e.epoch,
		SoftwareVersion: e.config.Version,
	}
	return engineLoad{Load: load, CacheHits: e.batch.cache.hits, CacheAsked: e.batch.cache.lookups}
}

type cacheEvent struct {
	Stored bool     `json:"stored"`
	Blocks []uint64 `json:"pieces"`
}

type cacheEvents struct {
	Next   uint64       `json:"next"`
	Gap    bool         `json:"gap"`
	Events []cacheEvent `json:"events"`
}

// cacheEvents responds with the cache events after the requested sequence number
// that are older than Faults.EventDelay.
func (e *Engine) cacheEvents(ctx *fasthttp.RequestCtx) {
	after, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil {
		after = 0
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	changes := e.batch.cache.changes
	if over := len(changes) - maxRetainedChanges; over > 0 {
		changes = changes[over:]
		e.batch.cache.changes = changes
		e.dropped += uint64(over)
	}
	response := cacheEvents{Next: max(after, e.dropped), Gap: after < e.dropped}
	for i := int(response.Next - e.dropped); i < len(changes); i++ {
		if time.Since(changes[i].at) < e.config.Faults.EventDelay {
			break
		}
		response.Next++
		if every := e.config.Faults.GapEvery; every > 0 && response.Next%uint64(every) == 0 {
			continue
		}
		response.Events = append(response.Events, cacheEvent{Stored: changes[i].stored, Blocks: changes[i].blocks})
	}
	respondJSON(ctx, fasthttp.StatusOK, response)
}

type orderBody struct {
	ID    string `json:"id"`
	Epoch uint64 `json:"epoch"`
	Role  string `json:"role"`
	Model string `json:"model"`
}

// order applies an order, which may change the role. It rejects an old fencing
// token with status 409, unless Faults.IgnoreFencing is set.
func (e *Engine) order(ctx *fasthttp.RequestCtx) {
	var order orderBody
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		respondJSON(ctx, fasthttp.StatusBadRequest, messageBody{err.Error()})
		return
	}
	if e.config.Faults.RefuseOrders {
		respondJSON(ctx, fasthttp.StatusServiceUnavailable, messageBody{"the engine accepts no orders at present"})
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	stale := order.Epoch < e.epoch && !e.config.Faults.IgnoreFencing
	e.orders = append(e.orders, ReceivedOrder{ID: order.ID, Epoch: order.Epoch, Role: order.Role, Accepted: !stale})
	if stale {
		respondJSON(ctx, fasthttp.StatusConflict, messageBody{fmt.Sprintf("fencing token %d is older than %d", order.Epoch, e.epoch)})
		return
	}
	e.epoch = order.Epoch
	if order.ID != e.lastOrder && order.Role != "" && order.Role != e.role {
		e.role = order.Role
		e.batch.chunk = chunkSize(order.Role)
		e.switchingUntil = time.Now().Add(e.config.Timing.RoleChange)
	}
	e.lastOrder = order.ID
	respondJSON(ctx, fasthttp.StatusOK, messageBody{"accepted"})
}

// Orders returns the orders that reached the engine.
func (e *Engine) Orders() []ReceivedOrder {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]ReceivedOrder{}, e.orders...)
}

// Arrivals returns the number of completions that reached the engine.
func (e *Engine) Arrivals() uint64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.arrivals
}

// CacheStats returns how many prefix blocks were found in the prefix cache and how
// many were looked up.
func (e *Engine) CacheStats() (hits, lookups int64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.batch.cache.hits, e.batch.cache.lookups
}

func (e *Engine) crashes(arrival uint64, prompt string) bool {
	f := e.config.Faults
	return f.CrashAt > 0 && arrival == uint64(f.CrashAt) || f.CrashMarker != "" && strings.Contains(prompt, f.CrashMarker)
}
