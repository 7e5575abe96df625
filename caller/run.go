package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"auburnscale/engine"
	"auburnscale/event"
	"auburnscale/exchange"
	"auburnscale/peer"
	"auburnscale/retry"
	"auburnscale/route"
	"auburnscale/usage"
)

// A run is the execution of a completion from its first dispatch to its last byte. If
// a target fails, it resumes on another one after the last token that the caller has;
// no token is sent to the caller twice.
type run struct {
	server  *Server
	request *completion
	ctx     context.Context
	cancel  context.CancelFunc
	created int64

	attempts int
	avoid    []string
	target   *route.Target
	// incarnation is that of the target's process at dispatch.
	incarnation string
	// prefillTokens are the prompt tokens that the target still has to prefill.
	prefillTokens int64
	stream        *engine.Stream
	// first is a chunk that was received but not yet returned by nextChunk.
	first *engine.Chunk

	text strings.Builder
	// version is the software version of the engine that generated the text so far.
	version string
	// position is the number of output tokens that the caller has, one per chunk with text.
	position              int
	finishReason          string
	usage                 *engine.Usage
	estimatedPromptTokens int64
	// outputCost is in thousandths of the unit of a usage record's cost.
	outputCost int64
	recorded   bool
	finished   bool
}

func newRun(s *Server, c *completion, ctx context.Context, cancel context.CancelFunc) *run {
	return &run{server: s, request: c, ctx: ctx, cancel: cancel, created: time.Now().Unix(), estimatedPromptTokens: engine.PromptTokens(c.prompt)}
}

// start dispatches the request until a target has sent its first chunk. No response
// byte has been sent by then, so a failure can still set the HTTP status.
func (r *run) start() *Failure {
	r.server.deps.Budget.Deposit(r.request.identity.workspace.Name)
	for {
		failure := r.dispatch()
		if failure == nil {
			r.first, failure = r.firstChunk()
		}
		if failure == nil {
			return nil
		}
		if failure = r.checkRetry(failure); failure != nil {
			return failure
		}
	}
}

func (r *run) firstChunk() (*engine.Chunk, *Failure) {
	chunk, err := r.stream.Next()
	if err != nil {
		return nil, r.handleFailure(err)
	}
	r.markPrefilled()
	return chunk, nil
}

// dispatch chooses a target and sends it the request.
func (r *run) dispatch() *Failure {
	if failure := r.checkSuspects(); failure != nil {
		return failure
	}
	decision := r.server.choose(r.ctx, r.request.service, route.Request{
		PromptTokens: r.estimatedPromptTokens, OutputTokens: r.request.maxTokens, Blocks: r.request.prefixBlocks, BlockTokens: r.request.blockTokens, Avoid: r.avoid,
		Version: r.requiredVersion(),
	})
	t := decision.Target()
	if t == nil {
		return r.noTarget()
	}
	body, err := r.request.engineBody(r.position, r.text.String())
	if err != nil {
		return reject(fasthttp.StatusBadRequest, CodeBadRequest, err.Error()).withoutRetry()
	}
	r.server.countRoute(decision.Reason())
	r.reserve(t, r.estimatedPromptTokens-decision.Cached())
	r.attempts++
	r.stream, err = r.server.deps.Engines.Complete(r.ctx, t.Address(), engine.Request{
		ID: r.request.id, Path: r.request.path, Body: body, Priority: r.request.ticket.Priority(), ResumePosition: r.position,
	})
	if err != nil {
		return r.handleFailure(err)
	}
	r.request.service.RecordDispatch(t, r.request.prefixBlocks)
	if r.position > 0 && r.stream.Version() != r.version {
		return r.otherVersion()
	}
	r.version = r.stream.Version()
	return nil
}

// requiredVersion returns the software version that the completion must stay at, or nil before the
// first token. Engines that name none count as one version.
func (r *run) requiredVersion() *string {
	if r.position == 0 {
		return nil
	}
	return &r.version
}

