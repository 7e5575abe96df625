package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"auburnscale/engine"
)

const defaultMaxTokens = 16

// completionRequest holds the fields of a completion request that the engine uses.
type completionRequest struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Resume    *struct {
		Position int    `json:"position"`
		Text     string `json:"text"`
	} `json:"resume"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Token returns the text of the output token at the position, which starts at 1.
// It depends only on the prompt and the position, so a caller can check that a
// response is complete and belongs to its request.
func Token(prompt string, position int) string {
	h := xxhash.Sum64String(prompt) + uint64(position)*0x9e3779b97f4a7c15
	return fmt.Sprintf("w%04x ", (h>>20)&0xffff)
}

// VersionedToken returns the text of the output token of an engine of the software version.
func VersionedToken(version, prompt string, position int) string {
	token := Token(prompt, position)
	if version == "" {
		return token
	}
	return strings.TrimSuffix(token, " ") + versionMark + version + " "
}

// versionMark precedes the software version in a token.
const versionMark = "@"

// OutputVersions returns the software versions that the tokens of a text name, each once.
func OutputVersions(text string) (versions []string) {
	for token := range strings.FieldsSeq(text) {
		if _, version, named := strings.Cut(token, versionMark); named && !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	return versions
}

// Output returns the first n tokens of the completion of the prompt.
func Output(prompt string, n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

// ChatPrompt returns the prompt of a chat that consists of one user message.
func ChatPrompt(content string) string { return "user: " + content + "\n" }

func (b *completionRequest) prompt() string {
	if len(b.Messages) == 0 {
		return b.Prompt
	}
	var text strings.Builder
	for _, m := range b.Messages {
		text.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return text.String()
}

func (e *Engine) complete(ctx *fasthttp.RequestCtx) {
	var body completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		respondJSON(ctx, fasthttp.StatusBadRequest, messageBody{err.Error()})
		return
	}
	if len(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)) > 0 {
		respondJSON(ctx, fasthttp.StatusBadRequest, messageBody{"a caller's key reached the target"})
		return
	}
	if body.Resume != nil {
		if response, ok := e.nextResumeResponse(); ok {
			respondRaw(ctx, response)
			return
		}
	}
	prompt := body.prompt()
	q, arrival := e.enqueue(ctx, &body, prompt)
	if e.crashes(arrival, prompt) {
		e.crash()
		return
	}
	if due(e.config.Faults.MismatchIDEvery, arrival) {
		ctx.Response.Header.Set(requestIDHeader, "another-request")
	}
	if e.config.Version != "" {
		ctx.Response.Header.Set(engine.VersionHeader, e.config.Version)
	}
	w := &chunkWriter{engine: e, q: q, prompt: prompt, model: body.Model, chat: len(body.Messages) > 0, arrival: arrival}
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(w.write)
}

func (e *Engine) enqueue(ctx *fasthttp.RequestCtx, body *completionRequest, prompt string) (*sequence, uint64) {
	limit := body.MaxTokens
	if limit == 0 {
		limit = defaultMaxTokens
	}
	priority, _ := strconv.Atoi(string(ctx.Request.Header.Peek("X-Priority")))
	q := &sequence{
		priority: priority, prompt: max(1, int(engine.PromptTokens(prompt))), blocks: engine.PrefixBlocks(prompt, blockTokens, 256),
		limit: limit, tokens: make(chan int, limit+1), canceled: make(chan struct{}),
	}
	if body.Resume != nil {
		q.position = body.Resume.Position
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.arrivals++
	q.arrival = e.arrivals
	e.batch.add(q)
	return q, e.arrivals
}

// chunkWriter streams a sequence's tokens to the client as they are decoded.
type chunkWriter struct {
	engine  *Engine
	q       *sequence
	prompt  string
	model   string
	chat    bool
	arrival uint64
}

func (w *chunkWriter) write(out *bufio.Writer) {
	defer close(w.q.canceled)
	cut := w.truncatePosition()
	for {
		select {
		case position, open := <-w.q.tokens:
			if !open {
				w.end(out)
				return
			}
			if position == cut {
				w.engine.endTruncated(out)
				return
			}
			if w.send(out, w.chunk(VersionedToken(w.engine.config.Version, w.prompt, position), position, nil)) != nil {
				return
			}
		case <-w.engine.stop:
			return
		}
	}
}

func (w *chunkWriter) truncatePosition() int {
	if !due(w.engine.config.Faults.TruncateEvery, w.arrival) {
		return -1
	}
	return w.q.limit/2 + 1
}

// due reports whether a fault configured for every n-th request applies to the
// request with this arrival number.
func due(every int, arrival uint64) bool { return every > 0 && arrival%uint64(every) == 0 }

// endTruncated ends the stream so that the client sees it as truncated: the body
// ends without the [DONE] marker. The HTTP body itself is chunked and still ends
// properly, because leaving out its last chunk would require a panic.
func (e *Engine) endTruncated(out *bufio.Writer) { _ = out.Flush() }

func (w *chunkWriter) end(out *bufio.Writer) {
	f := w.engine.config.Faults
	if due(f.TruncateBeforeFinishEvery, w.arrival) {
		w.engine.endTruncated(out)
		return
	}
	reason := "length"
	if w.send(out, w.chunk("", 0, &reason)) != nil || due(f.TruncateBeforeDoneEvery, w.arrival) {
		return
	}
	last := w.chunk("", 0, nil)
	last.Choices = []engine.Choice{}
	last.Usage = &engine.Usage{
		PromptTokens: int64(w.q.prompt), CompletionTokens: int64(w.q.limit),
		TotalTokens: int64(w.q.prompt + w.q.limit), CachedTokens: int64(w.q.cached),
	}
	if w.send(out, last) != nil {
		return
	}
	fmt.Fprint(out, "data: [DONE]\n\n")
	_ = out.Flush()
}

func (w *chunkWriter) chunk(text string, position int, reason *string) *engine.Chunk {
	choice := engine.Choice{FinishReason: reason}
	object := "text_completion"
	if w.chat {
		object = "chat.completion.chunk"
		choice.Delta = &engine.Delta{Content: text}
	} else {
		choice.Text = text
	}
	return &engine.Chunk{ID: "engine", Object: object, Created: time.Now().Unix(), Model: w.model, Choices: []engine.Choice{choice}, Position: position}
}

func (w *chunkWriter) send(out *bufio.Writer, chunk *engine.Chunk) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "data: %s\n\n", data)
	return out.Flush()
}
