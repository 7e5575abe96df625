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
	"auburnscale/quarantine"
	"auburnscale/target"
)

const (
	// maxPrefixBlocks limits the prefix blocks of a prompt that routing considers.
	maxPrefixBlocks = 256
	// defaultMaxTokens is the assumed output length of a request without
	// max_tokens.
	defaultMaxTokens = 256
	// maxOutputTokens is the highest max_tokens that a caller may request.
	maxOutputTokens = 32768
)

// completionBody holds the fields of a completion request that the server uses. All
// other fields reach the engine unchanged.
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

// A completion is a completion request that is being processed. It holds copies of
// everything that outlives the HTTP handler.
type completion struct {
	id              string
	path            string
	identity        callerIdentity
	service         *target.Service
	model           string
	stream          bool
	rawFields       map[string]json.RawMessage
	prompt          string
	maxTokens       int64
	hasMaxTokens    bool
	prefixBlocks    []uint64
	blockTokens     int64
	fingerprint     string
	deadline        time.Time
	ticket          *admit.Ticket
	reportedSuspect bool
	// suspects holds the ids by which crashes of targets are explained.
	suspects  []uint64
	admission quarantine.Admission
}

// complete handles a completion request. It returns true if the response is streamed
// after the handler has returned.
func (s *Server) complete(ctx *fasthttp.RequestCtx, id, path string) (bool, *Failure) {
	if !ctx.IsPost() {
		return false, reject(fasthttp.StatusMethodNotAllowed, CodeBadRequest, "completion requests must use POST")
	}
	c, failure := s.prepare(ctx, id, path)
	if failure != nil {
		return false, failure
	}
	background, cancel := context.WithDeadline(s.context, c.deadline)
	if failure := s.admit(background, c); failure != nil {
		cancel()
		s.deps.Blocks.End(c.admission)
		return false, failure
	}
	run := newRun(s, c, background, cancel)
	if failure := run.start(); failure != nil {
		run.finish()
		return false, failure
	}
	if c.stream {
		run.startStream(ctx)
		return true, nil
	}
	defer run.finish()
	return false, run.writeFullResponse(ctx)
}

// prepare parses and authorizes the request and copies everything that outlives the
// handler.
func (s *Server) prepare(ctx *fasthttp.RequestCtx, id, path string) (*completion, *Failure) {
	view, failure := s.view()
	if failure != nil {
		return nil, failure
	}
	body := &completionBody{}
	rawFields := map[string]json.RawMessage{}
	data := append([]byte(nil), ctx.PostBody()...)
	if err := decodeBody(data, body, &rawFields); err != nil {
		return nil, reject(fasthttp.StatusBadRequest, CodeBadRequest, "the body is not a valid completion request: "+err.Error())
	}
	serviceSpec := view.Snapshot().ServiceOfModel(body.Model)
	if serviceSpec == nil {
		return nil, reject(fasthttp.StatusNotFound, CodeUnknownModel, fmt.Sprintf("there is no model %q", body.Model))
	}
	identity, failure := s.identify(ctx, serviceSpec, view, path)
	if failure != nil {
		return nil, failure
	}
	c := &completion{
		id: id, path: path, identity: identity, model: body.Model, stream: body.Stream, rawFields: rawFields,
		service: s.deps.Registry.Service(serviceSpec.Name), blockTokens: int64(serviceSpec.BlockTokens),
	}
	if failure := c.setFields(body, serviceSpec, data); failure != nil {
		return nil, failure
	}
	c.deadline = time.Now().Add(s.requestTimeout(ctx))
	if failure := s.refuseIfStopping(c.deadline); failure != nil {
		return nil, failure
	}
	if failure := s.checkQuarantine(c); failure != nil {
		return nil, failure
	}
	c.admission = s.deps.Blocks.Admit(c.suspects)
	return c, quarantineFailure(c.admission)
}

// decodeBody decodes data twice: into the fields that the server uses, and into a map
// of all fields for the engine.
func decodeBody(data []byte, body *completionBody, rawFields *map[string]json.RawMessage) error {
	if err := json.Unmarshal(data, body); err != nil {
		return err
	}
	return json.Unmarshal(data, rawFields)
}

// setFields sets the fields that depend on the prompt and max_tokens. It fails if
// either is invalid.
func (c *completion) setFields(body *completionBody, serviceSpec *inventory.Service, data []byte) *Failure {
	prompt, err := promptText(body)
	if err != nil {
		return reject(fasthttp.StatusBadRequest, CodeBadRequest, err.Error())
	}
	if c.service == nil {
		return reject(fasthttp.StatusServiceUnavailable, CodeNoTarget, fmt.Sprintf("service %q is not configured on this instance yet", serviceSpec.Name)).withRetryAfter(time.Second)
	}
	c.prompt = prompt
	c.maxTokens = defaultMaxTokens
	if body.MaxTokens != nil {
		c.maxTokens = *body.MaxTokens
		c.hasMaxTokens = true
	}
	if c.maxTokens < 1 || c.maxTokens > maxOutputTokens {
		return reject(fasthttp.StatusBadRequest, CodeBadRequest, fmt.Sprintf("max_tokens must be from 1 to %d", maxOutputTokens))
	}
	c.prefixBlocks = engine.PrefixBlocks(prompt, serviceSpec.BlockTokens, maxPrefixBlocks)
	digest := xxhash.Sum64(data)
	c.fingerprint = fmt.Sprintf("%s/%016x", c.identity.workspace.Name, digest)
	c.suspects = suspectIDs(body, c.prefixBlocks, digest)
	return nil
}

