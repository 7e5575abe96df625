package caller

import (
	"bufio"
	"encoding/json"
	"fmt"

	"github.com/valyala/fasthttp"

	"auburnscale/engine"
)

const (
	eventStreamType      = "text/event-stream"
	chatChunkObject      = "chat.completion.chunk"
	chatCompletionObject = "chat.completion"
	textCompletionObject = "text_completion"
)

// startStream sets up the response so that relayStream runs after the handler has
// returned. relayStream must not use the request context, which is invalid by then.
func (r *run) startStream(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType(eventStreamType)
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	ctx.SetBodyStreamWriter(r.relayStream)
}

// relayStream sends the completion to the caller chunk by chunk. If the caller has
// disconnected, a flush fails; relayStream then closes the engine's stream, which
// cancels the request there, and bills what was sent.
func (r *run) relayStream(w *bufio.Writer) {
	defer r.server.openRequests.Add(-1)
	defer r.finish()
	defer r.record()
	for {
		chunk, failure, err := r.nextChunk()
		if failure != nil {
			writeEvent(w, failureBody{Error: failureDetail{Code: failure.code, Message: failure.message, NotRun: failure.notRun, RequestID: r.request.id}})
			return
		}
		if err != nil {
			r.writeEnd(w)
			return
		}
		if text := chunk.Text(); text != "" {
			if writeEvent(w, r.chunk(text, nil)) != nil {
				return
			}
		}
		r.appendChunk(chunk)
	}
}

// writeEnd sends the finish reason, the usage figures and the end marker. It records
// the usage before it sends the last two.
func (r *run) writeEnd(w *bufio.Writer) {
	finish := r.finishReason
	if writeEvent(w, r.chunk("", &finish)) != nil {
		return
	}
	r.record()
	last := r.chunk("", nil)
	last.Choices = []engine.Choice{}
	last.Usage = r.usageTotals()
	if writeEvent(w, last) != nil {
		return
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
	_ = w.Flush()
}

// writeEvent sends v as the JSON data of a server-sent event and flushes it.
func writeEvent(w *bufio.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "data: %s\n\n", data)
	return w.Flush()
}

// chunk builds a chunk with the ID of the request, which stays the same when the
// stream resumes on another target.
func (r *run) chunk(text string, finish *string) *engine.Chunk {
	c := &engine.Chunk{ID: r.request.id, Created: r.created, Model: r.request.model, Object: textCompletionObject}
	choice := engine.Choice{FinishReason: finish}
	if r.request.path == chatPath {
		c.Object = chatChunkObject
		choice.Delta = &engine.Delta{Content: text}
	} else {
		choice.Text = text
	}
	c.Choices = []engine.Choice{choice}
	return c
}

// fullResponse is the JSON body of a completion that is not streamed.
type fullResponse struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []fullChoice  `json:"choices"`
	Usage   *engine.Usage `json:"usage"`
}

type fullChoice struct {
	Index        int          `json:"index"`
	Message      *fullMessage `json:"message,omitempty"`
	Text         *string      `json:"text,omitempty"`
	FinishReason string       `json:"finish_reason"`
}

type fullMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// writeFullResponse collects the whole completion and sends it as one JSON body. If
// the completion fails, it returns the failure and sends no part of it.
func (r *run) writeFullResponse(ctx *fasthttp.RequestCtx) *Failure {
	for {
		chunk, failure, err := r.nextChunk()
		if failure != nil {
			return failure
		}
		if err != nil {
			break
		}
		r.appendChunk(chunk)
	}
	data, err := json.Marshal(r.buildFullResponse())
	if err != nil {
		return failed(fasthttp.StatusInternalServerError, CodeTargetFailed, "the response could not be encoded: "+err.Error())
	}
	r.record()
	ctx.SetContentType(jsonType)
	ctx.SetBody(data)
	return nil
}

func (r *run) buildFullResponse() fullResponse {
	text := r.text.String()
	choice := fullChoice{FinishReason: r.finishReason}
	object := textCompletionObject
	if r.request.path == chatPath {
		object = chatCompletionObject
		choice.Message = &fullMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	return fullResponse{ID: r.request.id, Object: object, Created: r.created, Model: r.request.model, Choices: []fullChoice{choice}, Usage: r.usageTotals()}
}
