package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"auburnscale/engine"
)

// ServiceFaults configures how a plain service misbehaves. The zero value injects
// no fault.
type ServiceFaults struct {
	// CloseEvery executes every n-th call and closes its connection without a
	// response.
	CloseEvery int
	// TruncateEvery truncates the response body of every n-th call.
	TruncateEvery int
	// Delay is added to every call.
	Delay time.Duration
	// FailEvery responds with 500 to every n-th call without executing it.
	FailEvery int
}

// ServiceConfig describes a stand-in plain service.
type ServiceConfig struct {
	Name   string
	Faults ServiceFaults
}

// A Service represents a stand-in plain service. It counts how often it executed
// each call.
type Service struct {
	server
	config      ServiceConfig
	incarnation string

	mutex   sync.Mutex
	calls   int
	running int
	runs    map[string]int
	orders  int
}

// NewService returns a service that does not listen yet.
func NewService(config ServiceConfig) *Service {
	return &Service{config: config, incarnation: fmt.Sprintf("%x", time.Now().UnixNano()), runs: map[string]int{}}
}

// Listen starts the service on the address.
func (s *Service) Listen(address string) error { return s.listen(address, s.handle) }

// confirmation is the response to an executed call. Runs counts the executions of
// calls with the same method and body, including this one.
type confirmation struct {
	Confirmation string `json:"confirmation"`
	Digest       string `json:"digest"`
	Runs         int    `json:"runs"`
}

// RunCount is how often a call with one method and body was executed.
type RunCount struct {
	Digest string `json:"digest"`
	Runs   int    `json:"runs"`
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/load":
		respondJSON(ctx, fasthttp.StatusOK, s.load())
		return
	case "/runs":
		respondJSON(ctx, fasthttp.StatusOK, s.Runs())
		return
	}
	if len(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)) > 0 {
		respondJSON(ctx, fasthttp.StatusBadRequest, messageBody{"a caller's key reached the target"})
		return
	}
	s.begin()
	defer s.end()
	time.Sleep(s.config.Faults.Delay)
	s.call(ctx)
}

func (s *Service) begin() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running++
}

func (s *Service) end() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running--
}

func (s *Service) load() engine.Load {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return engine.Load{Name: s.config.Name, Incarnation: s.incarnation, Role: "plain", Running: s.running}
}

func (s *Service) call(ctx *fasthttp.RequestCtx) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	f := s.config.Faults
	if f.FailEvery > 0 && s.calls%f.FailEvery == 0 {
		respondJSON(ctx, fasthttp.StatusInternalServerError, messageBody{"the call was not executed: injected failure"})
		return
	}
	response := s.executeLocked(ctx)
	if f.CloseEvery > 0 && s.calls%f.CloseEvery == 0 {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(closeConnection)
		return
	}
	respondJSON(ctx, fasthttp.StatusOK, response)
	if f.TruncateEvery > 0 && s.calls%f.TruncateEvery == 0 {
		truncateBody(ctx)
	}
}

func (s *Service) executeLocked(ctx *fasthttp.RequestCtx) confirmation {
	sum := sha256.Sum256(append(ctx.Method(), ctx.PostBody()...))
	digest := hex.EncodeToString(sum[:])
	s.runs[digest]++
	s.orders++
	return confirmation{Confirmation: fmt.Sprintf("%s-%06d", s.config.Name, s.orders), Digest: digest, Runs: s.runs[digest]}
}

// Runs returns how often each call was executed, in no particular order.
func (s *Service) Runs() []RunCount {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := []RunCount{}
	for digest, runs := range s.runs {
		list = append(list, RunCount{Digest: digest, Runs: runs})
	}
	return list
}
