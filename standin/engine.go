package standin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"auburnscale/engine"
)

// Faults are the ways in which an engine can misbehave. Zero values misbehave in
// none.
type Faults struct {
	// CrashAt makes the engine crash at its n-th request.
	CrashAt int
	// CrashMarker makes it crash on a prompt that holds the text.
	CrashMarker string
	// CutEvery cuts each n-th stream in the middle.
	CutEvery int
	// CutEndEvery cuts each n-th stream behind its last token, before the
	// finish reason; CutMarkerEvery behind the finish reason.
	CutEndEvery    int
	CutMarkerEvery int
	// Slow multiplies the time of every step.
	Slow float64
	// CrossEvery echoes a wrong request id on each n-th request.
	CrossEvery int
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// EventDelay is the age of cache events, GapEvery loses each n-th.
	EventDelay time.Duration
	GapEvery   int
	// IgnoreFencing accepts orders with an old number.
	IgnoreFencing bool
	// RefuseOrders answers orders with 503.
	RefuseOrders bool
	// HoldAfterFirst, if not nil, holds every stream behind its first token
	// until the channel is closed.
	HoldAfterFirst <-chan struct{}
}

// EngineConfig describes a stand-in engine.
type EngineConfig struct {
	Name        string
	Role        string
	Slots       int
	KVTokens    int
	CachePieces int
	Timing      Timing
	Seed        uint64
	Faults      Faults
	// OnCrash is called when the engine crashes; nil only cuts its connections.
	OnCrash func()
}

const (
	defaultSlots       = 16
	defaultKVTokens    = 200_000
	defaultCachePieces = 400
	maxChanges         = 4096
	idleStep           = 2 * time.Millisecond
)

// An Engine represents a stand-in model engine.
type Engine struct {
	server
	config      EngineConfig
	incarnation string

	mutex     sync.Mutex
	batch     batch
	wake      chan struct{}
	role      string
	awayUntil time.Time
	epoch     uint64
	lastOrder string
	orders    []OrderSeen
	arrivals  uint64
	reports   []timedLoad
	dropped   uint64
	share     float64
	stop      chan struct{}
	stopOnce  sync.Once
}

// OrderSeen is an order that reached the engine.
type OrderSeen struct {
	ID       string `json:"id"`
	Epoch    uint64 `json:"epoch"`
	Role     string `json:"role"`
	Accepted bool   `json:"accepted"`
}

type timedLoad struct {
	at   time.Time
	load engineLoad
}

// NewEngine returns an engine that does not listen yet.
func NewEngine(config EngineConfig) *Engine {
	setEngineDefaults(&config)
	random := rand.New(rand.NewPCG(config.Seed, uint64(time.Now().UnixNano())))
	e := &Engine{
		config: config, incarnation: fmt.Sprintf("%016x", random.Uint64()), role: config.Role,
		wake: make(chan struct{}, 1), stop: make(chan struct{}),
	}
	e.batch = batch{slots: config.Slots, kvTokens: config.KVTokens, cache: newPrefixCache(config.CachePieces), chunk: chunkOf(config.Role), hold: config.Faults.HoldAfterFirst}
	return e
}

func setEngineDefaults(c *EngineConfig) {
	if c.Slots == 0 {
		c.Slots = defaultSlots
	}
	if c.KVTokens == 0 {
		c.KVTokens = defaultKVTokens
	}
	if c.CachePieces == 0 {
		c.CachePieces = defaultCachePieces
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

func chunkOf(role string) int {
	switch role {
	case "prefill":
		return prefillChunk
	case "decode":
		return decodeChunk
	}
	return mixedChunk
}

// Listen starts the engine at the address.
func (e *Engine) Listen(address string) error {
	if err := e.listen(address, e.handle); err != nil {
		return err
	}
	go e.loop()
	return nil
}

// Kill cuts every connection, as a crash would.
func (e *Engine) Kill() {
	e.stopOnce.Do(func() { close(e.stop) })
	e.server.Kill()
}

func (e *Engine) crash() {
	e.Kill()
	if e.config.OnCrash != nil {
		e.config.OnCrash()
	}
}

// loop runs the batch step by step.
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
	if time.Now().Before(e.awayUntil) {
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
	e.share = (1-smoothing)*e.share + smoothing*float64(work)/float64(total)
	return time.Duration(float64(total) * e.config.Faults.Slow)
}

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/v1/chat/completions", "/v1/completions":
		e.complete(ctx)
	case "/load":
		answerJSON(ctx, fasthttp.StatusOK, e.load(time.Now()))
	case "/cache/events":
		e.cacheEvents(ctx)
	case "/orders":
		e.order(ctx)
	case "/orders/seen":
		answerJSON(ctx, fasthttp.StatusOK, e.Orders())
	default:
		answerJSON(ctx, fasthttp.StatusNotFound, notice{"no such path"})
	}
}