// otherVersion releases a target that generates the rest of the completion at another version than
// its last load report named.
func (r *run) otherVersion() *Failure {
	r.avoid = append(r.avoid, r.target.Name())
	r.server.logVersionChanged(r)
	r.releaseTarget()
	return failed(fasthttp.StatusBadGateway, CodeTargetFailed, "the target runs another software version than the one that began the completion")
}

// noTarget returns the failure when no target is left to try. Only a request that was
// never dispatched is reported as not run.
func (r *run) noTarget() *Failure {
	if r.position > 0 || r.attempts > 0 {
		message := "no other target of the service is usable"
		if r.position > 0 && r.version != "" {
			message = fmt.Sprintf("no other target is usable that runs software version %q, which began the completion", r.version)
		}
		return failed(fasthttp.StatusBadGateway, CodeTargetFailed, message).withRetryAfter(time.Second).withoutRetry()
	}
	return reject(fasthttp.StatusServiceUnavailable, CodeNoTarget, "no target of the service is currently usable").withRetryAfter(returnAfter(r.request.service)).withoutRetry()
}

// reserve counts the request on the target with its uncached prompt tokens.
func (r *run) reserve(t *route.Target, prefillTokens int64) {
	r.target = t
	r.incarnation = r.server.deps.Registry.Incarnation(t.Name())
	r.prefillTokens = prefillTokens
	t.Begin(prefillTokens)
}

// markPrefilled removes the request's prefill tokens from the target's count and admits
// waiting requests. It is called when the target's first chunk shows that the prefill
// is finished, and when the target is released.
func (r *run) markPrefilled() {
	if r.target != nil && r.prefillTokens > 0 {
		r.target.PrefillDone(r.prefillTokens)
		r.prefillTokens = 0
		r.request.service.Queue().AdmitWaiting()
	}
}

// releaseTarget closes the stream and removes the request from the target's count.
func (r *run) releaseTarget() {
	if r.stream != nil {
		r.stream.Close()
		r.stream = nil
	}
	if r.target != nil {
		r.markPrefilled()
		r.target.End()
		r.target = nil
	}
}

// handleFailure releases the target of a failed dispatch, records the failure for the
// target's health, and returns the failure for the caller.
func (r *run) handleFailure(err error) *Failure {
	t := r.target
	failure := r.failureFromError(err)
	r.releaseTarget()
	r.avoid = append(r.avoid, t.Name())
	var status *engine.StatusError
	isStatus := errors.As(err, &status)
	if !isStatus || status.Status() >= fasthttp.StatusInternalServerError {
		r.request.service.RecordFailure(t)
	}
	if exchange.NotSent(err) {
		r.server.deps.Registry.ReportUnreachable(t.Name())
		failure.retryIsFree = true
		return failure
	}
	if isStatus || r.ctx.Err() != nil {
		return failure
	}
	return r.checkCrash(t, failure)
}

// failureFromError returns the failure for a dispatch error. A client error of the
// target, except 429, is passed on and is final, unless another target has begun the
// completion: the request is sound then, and the error is the target's.
func (r *run) failureFromError(err error) *Failure {
	if r.ctx.Err() != nil {
		return failed(fasthttp.StatusGatewayTimeout, CodeTargetFailed, "the deadline passed before the response was complete")
	}
	var status *engine.StatusError
	isStatus := errors.As(err, &status)
	if isStatus && r.position > 0 {
		return failed(fasthttp.StatusBadGateway, CodeTargetFailed, fmt.Sprintf("the target that was to resume the completion returned status %d", status.Status()))
	}
	if isStatus && status.Status() < fasthttp.StatusInternalServerError && status.Status() != fasthttp.StatusTooManyRequests {
		return failed(status.Status(), CodeBadRequest, status.Body()).withoutRetry()
	}
	message := fmt.Sprintf("the target failed: %v", err)
	if exchange.NotSent(err) && r.attempts == 1 && r.position == 0 {
		return reject(fasthttp.StatusBadGateway, CodeTargetFailed, message)
	}
	return failed(fasthttp.StatusBadGateway, CodeTargetFailed, message)
}

