package caller

import (
	"bufio"
	"encoding/json"
	"fmt"

	"github.com/valyala/fasthttp"

	"auburnscale/engine"
)

const (
	eventStreamType = "text/event-stream"
	chatChunk       = "chat.completion.chunk"
	chatWhole       = "chat.completion"
	textWhole       = "text_completion"
)

// streamTo relays the completion to the caller after the handler has returned.
// Nothing in it may touch the request context.
func (r *run) streamTo(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType(eventStreamType)
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	ctx.SetBodyStreamWriter(r.relay)
}

// relay writes chunk by chunk. A caller that has gone shows as a failed flush;
// then the engine's stream is closed, which cancels it, and what was sent is
// billed.
func (r *run) relay(w *bufio.Writer) {
	defer r.server.openRequests.Add(-1)
	defer r.finish()
	defer r.record()
	for {
		chunk, failure, err := r.next()
		if failure != nil {
			writeEvent(w, failureBody{Error: failureDetail{Code: failure.code, Message: failure.message, NotRun: failure.notRun, RequestID: r.c.id}})
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
		r.take(chunk)
	}
}

// writeEnd sends the finish reason, the usage figures and the end marker. The
// usage is on a second instance before.
func (r *run) writeEnd(w *bufio.Writer) {
	finish := r.reason
	if writeEvent(w, r.chunk("", &finish)) != nil {
		return
	}
	r.record()
	last := r.chunk("", nil)
	last.Choices = []engine.Choice{}
	last.Usage = r.usageFigures()
	if writeEvent(w, last) != nil {
		return
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
	_ = w.Flush()
}

func writeEvent(w *bufio.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "data: %s\n\n", data)
	return w.Flush()
}

// chunk builds a chunk under the request's own id, the same over all targets
// that took part.
func (r *run) chunk(text string, finish *string) *engine.Chunk {
	c := &engine.Chunk{ID: r.c.id, Created: r.created, Model: r.c.model, Object: textWhole}
	choice := engine.Choice{FinishReason: finish}
	if r.c.path == chatPath {
		c.Object = chatChunk
		choice.Delta = &engine.Delta{Content: text}
	} else {
		choice.Text = text
	}
	c.Choices = []engine.Choice{choice}
	return c
}

// wholeAnswer is the JSON form of a completion that is not streamed.
type wholeAnswer struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []wholeChoice `json:"choices"`
	Usage   *engine.Usage `json:"usage"`
}

type wholeChoice struct {
	Index        int           `json:"index"`
	Message      *wholeMessage `json:"message,omitempty"`
	Text         *string       `json:"text,omitempty"`
	FinishReason string        `json:"finish_reason"`
}

type wholeMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// answerWhole gathers the completion and answers it in one piece, or not at all.
func (r *run) answerWhole(ctx *fasthttp.RequestCtx) *Failure {
	for {
		chunk, failure, err := r.next()
		if failure != nil {
			return failure
		}
		if err != nil {
			break
		}
		r.take(chunk)
	}
	data, err := json.Marshal(r.whole())
	if err != nil {
		return failed(fasthttp.StatusInternalServerError, CodeTargetFailed, "the answer could not be encoded: "+err.Error())
	}
	r.record()
	ctx.SetContentType(jsonType)
	ctx.SetBody(data)
	return nil
}

func (r *run) whole() wholeAnswer {
	text := r.text.String()
	choice := wholeChoice{FinishReason: r.reason}
	object := textWhole
	if r.c.path == chatPath {
		object = chatWhole
		choice.Message = &wholeMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	return wholeAnswer{ID: r.c.id, Object: object, Created: r.created, Model: r.c.model, Choices: []wholeChoice{choice}, Usage: r.usageFigures()}
}
