package gateway

import (
	"net/http"
	"time"
)

// A Codec translates the headers of requests and answers. It decides nothing.
type Codec interface {
	// Ask decodes what a caller's headers say.
	DecodeRequest(http.Header) RequestInfo
	// Outgoing returns the header lines for a target.
	TargetHeader(http.Header, Dispatch) http.Header
	// Reply decodes what a target's answer says.
	DecodeResponse(status int, h http.Header) ResponseInfo
	// Returned reports whether a target's header line goes on to the caller.
	ForwardsToCaller(name string) bool
	// DecodeHandle decodes the answer to a request that was only read.
	DecodeHandle(body []byte) (string, error)
	// Source names a handle at the target with the address.
	KVSource(address, handle string) string
	// DropHandle returns the call that frees a handle.
	ReleaseHandle(handle string) (method, path string)
}

// An Ask represents what a caller's headers say.
type RequestInfo struct {
	ID string
	// Wait is how long the caller waits; 0 if it does not say.
	Timeout time.Duration
	APIKey  string
	// Model and the figures are empty for requests without a prompt.
	Model        string
	PromptTokens int64
	OutputTokens int64
	Blocks        []PromptBlock
	// LastEvent is the last event that the caller has of a broken stream.
	LastEventID string
}

// A Part represents a part of a prompt that other requests may share.
type PromptBlock struct {
	ID     uint64
	Tokens int64
}

// A Dispatch represents what the system itself says to a target.
type Dispatch struct {
	// Target is the id of the target that must run the request.
	Target    string
	Workspace string
	// Left is how long the answer is still of use.
	Remaining time.Duration
	// Priority is the rank, 0 the most urgent; negative for none.
	Priority int
	// ReadOnly asks a target to read the prompt and keep its cache.
	PrefillOnly bool
	// Source names the cache of a prompt that was read elsewhere.
	KVSource    string
	LastEventID string
}

// A Reply represents what a target's answer says besides its body.
type ResponseInfo struct {
	ID string
	// Stamped is true if a target made the answer.
	FromTarget bool
	// NotRun is true if the target states that it did not run the request.
	NotRun bool
	// Other is true if another target has the address now.
	WrongTarget   bool
	Load    Load
	HasLoad bool
}

// A Load represents what a target says of its load.
type Load struct {
	Running, Waiting, Slots int
}
