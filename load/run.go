package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"auburnscale/engine"
)

// An outcome is the result of one request. A non-empty code tells why the request
// failed; a non-empty wrong tells why its response is incorrect.
type outcome struct {
	arrival     *arrival
	code        string
	notExecuted bool
	wrong       string
	first       time.Duration
	gaps        []time.Duration
	total       time.Duration
	tokens      int
	prompt      int64
}

// Progress receives the request counts of a run once a second.
type Progress interface {
	Report(at time.Duration, sent, done, failed int64)
}

type runner struct {
	plan     Plan
	client   *http.Client
	progress Progress
	sent     atomic.Int64
	done     atomic.Int64
	failed   atomic.Int64
	group    sync.WaitGroup
	mutex    sync.Mutex
	outcomes []outcome
}

const maxConnections = 4096

// Run sends the requests of the plan and returns the result after the last response.
// If the context ends, it sends no more requests and returns the result so far. The
// progress may be nil.
func Run(ctx context.Context, plan Plan, progress Progress) (*Result, error) {
	r := &runner{plan: plan, progress: progress, client: &http.Client{
		Timeout: plan.Timeout.AsDuration(), Transport: &http.Transport{MaxIdleConnsPerHost: maxConnections},
	}}
	defer r.client.CloseIdleConnections()
	arrivals := plan.schedule()
	started := time.Now()
	stop := make(chan struct{})
	go r.reportProgress(started, stop)
	for i := range arrivals {
		if err := sleepUntil(ctx, started.Add(arrivals[i].at)); err != nil {
			break
		}
		r.sent.Add(1)
		r.group.Add(1)
		go r.run(ctx, &arrivals[i])
	}
	r.group.Wait()
	close(stop)
	return summarize(plan, r.outcomes, time.Since(started)), nil
}

func sleepUntil(ctx context.Context, at time.Time) error {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (r *runner) reportProgress(started time.Time, stop chan struct{}) {
	if r.progress == nil {
		return
	}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			r.progress.Report(time.Since(started), r.sent.Load(), r.done.Load(), r.failed.Load())
		}
	}
}

func (r *runner) run(ctx context.Context, a *arrival) {
	defer r.group.Done()
	o := r.request(ctx, a)
	r.done.Add(1)
	if o.code != "" || o.wrong != "" {
		r.failed.Add(1)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.outcomes = append(r.outcomes, o)
}

func (r *runner) request(ctx context.Context, a *arrival) outcome {
	o := outcome{arrival: a}
	started := time.Now()
	request, err := r.build(ctx, a)
	if err != nil {
		o.code = "not_built"
		return o
	}
	response, err := r.client.Do(request)
	if err != nil {
		o.code = "cut"
		return o
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		o.readFailure(response)
		return o
	}
	switch {
	case a.phase.Service != "":
		o.readConfirmation(response.Body)
	case a.phase.NonStreaming:
		o.readCompletion(response.Body)
	default:
		o.readStream(response.Body, started)
	}
	o.total = time.Since(started)
	return o
}

type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (r *runner) build(ctx context.Context, a *arrival) (*http.Request, error) {
	var body []byte
	var err error
	url := "http://" + a.address + "/v1/chat/completions"
	if a.phase.Service != "" {
		url = "http://" + a.address + "/s/" + a.phase.Service + "/orders"
		body = []byte(fmt.Sprintf(`{"order":%d,"seed":%d}`, a.number, r.plan.Seed))
	} else {
		body, err = json.Marshal(chatBody{
			Model: a.phase.Model, Messages: []chatMessage{{Role: "user", Content: a.prompt}}, MaxTokens: a.output, Stream: !a.phase.NonStreaming,
		})
	}
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the HTTP client cannot retry the request by itself.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+r.plan.Workspaces[a.workspace].Key)
	request.Header.Set("Content-Type", "application/json")
	if a.phase.Service != "" {
		request.Header.Set("Idempotency-Key", fmt.Sprintf("load-%d-%d", r.plan.Seed, a.number))
	}
	return request, nil
}

type failureBody struct {
	Error struct {
		Code   string `json:"code"`
		NotRun bool   `json:"not_run"`
	} `json:"error"`
}

func (o *outcome) readFailure(response *http.Response) {
	var body failureBody
	data, err := io.ReadAll(response.Body)
	if err != nil || json.Unmarshal(data, &body) != nil || body.Error.Code == "" {
		o.code = fmt.Sprintf("status_%d", response.StatusCode)
		return
	}
	o.code = body.Error.Code
	o.notExecuted = body.Error.NotRun
}

func (o *outcome) readConfirmation(body io.Reader) {
	var response struct {
		Confirmation string `json:"confirmation"`
		Runs         int    `json:"runs"`
	}
	if err := json.NewDecoder(body).Decode(&response); err != nil || response.Confirmation == "" {
		o.wrong = "the confirmation is incomplete"
		return
	}
	if response.Runs != 1 {
		o.wrong = fmt.Sprintf("the order was executed %d times, want 1", response.Runs)
	}
}

func (o *outcome) readCompletion(body io.Reader) {
	var response struct {
		Choices []struct {
			Message chatMessage `json:"message"`
		} `json:"choices"`
		Usage *engine.Usage `json:"usage"`
	}
	if err := json.NewDecoder(body).Decode(&response); err != nil || len(response.Choices) == 0 || response.Usage == nil {
		o.wrong = "the response is incomplete"
		return
	}
	o.recordUsage(response.Usage)
	o.compare(response.Choices[0].Message.Content)
}

// readStream reads events up to the [DONE] marker. If the stream ends without the
// marker, the outcome gets the code "cut".
func (o *outcome) readStream(body io.Reader, started time.Time) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), 1<<20)
	last := started
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			o.compare(text.String())
			return
		}
		if !o.readEvent(data, &text, &last, started) {
			return
		}
	}
	o.code = "cut"
}

func (o *outcome) readEvent(data string, text *strings.Builder, last *time.Time, started time.Time) bool {
	var failure failureBody
	var chunk engine.Chunk
	if json.Unmarshal([]byte(data), &failure) == nil && failure.Error.Code != "" {
		o.code = failure.Error.Code
		return false
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		o.wrong = "a chunk of the stream cannot be decoded"
		return false
	}
	if chunk.Usage != nil {
		o.recordUsage(chunk.Usage)
	}
	if chunk.Text() == "" {
		return true
	}
	now := time.Now()
	if o.tokens == 0 {
		o.first = now.Sub(started)
	} else {
		o.gaps = append(o.gaps, now.Sub(*last))
	}
	*last = now
	o.tokens++
	text.WriteString(chunk.Text())
	return true
}

func (o *outcome) recordUsage(u *engine.Usage) {
	o.tokens = int(u.CompletionTokens)
	o.prompt = u.PromptTokens
}

// compare checks that the response is complete and belongs to the request.
func (o *outcome) compare(text string) {
	if want := o.arrival.expected(); text != want {
		o.wrong = fmt.Sprintf("the response has %d bytes, want %d, or belongs to another request", len(text), len(want))
	}
}