// checkCrash finds out whether the target crashed while it ran the request. If it did,
// the control group decides whether the request gets one more attempt. A request that
// crashes targets thus reaches at most two in the whole system. The attempt waits
// until every instance knows of the suspicion and rejects the same request if a caller
// sends it again.
func (r *run) checkCrash(t *route.Target, failure *Failure) *Failure {
	if !r.server.deps.Registry.HasCrashed(r.ctx, t.Name(), r.incarnation) {
		return failure
	}
	r.server.deps.Blocks.Crashed(t.Name(), r.incarnation, r.request.suspects)
	if r.request.admission.Trial() {
		return failure.withoutRetry()
	}
	if r.mayRetryAfterCrash() {
		return failure
	}
	r.server.deps.Logger.Log(event.RequestQuarantined, zap.String("fingerprint", r.request.fingerprint), zap.String("request", r.request.id))
	return failed(fasthttp.StatusServiceUnavailable, CodeQuarantined, "targets crashed while they ran this request, so it is temporarily blocked").withoutRetry()
}

// mayRetryAfterCrash reports the suspicion to the control group. It returns true if
// this request gets the remaining attempt and the suspicion is in effect at every
// instance.
func (r *run) mayRetryAfterCrash() bool {
	first := !r.request.reportedSuspect
	r.request.reportedSuspect = true
	result, err := r.server.propose(r.ctx, &peer.Command{Actor: r.server.config.Instance, Body: &peer.Command_Suspect{
		Suspect: &peer.Suspect{Fingerprint: r.request.fingerprint, Owner: r.request.id},
	}})
	if err != nil {
		// The control group is unreachable: this instance allows one retry by its own
		// count.
		return first
	}
	if result.Code != peer.Result_OK {
		return false
	}
	ctx, cancel := context.WithTimeout(r.ctx, inEffectTimeout)
	defer cancel()
	return r.server.deps.Proposer.AwaitInEffect(ctx, result.Revision) && r.isOnlyRetry()
}

// isOnlyRetry reports whether no other dispatch of the request has crashed a target
// since the suspicion.
func (r *run) isOnlyRetry() bool {
	return r.server.deps.Views.View().Crashes(r.request.fingerprint) <= 1
}

// inEffectTimeout limits the wait until every instance knows of a suspicion. It is
// longer than an instance that has just lost contact stays fresh.
const inEffectTimeout = 5 * time.Second

// checkRetry returns nil if the request may be retried on another target, and the
// failure for the caller otherwise. It charges the retry budget unless the retry is
// free.
func (r *run) checkRetry(failure *Failure) *Failure {
	if failure.final || r.ctx.Err() != nil {
		return failure
	}
	if !r.server.keyStillValid(r.request.identity) {
		return failed(fasthttp.StatusUnauthorized, CodeKeyWithdrawn, "the key was withdrawn while the request ran")
	}
	if failure.retryIsFree && r.attempts < retry.MaxAttempts {
		return nil
	}
	if !r.server.deps.Budget.TrySpend(r.request.identity.workspace.Name, r.attempts) {
		return failure
	}
	return nil
}

// nextChunk returns the next chunk, from another target if the current one fails. It
// returns io.EOF after the end of the completion.
func (r *run) nextChunk() (*engine.Chunk, *Failure, error) {
	if r.first != nil {
		chunk := r.first
		r.first = nil
		return chunk, nil, nil
	}
	for {
		chunk, err := r.stream.Next()
		if err == nil {
			r.markPrefilled()
			return chunk, nil, nil
		}
		if err == io.EOF || r.isComplete() {
			r.succeed()
			return nil, nil, io.EOF
		}
		if failure := r.resume(err); failure != nil {
			return nil, failure, nil
		}
	}
}

// isComplete reports whether the completion has no missing tokens although its end
// marker is missing: the finish reason or max_tokens tokens have been received. In the
// latter case it sets the finish reason.
func (r *run) isComplete() bool {
	if r.finishReason == "" && r.request.hasMaxTokens && int64(r.position) == r.request.maxTokens {
		r.finishReason = finishReasonLength
	}
	return r.finishReason != ""
}

