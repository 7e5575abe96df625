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

// ServiceFaults are the ways in which a plain service can misbehave.
type ServiceFaults struct {
	// CloseEvery reads each n-th call, runs it and closes without an answer.
	CloseEvery int
	// CutEvery announces more of a body than it sends on each n-th call.
	CutEvery int
	// Delay is added to every call.
	Delay time.Duration
	// FailEvery answers each n-th call with 500 without running it.
	FailEvery int
}

// ServiceConfig describes a stand-in plain service.
type ServiceConfig struct {
	Name   string
	Faults ServiceFaults
}

// A Service represents a stand-in plain service that keeps a book of orders.
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

// Listen starts the service at the address.
func (s *Service) Listen(address string) error { return s.listen(address, s.handle) }

// confirmation is the answer to an order.
type confirmation struct {
	Confirmation string `json:"confirmation"`
	Digest       string `json:"digest"`
	Runs         int    `json:"runs"`
}

// RunCount is how often a body has run.
type RunCount struct {
	Digest string `json:"digest"`
	Runs   int    `json:"runs"`
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/load":
		answerJSON(ctx, fasthttp.StatusOK, s.load())
		return
	case "/runs":
		answerJSON(ctx, fasthttp.StatusOK, s.Runs())
		return
	}
	if len(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)) > 0 {
		answerJSON(ctx, fasthttp.StatusBadRequest, notice{"a caller's key reached the target"})
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
		answerJSON(ctx, fasthttp.StatusInternalServerError, notice{"the service failed before it ran the call"})
		return
	}
	answer := s.runLocked(ctx)
	if f.CloseEvery > 0 && s.calls%f.CloseEvery == 0 {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(closeConnection)
		return
	}
	answerJSON(ctx, fasthttp.StatusOK, answer)
	if f.CutEvery > 0 && s.calls%f.CutEvery == 0 {
		cutBody(ctx)
	}
}

func (s *Service) runLocked(ctx *fasthttp.RequestCtx) confirmation {
	sum := sha256.Sum256(append(ctx.Method(), ctx.PostBody()...))
	digest := hex.EncodeToString(sum[:])
	s.runs[digest]++
	s.orders++
	return confirmation{Confirmation: fmt.Sprintf("%s-%06d", s.config.Name, s.orders), Digest: digest, Runs: s.runs[digest]}
}

// Runs returns how often each body has run.
func (s *Service) Runs() []RunCount {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := []RunCount{}
	for digest, runs := range s.runs {
		list = append(list, RunCount{Digest: digest, Runs: runs})
	}
	return list
}
