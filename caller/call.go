package caller

import (
	"context"
	"crypto/sha256"
	"fmt"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/valyala/fasthttp"

	"auburnscale/admit"
	"auburnscale/exchange"
	"auburnscale/inventory"
	"auburnscale/peer"
	"auburnscale/plainservice"
	"auburnscale/route"
	"auburnscale/target"
	"auburnscale/usage"
)

const (
	// IdempotencyHeader carries the caller's idempotency key. A call that has one
	// runs at most once.
	IdempotencyHeader = "Idempotency-Key"
	maxKeyBytes       = 200
	// callCostTokens is the cost of a plain call, in tokens, for admission and
	// billing.
	callCostTokens = 100
)

// A call is a request to a plain service that is being processed.
type call struct {
	id         string
	identity   callerIdentity
	service    *target.Service
	name       string
	outbound   plainservice.Request
	atMostOnce bool
	key        string
	cost       int64
	deadline   time.Time
}

// call handles a request to a plain service, whose path starts with /s/NAME/.
func (s *Server) call(ctx *fasthttp.RequestCtx, id, path string) *Failure {
	c, failure := s.prepareCall(ctx, id, path)
	if failure != nil {
		return failure
	}
	if failure := s.refuseIfStopping(c.deadline); failure != nil {
		return failure
	}
	background, cancel := context.WithDeadline(s.context, c.deadline)
	defer cancel()
	ticket, err := c.service.Queue().Acquire(background, admit.Request{Workspace: c.identity.workspace.Name, Weight: c.identity.workspace.Weight, Cost: callCostTokens})
	if err != nil {
		return admissionFailure(err, CodeOverloaded)
	}
	defer ticket.Release()
	if !s.keyStillValid(c.identity) {
		return reject(fasthttp.StatusUnauthorized, CodeKeyWithdrawn, "the key was withdrawn while the request was queued")
	}
	response, failure := s.runCall(background, c)
	if failure != nil {
		return failure
	}
	s.deps.Recorder.Record(usage.RequestUsage{Workspace: c.identity.workspace.Name, Cost: c.cost})
	ctx.SetStatusCode(response.Status())
	ctx.SetContentType(response.ContentType())
	ctx.SetBody(response.Body())
	return nil
}

// prepareCall authorizes the request and copies everything that is sent to the
// target. It fails if the service is unknown or has no usable target.
func (s *Server) prepareCall(ctx *fasthttp.RequestCtx, id, path string) (*call, *Failure) {
	view, failure := s.view()
	if failure != nil {
		return nil, failure
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(path, servicesPrefix), "/")
	rest = "/" + rest
	serviceSpec := view.Snapshot().Service(name)
	if serviceSpec == nil || serviceSpec.Kind != inventory.PlainService {
		return nil, reject(fasthttp.StatusNotFound, CodeUnknownService, fmt.Sprintf("there is no plain service %q", name))
	}
	identity, failure := s.identify(ctx, serviceSpec, view, rest)
	if failure != nil {
		return nil, failure
	}
	c := &call{id: id, identity: identity, name: name, service: s.deps.Registry.Service(name), deadline: time.Now().Add(s.requestTimeout(ctx))}
	if c.service == nil || len(c.service.Fleet().Targets()) == 0 {
		return nil, reject(fasthttp.StatusServiceUnavailable, CodeNoTarget, "no target of the service is currently usable").withRetryAfter(time.Second)
	}
	c.outbound = outboundRequest(ctx, id, rest)
	c.key = string(ctx.Request.Header.Peek(IdempotencyHeader))
	if len(c.key) > maxKeyBytes {
		return nil, reject(fasthttp.StatusBadRequest, CodeBadRequest, fmt.Sprintf("the header %s exceeds the limit of %d bytes", IdempotencyHeader, maxKeyBytes))
	}
	if !utf8.ValidString(c.key) {
		return nil, reject(fasthttp.StatusBadRequest, CodeBadRequest, fmt.Sprintf("the header %s is not UTF-8", IdempotencyHeader))
	}
	c.atMostOnce = c.key != "" || serviceSpec.IsNonIdempotent(c.outbound.Method, rest)
	return c, nil
}

