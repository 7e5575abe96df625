package gateway

import (
	"net/http"
	"time"
)

// A Codec translates between the gateway's types and the HTTP headers and paths of
// callers and targets. It makes no decisions.
type Codec interface {
	// DecodeRequest decodes the headers of a caller's request.
	DecodeRequest(http.Header) RequestInfo
	// TargetHeader returns the header of the request to a target: the caller's,
	// with what the gateway adds and removes.
	TargetHeader(http.Header, Dispatch) http.Header
	// DecodeResponse decodes the status and header of a target's response.
	DecodeResponse(status int, h http.Header) ResponseInfo
	// ForwardsToCaller reports whether the named header of a target's response is
	// forwarded to the caller.
	ForwardsToCaller(name string) bool
	// DecodeHandle returns the KV cache handle in the body of the response to a
	// prefill-only request.
	DecodeHandle(body []byte) (string, error)
	// KVSource returns the KV source for a handle on the target with the address.
	KVSource(address, handle string) string
	// ReleaseHandle returns the method and path of the request that releases a
	// handle.
	ReleaseHandle(handle string) (method, path string)
}

// RequestInfo is what the headers of a caller's request say.
type RequestInfo struct {
	ID string
	// Timeout is how long the caller waits for the response; 0 if not given.
	Timeout time.Duration
	APIKey  string
	// Model, the token counts and Blocks are empty for requests without a prompt.
	Model        string
	PromptTokens int64
	OutputTokens int64
	Blocks       []PromptBlock
	// LastEventID is the id of the last event that the caller received of an
	// interrupted stream.
	LastEventID string
	// Resumes is the id of the request that brought the first event of that stream.
	Resumes string
}

// A PromptBlock is a block of a prompt that other requests may share.
type PromptBlock struct {
	ID     uint64
	Tokens int64
}

// A Dispatch is what the gateway adds to a request for one target.
type Dispatch struct {
	// Target is the id of the only target that may run the request.
	Target    string
	Workspace string
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration
	// Priority is 0 for the most urgent requests; negative for none.
	Priority int
	// PrefillOnly asks the target to prefill the prompt and keep its KV cache.
	PrefillOnly bool
	// KVSource names the KV cache of a prompt that another target prefilled; empty
	// for none.
	KVSource    string
	LastEventID string
}

// ResponseInfo is what the status and header of a target's response say.
type ResponseInfo struct {
	ID string
	// FromTarget is true if the response bears a target's stamp, so that it does not
	// come from anything else at the address.
	FromTarget bool
	// NotRun is true if the target states that it did not run the request.
	NotRun bool
	// WrongTarget is true if another target than the expected one has the address.
	WrongTarget bool
	Load        Load
	HasLoad     bool
	// Leaving is true if the target states that it is about to end.
	Leaving bool
	// RetryAfter is for how long the target asks for no requests; 0 if it does not ask,
	// negative if what it asks cannot be understood.
	RetryAfter time.Duration
	// Limit is the rate of requests that the target takes.
	Limit RateLimit
}

// A RateLimit is the rate of requests from all instances together that a target states in a
// response.
type RateLimit struct {
	// Named is true if the response names a limit.
	Named bool
	// Invalid is true if what it names cannot be understood; PerSecond is then 0.
	Invalid bool
	// PerSecond is the number of requests a second. It may be 0.
	PerSecond float64
}

// A Load is the load that a target reports: the numbers of running and waiting
// requests, and of slots.
type Load struct {
	Running, Waiting, Slots int
	// Speed is how long work takes on the target now, in percent of the usual time; 0 if not
	// stated.
	Speed int
}
