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

// A Code is the stable name of a failure.
type Code string

// The codes of failures towards callers.
const (
	CodeBadRequest     Code = "bad_request"
	CodeNoKey          Code = "key_missing"
	CodeBadKey         Code = "key_invalid"
	CodeWithdrawnKey   Code = "key_withdrawn"
	CodeNotAllowed     Code = "not_allowed"
	CodeUnknownModel   Code = "unknown_model"
	CodeUnknownService Code = "unknown_service"
	CodeNoRoute        Code = "no_such_path"
	CodeTooLarge       Code = "too_large"
	CodeNotReady       Code = "not_ready"
	CodeCutOff         Code = "cut_off"
	CodeOverloaded     Code = "overloaded"
	CodeRateLimited    Code = "rate_limited"
	CodeNoTarget       Code = "no_target"
	CodeTargetFailed   Code = "target_failed"
	CodeUnknownOutcome Code = "outcome_unknown"
	CodeKeyConflict    Code = "idempotency_key_conflict"
	CodeQuarantined    Code = "quarantined"
	CodeStreamBroken   Code = "stream_broken"
)

// A Failure represents an answer that is not the one asked for. NotRun is true
// only if no byte of the request can have reached a target.
type Failure struct {
	status     int
	code       Code
	message    string
	notRun     bool
	retryAfter time.Duration
	// final is true if another target would not help.
	final bool
	// free is true if the failed try cost no target anything, so that another
	// one is not taken from the retry budget.
	free bool
}

// Error returns the message.
func (f *Failure) Error() string { return f.message }

// refuse returns a failure of a request that was not sent anywhere.
func refuse(status int, code Code, message string) *Failure {
	return &Failure{status: status, code: code, message: message, notRun: true}
}

// failed returns a failure of a request that may have run.
func failed(status int, code Code, message string) *Failure {
	return &Failure{status: status, code: code, message: message}
}

// after sets when to come back.
func (f *Failure) after(wait time.Duration) *Failure {
	f.retryAfter = wait
	return f
}

// atOnce marks the failure as one that no retry can mend.
func (f *Failure) atOnce() *Failure {
	f.final = true
	return f
}

// refusalOf turns an admission error into a failure.
func refusalOf(err error, code Code) *Failure {
	var refusal *admit.Refusal
	if errors.As(err, &refusal) {
		return refuse(fasthttp.StatusTooManyRequests, code, refusal.Error()).after(refusal.RetryAfter())
	}
	return refuse(fasthttp.StatusServiceUnavailable, code, err.Error()).after(time.Second)
}

// failureBody is the JSON form of a failure.
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