// promptText returns the text whose prefixes are used for cache-aware routing: the
// prompt, or the chat messages in order.
func promptText(body *completionBody) (string, error) {
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

// TimeoutHeader carries the time in milliseconds that the caller is willing to wait
// for the whole response.
const TimeoutHeader = "X-Timeout-Ms"

// requestTimeout returns the caller's timeout, or the configured maximum if the
// header is missing, invalid or exceeds the maximum.
func (s *Server) requestTimeout(ctx *fasthttp.RequestCtx) time.Duration {
	wanted, err := time.ParseDuration(string(ctx.Request.Header.Peek(TimeoutHeader)) + "ms")
	if err != nil || wanted <= 0 || wanted > s.config.MaxRequestTimeout {
		return s.config.MaxRequestTimeout
	}
	return wanted
}

// checkQuarantine fails a request that is quarantined because targets crashed while
// they ran it.
func (s *Server) checkQuarantine(c *completion) *Failure {
	until, refused := c.identity.view.Quarantined(c.fingerprint, time.Now())
	if !refused {
		return nil
	}
	message := "targets crashed while they ran this request, so it is temporarily blocked"
	return reject(fasthttp.StatusServiceUnavailable, CodeQuarantined, message).withRetryAfter(time.Until(until))
}

// admit applies the workspace's rate limit and waits in the service's admission
// queue. On success the completion holds a ticket.
func (s *Server) admit(ctx context.Context, c *completion) *Failure {
	cost := admit.Cost(engine.PromptTokens(c.prompt), c.maxTokens)
	if failure := s.takeRateLimit(ctx, c.identity, c.model, cost); failure != nil {
		return failure
	}
	if len(c.service.Fleet().Targets()) == 0 {
		return reject(fasthttp.StatusServiceUnavailable, CodeNoTarget, "no target of the service is currently usable").withRetryAfter(time.Second)
	}
	ticket, err := c.service.Queue().Acquire(ctx, admit.Request{Workspace: c.identity.workspace.Name, Weight: c.identity.workspace.Weight, Cost: cost, FirstTokenTime: s.estimateTimeToFirstToken(c)})
	if err != nil {
		return admissionFailure(err, CodeOverloaded)
	}
	c.ticket = ticket
	if !s.keyStillValid(c.identity) {
		ticket.Release()
		return reject(fasthttp.StatusUnauthorized, CodeKeyWithdrawn, "the key was withdrawn while the request was queued")
	}
	return nil
}

// estimateTimeToFirstToken returns the estimated time to the first token on an idle
// target: the prefill time of the prompt without the longest prefix that any target
// is believed to have cached.
func (s *Server) estimateTimeToFirstToken(c *completion) time.Duration {
	fleet := c.service.Fleet()
	targets := fleet.Targets()
	if len(targets) == 0 {
		return 0
	}
	cachedBlocks, _ := fleet.Index().Longest(c.prefixBlocks, nil)
	uncachedTokens := engine.PromptTokens(c.prompt) - int64(cachedBlocks)*c.blockTokens
	return time.Duration(float64(max(0, uncachedTokens)) / targets[0].PrefillRate() * float64(time.Second))
}

// takeRateLimit takes the cost, in tokens, from the workspace's rate limit for the
// service, if the configuration sets one.
func (s *Server) takeRateLimit(ctx context.Context, identity callerIdentity, model string, cost float64) *Failure {
	serviceSpec := identity.view.Snapshot().ServiceOfModel(model)
	limit, ok := identity.view.Snapshot().Limit(identity.workspace.Name, serviceSpec.Name)
	if !ok {
		return nil
	}
	name := identity.workspace.Name + "\x00" + serviceSpec.Name
	if err := s.rateLimits.Take(ctx, name, limit.TokensPerSecond, limit.BurstTokens, cost, identity.view.Instances()); err != nil {
		return admissionFailure(err, CodeRateLimited)
	}
	return nil
}

// engineBody returns the request body for the engine. It is the caller's body with
// streaming and usage figures enabled. If position is greater than 0, it asks the
// engine to resume after that many output tokens, whose text the caller has already.
func (c *completion) engineBody(position int, text string) ([]byte, error) {
	c.rawFields["stream"] = json.RawMessage("true")
	c.rawFields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	delete(c.rawFields, "resume")
	if position > 0 {
		resume, err := json.Marshal(engine.Resume{Position: position, Text: text})
		if err != nil {
			return nil, fmt.Errorf("encode resume: %w", err)
		}
		c.rawFields["resume"] = resume
	}
	data, err := json.Marshal(c.rawFields)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	return data, nil
}