// outboundRequest copies the request for the target. It uses the normalized path
// that the rules were checked against and leaves out the headers that must not
// reach a target.
func outboundRequest(ctx *fasthttp.RequestCtx, id, path string) plainservice.Request {
	outbound := plainservice.Request{ID: id, Method: string(ctx.Method()), URI: path, Body: append([]byte(nil), ctx.PostBody()...)}
	if query := ctx.QueryArgs().QueryString(); len(query) > 0 {
		outbound.URI += "?" + string(query)
	}
	for name, value := range ctx.Request.Header.All() {
		if plainservice.ForwardsHeader(string(name)) {
			outbound.Headers = append(outbound.Headers, plainservice.NewHeader(string(name), string(value)))
		}
	}
	return outbound
}

func (s *Server) runCall(ctx context.Context, c *call) (*plainservice.Response, *Failure) {
	switch {
	case c.key != "":
		return s.runWithClaim(ctx, c)
	case c.atMostOnce:
		response, failure, _ := s.dispatchAtMostOnce(ctx, c)
		return response, failure
	}
	return s.runIdempotent(ctx, c)
}

// dispatchAtMostOnce sends the call to one target. It tries another target only if
// no byte of the call can have been sent. The last result reports whether the call
// may have run.
func (s *Server) dispatchAtMostOnce(ctx context.Context, c *call) (*plainservice.Response, *Failure, bool) {
	var avoid []string
	for {
		t := s.choose(ctx, c.service, route.Request{Avoid: avoid, AvoidReclaimable: true}).Target()
		if t == nil {
			return nil, reject(fasthttp.StatusServiceUnavailable, CodeNoTarget, "no target of the service can take the call").withRetryAfter(returnAfter(c.service)), false
		}
		response, err := s.send(ctx, c, t)
		if err == nil {
			return response, nil, true
		}
		if !exchange.NotSent(err) {
			return nil, failed(fasthttp.StatusBadGateway, CodeOutcomeUnknown, fmt.Sprintf("the call was sent but its outcome is unknown: %v", err)), true
		}
		if ctx.Err() != nil {
			return nil, reject(fasthttp.StatusGatewayTimeout, CodeNoTarget, "the deadline passed before the call was sent"), false
		}
		avoid = append(avoid, t.Name())
	}
}

// runIdempotent sends the call to a target, and to other targets if that one fails,
// as long as the workspace's retry budget allows.
func (s *Server) runIdempotent(ctx context.Context, c *call) (*plainservice.Response, *Failure) {
	s.deps.Budget.Deposit(c.identity.workspace.Name)
	var avoid []string
	last := reject(fasthttp.StatusServiceUnavailable, CodeNoTarget, "no target of the service is currently usable").withRetryAfter(time.Second)
	for attempts := 1; ; attempts++ {
		t := s.choose(ctx, c.service, route.Request{Avoid: avoid}).Target()
		if t == nil && last.notRun {
			return nil, last.withRetryAfter(returnAfter(c.service))
		}
		if t == nil {
			return nil, last
		}
		response, err := s.send(ctx, c, t)
		if err == nil && response.Status() < fasthttp.StatusInternalServerError {
			return response, nil
		}
		if err == nil {
			last = failed(response.Status(), CodeTargetFailed, fmt.Sprintf("the target returned status %d", response.Status()))
		} else if !exchange.NotSent(err) || !last.notRun {
			last = failed(fasthttp.StatusBadGateway, CodeTargetFailed, fmt.Sprintf("the target failed: %v", err))
		}
		avoid = append(avoid, t.Name())
		if ctx.Err() != nil || !s.deps.Budget.TrySpend(c.identity.workspace.Name, attempts) {
			return responseOrFailure(response, last)
		}
	}
}

