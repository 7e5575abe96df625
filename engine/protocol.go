// Package engine is the client of model engines: streamed completions, load
// reports, cache events and orders.
//
// It owns the messages of the engine protocol (docs/TARGETS.md) and the parsing of
// its streams. It must not choose targets or decide on retries.
//
// # Usage
//
//	client := engine.New(dialer)
//	stream, err := client.Complete(ctx, address, request)
//	for {
//		chunk, err := stream.Next()
//		...
//	}
//	stream.Close()
package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Header names of the engine protocol.
const (
	PriorityHeader = "X-Priority"
	FencingHeader  = "X-Fencing-Number"
	// RateLimitHeader names, in responses of engines and plain services, the number of
	// requests a second that the target takes from all instances together.
	RateLimitHeader = "X-Rate-Limit"
	// VersionHeader names, in responses with a completion, the version of the software that
	// generates it.
	VersionHeader = "X-Software-Version"
)

// BytesPerToken is the protocol's estimate for prompts that are not tokenized.
const BytesPerToken = 4

// A Request represents one completion to run on an engine.
type Request struct {
	// ID is echoed by the engine.
	ID string
	// Path is the API path, such as /v1/chat/completions.
	Path string
	// Body is the caller's JSON body, with stream set to true.
	Body []byte
	// Priority orders the engine's queue; lower values run first.
	Priority int
	// ResumePosition is the number of output tokens that the caller already has.
	ResumePosition int
}

// A Chunk represents one event of a completion stream.
type Chunk struct {
	ID       string   `json:"id"`
	Object   string   `json:"object"`
	Created  int64    `json:"created"`
	Model    string   `json:"model"`
	Choices  []Choice `json:"choices"`
	Usage    *Usage   `json:"usage,omitempty"`
	Position int      `json:"position,omitempty"`
}

// A Choice represents the part of a chunk that carries text.
type Choice struct {
	Index        int     `json:"index"`
	Delta        *Delta  `json:"delta,omitempty"`
	Text         string  `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

// A Delta represents the new text of a chat chunk.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Usage holds the token counts of a completion.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
	CachedTokens     int64 `json:"cached_tokens,omitempty"`
}

// A Load represents an engine's report of its load. It lags behind the engine's
// state.
type Load struct {
	Name          string `json:"name"`
	Incarnation   string `json:"incarnation"`
	Role          string `json:"role"`
	Running       int    `json:"running"`
	Waiting       int    `json:"waiting"`
	WaitingTokens int64  `json:"waiting_tokens"`
	Slots         int    `json:"slots"`
	// PrefillRate and DecodeRate are in tokens per second: the first for one
	// prompt, the second for one stream in a full batch.
	PrefillRate float64 `json:"prefill_rate"`
	DecodeRate  float64 `json:"decode_rate"`
	// PrefillShare is the share of the last steps' time that was spent on prefill.
	PrefillShare float64 `json:"prefill_share"`
	AwayMs       int64   `json:"away_ms"`
	LastOrder    string  `json:"last_order"`
	Epoch        uint64  `json:"epoch"`
	// SoftwareVersion is the version of the engine's software; empty if it names none.
	SoftwareVersion string `json:"software_version,omitempty"`
}

// An Order represents a change of an engine's role or model.
type Order struct {
	ID string `json:"id"`
	// Epoch is the issuer's epoch, which is sent as the fencing token.
	Epoch uint64 `json:"epoch"`
	Role  string `json:"role,omitempty"`
	Model string `json:"model,omitempty"`
}

// CacheEvents is a page of an engine's cache events. Next is the sequence number to
// request the next page with. Gap is true if events before the first were lost.
type CacheEvents struct {
	Next   uint64       `json:"next"`
	Gap    bool         `json:"gap"`
	Events []CacheEvent `json:"events"`
}

// A CacheEvent represents prompt blocks that an engine's cache stored or evicted.
type CacheEvent struct {
	Stored bool     `json:"stored"`
	Blocks []uint64 `json:"pieces"`
}

// PrefixBlocks returns the chained hashes of a prompt's full blocks of blockTokens
// tokens. Each hash covers the prompt from its start, so equal hashes mean equal
// prefixes. At most limit hashes are returned.
func PrefixBlocks(prompt string, blockTokens, limit int) []uint64 {
	size := blockTokens * BytesPerToken
	count := min(len(prompt)/size, limit)
	blocks := make([]uint64, 0, count)
	var chain uint64
	var seed [8]byte
	digest := xxhash.New()
	for i := range count {
		digest.Reset()
		binary.LittleEndian.PutUint64(seed[:], chain)
		digest.Write(seed[:])
		digest.WriteString(prompt[i*size : (i+1)*size])
		chain = digest.Sum64()
		blocks = append(blocks, chain)
	}
	return blocks
}

// PromptTokens returns the estimated number of tokens of a prompt, as the protocol
// defines it.
func PromptTokens(prompt string) int64 {
	return int64((len(prompt) + BytesPerToken - 1) / BytesPerToken)
}

// GetIncarnation returns the incarnation, or "" for a nil report.
func (l *Load) GetIncarnation() string {
	if l == nil {
		return ""
	}
	return l.Incarnation
}

// A Resume asks an engine to continue a completion of which the caller has the first
// Position tokens, which make up Text.
type Resume struct {
	Position int    `json:"position"`
	Text     string `json:"text"`
}
