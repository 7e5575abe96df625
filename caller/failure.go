package caller

import (
	"encoding/json"
	"errors"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"auburnscale/admit"
)

// A Code is the stable error code in the body of a failed response.
type Code string

// The error codes that callers receive.
const (
	CodeBadRequest             Code = "bad_request"
	CodeKeyMissing             Code = "key_missing"
	CodeKeyInvalid             Code = "key_invalid"
	CodeKeyWithdrawn           Code = "key_withdrawn"
	CodeNotAllowed             Code = "not_allowed"
	CodeUnknownModel           Code = "unknown_model"
	CodeUnknownService         Code = "unknown_service"
	CodeNoSuchPath             Code = "no_such_path"
	CodeTooLarge               Code = "too_large"
	CodeNotReady               Code = "not_ready"
	CodeCutOff                 Code = "cut_off"
	CodeOverloaded             Code = "overloaded"
	CodeRateLimited            Code = "rate_limited"
	CodeNoTarget               Code = "no_target"
	CodeTargetFailed           Code = "target_failed"
	CodeOutcomeUnknown         Code = "outcome_unknown"
	CodeIdempotencyKeyConflict Code = "idempotency_key_conflict"
	CodeQuarantined            Code = "quarantined"
	CodeStreamBroken           Code = "stream_broken"
)

// A Failure is an error response to a caller.
type Failure struct {
	status  int
	code    Code
	message string
	// notRun is true only if no byte of the request can have reached a target.
	notRun     bool
	retryAfter time.Duration
	// final is true if a retry on another target cannot succeed.
	final bool
	// retryIsFree is true if the failed attempt used no resources of a target, so
	// that a retry is not charged to the retry budget.
	retryIsFree bool
}

// Error returns the message.
func (f *Failure) Error() string { return f.message }

// reject returns a failure for a request that was not sent to any target.
func reject(status int, code Code, message string) *Failure {
	return &Failure{status: status, code: code, message: message, notRun: true}
}

// failed returns a failure for a request that may have run.
func failed(status int, code Code, message string) *Failure {
	return &Failure{status: status, code: code, message: message}
}

// withRetryAfter sets the Retry-After header of the response.
func (f *Failure) withRetryAfter(wait time.Duration) *Failure {
	f.retryAfter = wait
	return f
}

// withoutRetry marks the failure as final: it is returned without a retry.
func (f *Failure) withoutRetry() *Failure {
	f.final = true
	return f
}

// admissionFailure converts an error of the admission queue or the rate limit to a
// failure with the given code.
func admissionFailure(err error, code Code) *Failure {
	var refusal *admit.Refusal
	if errors.As(err, &refusal) {
		return reject(fasthttp.StatusTooManyRequests, code, refusal.Error()).withRetryAfter(refusal.RetryAfter())
	}
	return reject(fasthttp.StatusServiceUnavailable, code, err.Error()).withRetryAfter(time.Second)
}

// failureBody is the JSON body of a failed response.
type failureBody struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Code      Code   `json:"code"`
	Message   string `json:"message"`
	NotRun    bool   `json:"not_run"`
	RequestID string `json:"request_id"`
}

func (f *Failure) body(requestID string) []byte {
	data, err := json.Marshal(failureBody{Error: failureDetail{Code: f.code, Message: f.message, NotRun: f.notRun, RequestID: requestID}})
	if err != nil {
		return []byte(`{"error":{"code":"internal","message":"the failure could not be encoded","not_run":false}}`)
	}
	return data
}

func (f *Failure) write(ctx *fasthttp.RequestCtx, requestID string) {
	ctx.SetStatusCode(f.status)
	ctx.SetContentType(jsonType)
	if f.retryAfter > 0 {
		seconds := int(math.Ceil(f.retryAfter.Seconds()))
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(max(1, seconds)))
	}
	ctx.SetBody(f.body(requestID))
}

const jsonType = "application/json"
