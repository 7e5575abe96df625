package gateway

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"auburnscale/exchange"
)

// A failure is an error response that the gateway makes itself.
type failure struct {
	status     int
	code       string
	message    string
	notRun     bool
	retryAfter time.Duration
}

// refuse returns the failure of a request that has not run and will not run.
func refuse(status int, code, message string) *failure {
	return &failure{status: status, code: code, message: message, notRun: true}
}

// fail returns the failure of a request that may have run.
func fail(status int, code, message string) *failure {
	return &failure{status: status, code: code, message: message}
}

// retryAfterJitter is the fraction by which Retry-After is randomly extended, so
// that callers refused together do not retry together.
const retryAfterJitter = 0.3

// withRetryAfter sets the Retry-After time to wait plus jitter and returns f.
func (f *failure) withRetryAfter(wait time.Duration) *failure {
	f.retryAfter = time.Duration(float64(wait) * (1 + retryAfterJitter*rand.Float64()))
	return f
}

type failureBody struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Code      string `json:"code"`
	Message   string `json:"message"`
	NotRun    bool   `json:"not_run"`
	RequestID string `json:"request_id,omitempty"`
}

// write sends the failure as a JSON response with the request id, if not empty.
func (f *failure) write(w http.ResponseWriter, id string) {
	// Encoding cannot fail: the fields are strings and a bool.
	body, _ := json.Marshal(failureBody{failureDetail{Code: f.code, Message: f.message, NotRun: f.notRun, RequestID: id}})
	h := w.Header()
	if id != "" {
		h.Set(exchange.RequestIDHeader, id)
	}
	if f.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 2, 64))
	}
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(f.status)
	// The error is ignored: a disconnected caller cancels the request's context.
	_, _ = w.Write(body)
}