// responseOrFailure returns the target's own error response if there is one, and the
// failure otherwise. It ends a call for which no retry is left.
func responseOrFailure(response *plainservice.Response, failure *Failure) (*plainservice.Response, *Failure) {
	if response != nil {
		return response, nil
	}
	return nil, failure
}

// send sends the call to the target and records the result for the target's health.
func (s *Server) send(ctx context.Context, c *call, t *route.Target) (*plainservice.Response, error) {
	t.Begin(0)
	defer t.End()
	response, err := s.deps.Services.Do(ctx, t.Address(), c.outbound)
	if exchange.NotSent(err) {
		s.deps.Registry.ReportUnreachable(t.Name())
	}
	if err != nil || response.Status() >= fasthttp.StatusInternalServerError {
		c.service.RecordFailure(t)
	} else {
		c.service.RecordSuccess(t)
	}
	c.cost = t.TokenCost() * callCostTokens / 1000
	return response, err
}

// runWithClaim claims the idempotency key in the replicated log before it sends any
// byte of the call, and stores the outcome before the caller receives it.
func (s *Server) runWithClaim(ctx context.Context, c *call) (*plainservice.Response, *Failure) {
	result, err := s.propose(ctx, &peer.Command{Actor: s.config.Instance, Body: &peer.Command_OpenClaim{OpenClaim: &peer.OpenClaim{
		Workspace: c.identity.workspace.Name, Key: c.key, Digest: c.digest(), Owner: c.id,
	}}})
	if err != nil {
		// The claim may still be committed, so it is closed as not run.
		s.claims.deferClose(c, &peer.Outcome{NotRun: true})
		message := "no control leader is reachable to claim the idempotency key; the call was not sent"
		return nil, reject(fasthttp.StatusServiceUnavailable, CodeCutOff, message).withRetryAfter(time.Second)
	}
	if result.Code != peer.Result_OK {
		return existingOutcome(result)
	}
	response, failure, ran := s.dispatchAtMostOnce(ctx, c)
	if !ran {
		s.claims.close(c, &peer.Outcome{NotRun: true})
		return nil, failure
	}
	if response != nil {
		s.claims.close(c, outcomeFromResponse(response))
	}
	return response, failure
}

// digest returns a hash of the call's service, method, URI and body. It tells a
// retry from a different call under the same idempotency key.
func (c *call) digest() []byte {
	h := sha256.New()
	fmt.Fprintf(h, "%s\n%s\n%s\n%d\n", c.name, c.outbound.Method, c.outbound.URI, len(c.outbound.Body))
	h.Write(c.outbound.Body)
	return h.Sum(nil)
}

// existingOutcome returns the response or failure for a call whose idempotency key
// was claimed before.
func existingOutcome(result *peer.Result) (*plainservice.Response, *Failure) {
	switch result.Code {
	case peer.Result_REPLAY:
		if result.Outcome.BodyDropped {
			message := fmt.Sprintf("the call ran and returned status %d, but its response was too large to store", result.Outcome.Status)
			return nil, failed(fasthttp.StatusConflict, CodeOutcomeUnknown, message)
		}
		if !exchange.ValidStatus(int(result.Outcome.Status)) {
			// An earlier release stored such outcomes.
			return nil, failed(fasthttp.StatusBadGateway, CodeTargetFailed, fmt.Sprintf("the call ran, and its target returned status %d", result.Outcome.Status))
		}
		return plainservice.NewResponse(int(result.Outcome.Status), result.Outcome.ContentType, result.Outcome.Body), nil
	case peer.Result_CONFLICT:
		return nil, reject(fasthttp.StatusUnprocessableEntity, CodeIdempotencyKeyConflict, result.Detail)
	}
	return nil, failed(fasthttp.StatusConflict, CodeOutcomeUnknown, result.Detail).withRetryAfter(time.Second)
}
