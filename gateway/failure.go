package gateway

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"auburnscale/exchange"
)

// A failure represents an answer of the system's own in place of a target's.
type failure struct {
	status     int
	code       string
	message    string
	notRun     bool
	retryAfter time.Duration
}

// refuse returns a failure of a request that has not run and never will.
func refuse(status int, code, message string) *failure {
	return &failure{status: status, code: code, message: message, notRun: true}
}

// fail returns a failure of a request that may have run.
func fail(status int, code, message string) *failure {
	return &failure{status: status, code: code, message: message}
}

// retrySpread is the part by which Retry-After varies, so that those refused
// together do not come back together.
const retrySpread = 0.3

// after says when the caller should come back.
func (f *failure) after(wait time.Duration) *failure {
	f.retryAfter = time.Duration(float64(wait) * (1 + retrySpread*rand.Float64()))
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

func (f *failure) write(w http.ResponseWriter, id string) {
	// The fields are plain, so that encoding cannot fail.
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
	// A caller that has gone shows in the request's context.
	_, _ = w.Write(body)
}
