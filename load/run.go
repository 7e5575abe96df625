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

// An outcome is what one request came to.
type outcome struct {
	arrival *arrival
	code    string
	notRun  bool
	wrong   string
	first   time.Duration
	gaps    []time.Duration
	total   time.Duration
	tokens  int
	prompt  int64
}

// Progress is told how the run goes, once a second.
type Progress interface {
	Tell(at time.Duration, sent, done, failed int64)
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

// Run sends the plan and returns its result after the last answer.
func Run(ctx context.Context, plan Plan, progress Progress) (*Result, error) {
	r := &runner{plan: plan, progress: progress, client: &http.Client{
		Timeout: plan.Timeout.AsDuration(), Transport: &http.Transport{MaxIdleConnsPerHost: maxConnections},
	}}
	defer r.client.CloseIdleConnections()
	arrivals := plan.schedule()
	started := time.Now()
	stop := make(chan struct{})
	go r.loop(started, stop)
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

func (r *runner) loop(started time.Time, stop chan struct{}) {
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
			r.progress.Tell(time.Since(started), r.sent.Load(), r.done.Load(), r.failed.Load())
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
		o.readCall(response.Body)
	case a.phase.Whole:
		o.readWhole(response.Body)
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
			Model: a.phase.Model, Messages: []chatMessage{{Role: "user", Content: a.prompt}}, MaxTokens: a.output, Stream: !a.phase.Whole,
		})
	}
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the client cannot send the request a second time.
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
	o.notRun = body.Error.NotRun
}

func (o *outcome) readCall(body io.Reader) {
	var answer struct {
		Confirmation string `json:"confirmation"`
		Runs         int    `json:"runs"`
	}
	if err := json.NewDecoder(body).Decode(&answer); err != nil || answer.Confirmation == "" {
		o.wrong = "the confirmation is not whole"
		return
	}
	if answer.Runs != 1 {
		o.wrong = fmt.Sprintf("the order ran %d times", answer.Runs)
	}
}

func (o *outcome) readWhole(body io.Reader) {
	var answer struct {
		Choices []struct {
			Message chatMessage `json:"message"`
		} `json:"choices"`
		Usage *engine.Usage `json:"usage"`
	}
	if err := json.NewDecoder(body).Decode(&answer); err != nil || len(answer.Choices) == 0 || answer.Usage == nil {
		o.wrong = "the answer is not whole"
		return
	}
	o.takeUsage(answer.Usage)
	o.compare(answer.Choices[0].Message.Content)
}

// readStream reads events up to the end marker.
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
		o.wrong = "a chunk cannot be read"
		return false
	}
	if chunk.Usage != nil {
		o.takeUsage(chunk.Usage)
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

func (o *outcome) takeUsage(u *engine.Usage) {
	o.tokens = int(u.CompletionTokens)
	o.prompt = u.PromptTokens
}

// compare checks that the answer is whole and belongs to the request.
func (o *outcome) compare(text string) {
	if want := o.arrival.expected(); text != want {
		o.wrong = fmt.Sprintf("the answer has %d bytes where %d belong, or is another request's", len(text), len(want))
	}
}