// finishReasonLength is the finish reason of a completion that reached max_tokens.
const finishReasonLength = "length"

// resume continues the completion on another target after the last token that was
// received.
func (r *run) resume(err error) *Failure {
	failure := r.handleFailure(err)
	for {
		if failure = r.checkRetry(failure); failure != nil {
			return failure
		}
		if failure = r.dispatch(); failure == nil {
			r.server.deps.Logger.Log(event.StreamResumed, zap.String("request", r.request.id), zap.Int("position", r.position), zap.String("target", r.target.Name()), zap.String("target_version", r.version))
			return nil
		}
	}
}

// succeed records the success for the target's health and clears the suspicion that
// this request reported, if any.
func (r *run) succeed() {
	r.request.service.RecordSuccess(r.target)
	r.server.deps.Blocks.Served(r.request.suspects)
	if !r.request.reportedSuspect {
		return
	}
	_, _ = r.server.propose(r.ctx, &peer.Command{Actor: r.server.config.Instance, Body: &peer.Command_Suspect{
		Suspect: &peer.Suspect{Fingerprint: r.request.fingerprint, Owner: r.request.id, Cleared: true},
	}})
}

// appendChunk adds a chunk to the text, position, usage and cost of the completion.
func (r *run) appendChunk(chunk *engine.Chunk) {
	if chunk.Usage != nil {
		r.usage = chunk.Usage
	}
	if finish := chunk.FinishReason(); finish != "" {
		r.finishReason = finish
	}
	text := chunk.Text()
	if text == "" {
		return
	}
	r.text.WriteString(text)
	r.position++
	r.outputCost += r.target.TokenCost()
}

// record records the usage for what was sent to the caller, once. It must be called
// before the last byte is sent, so that a second instance has a copy of the record by
// then.
func (r *run) record() {
	if r.recorded {
		return
	}
	r.recorded = true
	const perThousand = 1000
	promptCost := r.estimatedPromptTokens * r.currentTokenCost()
	r.server.deps.Recorder.Record(usage.RequestUsage{
		Workspace: r.request.identity.workspace.Name, PromptTokens: r.billedPromptTokens(), OutputTokens: int64(r.position),
		Cost: (r.outputCost + promptCost) / perThousand,
	})
}

// currentTokenCost returns the current target's price of a thousand tokens, or 0
// without a target.
func (r *run) currentTokenCost() int64 {
	if r.target == nil {
		return 0
	}
	return r.target.TokenCost()
}

// billedPromptTokens returns the engine's count of prompt tokens, or the estimate if
// the engine gave none.
func (r *run) billedPromptTokens() int64 {
	if r.usage != nil {
		return r.usage.PromptTokens
	}
	return r.estimatedPromptTokens
}

func (r *run) usageTotals() *engine.Usage {
	prompt := r.billedPromptTokens()
	return &engine.Usage{PromptTokens: prompt, CompletionTokens: int64(r.position), TotalTokens: prompt + int64(r.position)}
}

// finish releases the target, the ticket and the context. It is idempotent.
func (r *run) finish() {
	if r.finished {
		return
	}
	r.finished = true
	r.releaseTarget()
	r.server.deps.Blocks.End(r.request.admission)
	r.request.ticket.Release()
	r.cancel()
}

func (s *Server) random() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// logVersionChanged logs that a target was given up because its version changed.
func (s *Server) logVersionChanged(r *run) {
	s.deps.Logger.Log(event.TargetOtherVersion, zap.String("request", r.request.id), zap.String("target", r.target.Name()), zap.String("target_version", r.stream.Version()), zap.String("required", r.version))
}

func (s *Server) countRoute(reason route.Reason) {
	s.deps.Metrics.Tagged(map[string]string{"reason": string(reason)}).Counter("routed").Inc(1)
}

const proposeTimeout = 3 * time.Second

func (s *Server) propose(ctx context.Context, command *peer.Command) (*peer.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return s.deps.Proposer.Propose(ctx, command)
}