// engineLoad is the engine's load report, with the use of its prefix cache.
type engineLoad struct {
	engine.Load
	CacheHits  int64 `json:"cache_hits"`
	CacheAsked int64 `json:"cache_asked"`
}

// load returns the report that is as old as the fault makes it.
func (e *Engine) load(now time.Time) engineLoad {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.reports = append(e.reports, timedLoad{now, e.loadNow(now)})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.config.Faults.LoadLag {
		e.reports = e.reports[1:]
	}
	return e.reports[0].load
}

func (e *Engine) loadNow(now time.Time) engineLoad {
	t := e.config.Timing
	slow := e.config.Faults.Slow
	stepTime := t.Step + time.Duration(e.config.Slots)*t.DecodeStream
	busyStep := t.Step + time.Duration(e.batch.chunk)*t.PrefillToken + time.Duration(len(e.batch.running))*t.DecodeStream
	away := max(0, e.awayUntil.Sub(now))
	load := engine.Load{
		Name: e.config.Name, Incarnation: e.incarnation, Role: e.role, Running: len(e.batch.running),
		Waiting: len(e.batch.waiting), WaitingTokens: e.batch.waitingTokens(), Slots: e.config.Slots,
		PrefillRate: float64(e.batch.chunk) / busyStep.Seconds() / slow, DecodeRate: 1 / stepTime.Seconds() / slow,
		PrefillShare: e.share, AwayMs: away.Milliseconds(), LastOrder: e.lastOrder, Epoch: e.epoch,
	}
	return engineLoad{Load: load, CacheHits: e.batch.cache.hits, CacheAsked: e.batch.cache.asked}
}

type cacheEvent struct {
	Stored bool     `json:"stored"`
	Pieces []uint64 `json:"pieces"`
}

type cacheEvents struct {
	Next   uint64       `json:"next"`
	Gap    bool         `json:"gap"`
	Events []cacheEvent `json:"events"`
}

// cacheEvents answers the events behind the asked number that are old enough.
func (e *Engine) cacheEvents(ctx *fasthttp.RequestCtx) {
	after, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil {
		after = 0
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	changes := e.batch.cache.changes
	if over := len(changes) - maxChanges; over > 0 {
		changes = changes[over:]
		e.batch.cache.changes = changes
		e.dropped += uint64(over)
	}
	answer := cacheEvents{Next: max(after, e.dropped), Gap: after < e.dropped}
	for i := int(answer.Next - e.dropped); i < len(changes); i++ {
		if time.Since(changes[i].at) < e.config.Faults.EventDelay {
			break
		}
		answer.Next++
		if every := e.config.Faults.GapEvery; every > 0 && answer.Next%uint64(every) == 0 {
			continue
		}
		answer.Events = append(answer.Events, cacheEvent{Stored: changes[i].stored, Pieces: changes[i].pieces})
	}
	answerJSON(ctx, fasthttp.StatusOK, answer)
}

type orderBody struct {
	ID    string `json:"id"`
	Epoch uint64 `json:"epoch"`
	Role  string `json:"role"`
	Model string `json:"model"`
}

// order changes the role, unless the fencing number is old and honoured.
func (e *Engine) order(ctx *fasthttp.RequestCtx) {
	var order orderBody
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		answerJSON(ctx, fasthttp.StatusBadRequest, notice{err.Error()})
		return
	}
	if e.config.Faults.RefuseOrders {
		answerJSON(ctx, fasthttp.StatusServiceUnavailable, notice{"no orders are taken now"})
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	stale := order.Epoch < e.epoch && !e.config.Faults.IgnoreFencing
	e.orders = append(e.orders, OrderSeen{ID: order.ID, Epoch: order.Epoch, Role: order.Role, Accepted: !stale})
	if stale {
		answerJSON(ctx, fasthttp.StatusConflict, notice{fmt.Sprintf("epoch %d is older than %d", order.Epoch, e.epoch)})
		return
	}
	e.epoch = order.Epoch
	if order.ID != e.lastOrder && order.Role != "" && order.Role != e.role {
		e.role = order.Role
		e.batch.chunk = chunkOf(order.Role)
		e.awayUntil = time.Now().Add(e.config.Timing.RoleChange)
	}
	e.lastOrder = order.ID
	answerJSON(ctx, fasthttp.StatusOK, notice{"accepted"})
}

// Orders returns the orders that reached the engine.
func (e *Engine) Orders() []OrderSeen {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]OrderSeen{}, e.orders...)
}

// Arrivals returns the number of completions that reached the engine.
func (e *Engine) Arrivals() uint64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.arrivals
}

// CacheUse returns the prompt pieces found in the prefix cache, and all that were
// looked for.
func (e *Engine) CacheUse() (found, asked int64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.batch.cache.hits, e.batch.cache.asked
}

func (e *Engine) crashes(arrival uint64, prompt string) bool {
	f := e.config.Faults
	return f.CrashAt > 0 && arrival == uint64(f.CrashAt) || f.CrashMarker != "" && strings.Contains(prompt, f.CrashMarker)
}
