package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"auburnscale/admit"
	"auburnscale/engine"
	"auburnscale/inventory"
	"auburnscale/target"
)

const (
	// maxPieces bounds the prefix pieces that routing looks at.
	maxPieces = 256
	// defaultMaxTokens is the output length that is reckoned with when the
	// caller gives none.
	defaultMaxTokens = 256
	// maxOutputTokens bounds what a caller may ask for.
	maxOutputTokens = 32768
)

// completionBody is what the server reads of a completion request. All other
// fields pass to the engine as they came.
type completionBody struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  []message       `json:"messages"`
	Stream    bool            `json:"stream"`
	MaxTokens *int64          `json:"max_tokens"`
	Options   *streamOptions  `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// A completion represents one completion request on its way.
type completion struct {
	id          string
	path        string
	who         identity
	service     *target.Service
	model       string
	stream      bool
	raw         map[string]json.RawMessage
	prompt      string
	maxTokens   int64
	limited     bool
	pieces      []uint64
	pieceTokens int64
	fingerprint string
	deadline    time.Time
	ticket      *admit.Ticket
	suspected   bool
}

// complete answers a completion request. It returns true if the rest of the
// answer is streamed after the handler.
func (s *Server) complete(ctx *fasthttp.RequestCtx, id, path string) (bool, *Failure) {
	if !ctx.IsPost() {
		return false, refuse(fasthttp.StatusMethodNotAllowed, CodeBadRequest, "completions are asked for with POST")
	}
	c, failure := s.prepare(ctx, id, path)
	if failure != nil {
		return false, failure
	}
	background, cancel := context.WithDeadline(context.Background(), c.deadline)
	if failure := s.admit(background, c); failure != nil {
		cancel()
		return false, failure
	}
	run := newRun(s, c, background, cancel)
	if failure := run.begin(); failure != nil {
		run.finish()
		return false, failure
	}
	if c.stream {
		run.streamTo(ctx)
		return true, nil
	}
	defer run.finish()
	return false, run.answerWhole(ctx)
}

// prepare reads and checks the request and copies all that outlives the handler.
func (s *Server) prepare(ctx *fasthttp.RequestCtx, id, path string) (*completion, *Failure) {
	view, failure := s.view()
	if failure != nil {
		return nil, failure
	}
	body := &completionBody{}
	raw := map[string]json.RawMessage{}
	data := append([]byte(nil), ctx.PostBody()...)
	if err := decodeBoth(data, body, &raw); err != nil {
		return nil, refuse(fasthttp.StatusBadRequest, CodeBadRequest, "the body is not a completion request: "+err.Error())
	}
	described := view.Snapshot().ServiceOfModel(body.Model)
	if described == nil {
		return nil, refuse(fasthttp.StatusNotFound, CodeUnknownModel, fmt.Sprintf("there is no model %q", body.Model))
	}
	who, failure := s.identify(ctx, described, view, path)
	if failure != nil {
		return nil, failure
	}
	c := &completion{
		id: id, path: path, who: who, model: body.Model, stream: body.Stream, raw: raw,
		service: s.parts.Book.Service(described.Name), pieceTokens: int64(described.BlockTokens),
	}
	if failure := c.fill(body, described, data); failure != nil {
		return nil, failure
	}
	c.deadline = time.Now().Add(s.deadlineOf(ctx))
	return c, s.checkQuarantine(c)
}

func decodeBoth(data []byte, body *completionBody, raw *map[string]json.RawMessage) error {
	if err := json.Unmarshal(data, body); err != nil {
		return err
	}
	return json.Unmarshal(data, raw)
}

func (c *completion) fill(body *completionBody, described *inventory.Service, data []byte) *Failure {
	prompt, err := promptOf(body)
	if err != nil {
		return refuse(fasthttp.StatusBadRequest, CodeBadRequest, err.Error())
	}
	if c.service == nil {
		return refuse(fasthttp.StatusServiceUnavailable, CodeNoTarget, fmt.Sprintf("service %q is not set up yet", described.Name)).after(time.Second)
	}
	c.prompt = prompt
	c.maxTokens = defaultMaxTokens
	if body.MaxTokens != nil {
		c.maxTokens = *body.MaxTokens
		c.limited = true
	}
	if c.maxTokens < 1 || c.maxTokens > maxOutputTokens {
		return refuse(fasthttp.StatusBadRequest, CodeBadRequest, fmt.Sprintf("max_tokens must be from 1 to %d", maxOutputTokens))
	}
	c.pieces = engine.PrefixBlocks(prompt, described.BlockTokens, maxPieces)
	c.fingerprint = fmt.Sprintf("%s/%016x", c.who.workspace.Name, xxhash.Sum64(data))
	return nil
}

// promptOf returns the text that the prefix cache sees: a chat's messages in
// order, or the prompt.
func promptOf(body *completionBody) (string, error) {
	if body.Prompt != nil {
		var text string
		if err := json.Unmarshal(body.Prompt, &text); err != nil {
			return "", fmt.Errorf("prompt must be a string")
		}
		return text, nil
	}
	if len(body.Messages) == 0 {
		return "", fmt.Errorf("the request has neither messages nor a prompt")
	}
	var b strings.Builder
	for i, m := range body.Messages {
		var text string
		if err := json.Unmarshal(m.Content, &text); err != nil {
			return "", fmt.Errorf("messages[%d].content must be a string", i)
		}
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(text)
		b.WriteString("\n")
	}
	return b.String(), nil
}

// TimeoutHeader carries the milliseconds a caller is willing to wait.
const TimeoutHeader = "X-Timeout-Ms"

func (s *Server) deadlineOf(ctx *fasthttp.RequestCtx) time.Duration {
	wanted, err := time.ParseDuration(string(ctx.Request.Header.Peek(TimeoutHeader)) + "ms")
	if err != nil || wanted <= 0 || wanted > s.config.Deadline {
		return s.config.Deadline
	}
	return wanted
}

func (s *Server) checkQuarantine(c *completion) *Failure {
	until, refused := c.who.view.Quarantined(c.fingerprint, time.Now())
	if !refused {
		return nil
	}
	message := "targets crashed while this request was in flight; it is not run again for a while"
	return refuse(fasthttp.StatusServiceUnavailable, CodeQuarantined, message).after(time.Until(until))
}

// admit passes the request through its workspace's limit and the service's
// queue.
func (s *Server) admit(ctx context.Context, c *completion) *Failure {
	work := admit.Cost(engine.PromptTokens(c.prompt), c.maxTokens)
	if failure := s.takeLimit(c.who, c.model, work); failure != nil {
		return failure
	}
	if len(c.service.Fleet().Targets()) == 0 {
		return refuse(fasthttp.StatusServiceUnavailable, CodeNoTarget, "no target of the service is usable now").after(time.Second)
	}
	ticket, err := c.service.Queue().Acquire(ctx, admit.Request{Workspace: c.who.workspace.Name, Weight: c.who.workspace.Weight, Cost: work, FirstTokenTime: s.lead(c)})
	if err != nil {
		return refusalOf(err, CodeOverloaded)
	}
	c.ticket = ticket
	if !s.stillAllowed(c.who) {
		ticket.Release()
		return refuse(fasthttp.StatusUnauthorized, CodeWithdrawnKey, "the key was withdrawn while the request waited")
	}
	return nil
}

// lead estimates the time to the first token on an idle target: the prompt,
// without what some target is thought to hold of it.
func (s *Server) lead(c *completion) time.Duration {
	fleet := c.service.Fleet()
	targets := fleet.Targets()
	if len(targets) == 0 {
		return 0
	}
	depth, _ := fleet.Index().Longest(c.pieces, nil)
	left := engine.PromptTokens(c.prompt) - int64(depth)*c.pieceTokens
	return time.Duration(float64(max(0, left)) / targets[0].PrefillRate() * float64(time.Second))
}

func (s *Server) takeLimit(who identity, model string, work float64) *Failure {
	service := who.view.Snapshot().ServiceOfModel(model)
	limit, ok := who.view.Snapshot().Limit(who.workspace.Name, service.Name)
	if !ok {
		return nil
	}
	name := who.workspace.Name + "\x00" + service.Name
	if err := s.limits.Take(name, limit.TokensPerSecond, limit.BurstTokens, work, who.view.Instances()); err != nil {
		return refusalOf(err, CodeRateLimited)
	}
	return nil
}

// engineBody returns the body for the engine: the caller's, always streamed, and
// from the given token on if the caller has the ones before.
func (c *completion) engineBody(position int, text string) ([]byte, error) {
	c.raw["stream"] = json.RawMessage("true")
	c.raw["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	delete(c.raw, "resume")
	if position > 0 {
		resume, err := json.Marshal(engine.Resume{Position: position, Text: text})
		if err != nil {
			return nil, fmt.Errorf("encode resume: %w", err)
		}
		c.raw["resume"] = resume
	}
	data, err := json.Marshal(c.raw)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	return data, nil
}
