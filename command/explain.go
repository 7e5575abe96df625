package command

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"
)

func explainCommand(out io.Writer) *cobra.Command {
	return &cobra.Command{
		Use: "explain REQUEST FILE...", Short: "explain the outcome of a request from the logs of all instances",
		Long: `Explain prints, in the order of their time stamps, the log lines of all instances that name the
request, the lines within ten seconds of its end that name a target it was sent to, and what led to
the quarantine of the prompt block for which it was refused. It then states the cause in one sentence. A file contains JSON lines; text before the first brace is ignored.`,
		Args: cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error { return explain(out, args[0], args[1:]) },
	}
}

// A logLine holds the fields of a log line that explain uses.
type logLine struct {
	Time          float64  `json:"ts"`
	Message       string   `json:"msg"`
	Instance      string   `json:"instance"`
	Request       string   `json:"request"`
	Target        string   `json:"target"`
	PrefillTarget string   `json:"reader"`
	Code          string   `json:"code"`
	NotExecuted   bool     `json:"not_run"`
	Error         string   `json:"error"`
	State         string   `json:"state"`
	Stage         string   `json:"stage"`
	Version       uint64   `json:"version"`
	Ms            int64    `json:"ms"`
	EstimateMs    int64    `json:"estimate_ms"`
	PrefillMs     int64    `json:"read_ms"`
	FirstMs       int64    `json:"first_ms"`
	Running       int      `json:"running"`
	Waiting       int      `json:"waiting"`
	OtherTarget   bool     `json:"other_target"`
	Tried         []string `json:"tried"`
	RetryAfterMs  int64    `json:"retry_after_ms"`
	Block         string   `json:"block"`
	Blocks        []string `json:"blocks"`
	NotSent       bool     `json:"not_sent"`
	Crashes       int      `json:"crashes"`
	TargetVersion string   `json:"target_version"`
	// Resumes is the request that began the stream, Origin what is known to have begun it.
	Resumes string `json:"resumes"`
	Origin  string `json:"origin"`
	Reason  string `json:"reason"`
	// The following are set if costs were weighed.
	PredictedMs     int64   `json:"predicted_ms"`
	PredictedRunMs  float64 `json:"predicted_run_ms"`
	PredictedTokens int64   `json:"predicted_tokens"`
	Tokens          int64   `json:"tokens"`
	WorkFactor      float64 `json:"work_factor"`
	// PerSecond, Burst, Cost, Used and Share describe the quota for which the request was refused.
	Workspace string  `json:"workspace"`
	PerSecond float64 `json:"per_second"`
	Burst     float64 `json:"burst"`
	Cost      float64 `json:"cost"`
	Used      float64 `json:"used"`
	Share     float64 `json:"share"`
}

var errNoSuchRequest = errors.New("no log line names the request")

// contextSeconds is the time before and after a request's last log line within
// which lines about its targets are printed, in seconds.
const contextSeconds = 10

func explain(out io.Writer, request string, files []string) error {
	lines, err := readLog(files)
	if err != nil {
		return err
	}
	own := slices.DeleteFunc(slices.Clone(lines), func(l logLine) bool { return l.Request != request })
	if len(own) == 0 {
		return fmt.Errorf("%w %s", errNoSuchRequest, request)
	}
	end := own[len(own)-1]
	resumed := resumedRequest(own)
	for _, l := range lines {
		near := l.Time > end.Time-contextSeconds && l.Time < end.Time+contextSeconds
		if l.Request == request || l.Request != "" && l.Request == resumed || l.Request == "" && near && namesTargetOf(l, own) || l.isAboutBlock(end) {
			fmt.Fprintf(out, "%+8.3f s  %-18s %s\n", l.Time-end.Time, l.Instance, l.describe())
		}
	}
	fmt.Fprintf(out, "\n%s\n", summarize(own, lines))
	return nil
}

func readLog(files []string) ([]logLine, error) {
	var lines []logLine
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("open log: %w", err)
		}
		lines, err = appendLines(lines, file)
		file.Close()
		if err != nil {
			return nil, fmt.Errorf("read %s: %w", name, err)
		}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int {
		switch {
		case a.Time < b.Time:
			return -1
		case a.Time > b.Time:
			return 1
		}
		return 0
	})
	return lines, nil
}

func appendLines(lines []logLine, from io.Reader) ([]logLine, error) {
	const maxLineBytes = 1 << 20
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for scanner.Scan() {
		_, text, found := strings.Cut(scanner.Text(), "{")
		var l logLine
		// The file may contain lines of other programs.
		if found && json.Unmarshal([]byte("{"+text), &l) == nil && l.Message != "" {
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

// namesTargetOf reports whether the line is about a target of the request whose
// lines are own.
func namesTargetOf(l logLine, own []logLine) bool {
	if l.Target == "" {
		return false
	}
	return slices.ContainsFunc(own, func(o logLine) bool {
		return o.Target == l.Target || o.PrefillTarget == l.Target || slices.Contains(o.Tried, l.Target)
	})
}

func (l logLine) describe() string {
	text := l.Message
	add := func(format string, args ...any) { text += "  " + fmt.Sprintf(format, args...) }
	if l.Target != "" {
		add("target=%s", l.Target)
	}
	if l.TargetVersion != "" {
		add("version=%s", l.TargetVersion)
	}
	if l.Message == "stream_taken_up" {
		add("resumes=%s origin=%q reason=%s", l.Resumes, l.Origin, l.Reason)
	}
	if l.Message == "quota_refused" {
		add("workspace=%s reason=%s limit=%.0f/s burst=%.0f cost=%.0f used=%.0f share=%.0f/s", l.Workspace, l.Reason, l.PerSecond, l.Burst, l.Cost, l.Used, l.Share)
	}
	if l.PrefillTarget != "" {
		add("reader=%s read=%d ms", l.PrefillTarget, l.PrefillMs)
	}
	if l.Block != "" {
		add("block=%s", l.Block)
	}
	if l.Crashes > 0 {
		add("crashes=%d", l.Crashes)
	}
	if l.Code != "" {
		add("code=%s not_run=%t", l.Code, l.NotExecuted)
	}
	if l.State != "" {
		add("state=%s stage=%s", l.State, l.Stage)
	}
	if l.EstimateMs > 0 {
		add("estimate=%d ms", l.EstimateMs)
	}
	if l.WorkFactor > 0 {
		add("predicted=%d ms", l.PredictedMs)
	}
	if l.Message == "target_declined" {
		add("running=%d waiting=%d other_target=%t", l.Running, l.Waiting, l.OtherTarget)
	}
	if l.Error != "" {
		add("error=%q", l.Error)
	}
	return text
}

// summarize states the outcome of a request and its cause in one sentence, given
// the request's log lines and all lines in order.
func summarize(own, all []logLine) string {
	end := own[len(own)-1]
	declined, failed := 0, 0
	for _, l := range own {
		switch l.Message {
		case "target_declined":
			declined++
		case "target_broke":
			failed++
		}
	}
	before := fmt.Sprintf("targets that declined it: %d, targets that failed during it: %d", declined, failed) + summarizeTakeUp(own)
	switch {
	case end.Message == "request_served":
		return fmt.Sprintf("Served by %s after %d ms, with the first response part after %d ms (estimate: %d ms); %s.%s", end.Target, end.Ms, end.FirstMs, end.EstimateMs, before, end.prediction())
	case end.Message == "request_cancelled":
		return fmt.Sprintf("The caller disconnected after %d ms; the response was estimated to start after %d ms, and the prefill took %d ms; %s.", end.Ms, end.EstimateMs, end.PrefillMs, before)
	case end.Message == "stream_cut":
		return fmt.Sprintf("Target %s failed during the response (%s), and the route does not allow another execution; the caller's connection was closed.", end.Target, end.Error)
	case end.Code == "overloaded":
		return fmt.Sprintf("Refused without execution: the response was estimated to start after %d ms, later than the caller waits; the caller was told to retry after %d ms; %s.", end.EstimateMs, end.RetryAfterMs, before)
	case end.Code == "no_configuration":
		return "Refused without execution: the instance had just started and had not yet received the configuration from a control leader."
	case end.Code == "quota_used_up":
		return summarizeQuota(own)
	case end.Code == "no_route" || end.Code == "unknown_key":
		return fmt.Sprintf("Denied by configuration %d, which was in effect on the instance: %s.", end.Version, end.Code)
	case end.Block != "":
		return summarizeBlock(end, all)
	case end.Code == "version_unknown":
		return "Refused without execution: it is not known which software version began the stream" + summarizeTakeUp(own) + "."
	case end.Code == "version_gone":
		return "Refused without execution: no target runs the software version that began the stream" + summarizeTakeUp(own) + "."
	case end.NotExecuted:
		return fmt.Sprintf("Refused without execution (%s); %s.", end.Code, before)
	}
	return fmt.Sprintf("Failed (%s): the request may have been executed on target %s; %s.", end.Code, lastTriedTarget(own), before)
}

// prediction states what was predicted of a served request, if costs were weighed.
func (l logLine) prediction() string {
	if l.WorkFactor <= 0 {
		return ""
	}
	text := fmt.Sprintf(" Costs were weighed: it was predicted to end after %d ms, on a target where work takes %.2f times as long as usual", l.PredictedMs, l.WorkFactor)
	if l.PredictedTokens > 0 {
		return fmt.Sprintf("%s, with %d output tokens (%d came).", text, l.PredictedTokens, l.Tokens)
	}
	return fmt.Sprintf("%s, with a run time of %.0f ms at usual speed.", text, l.PredictedRunMs)
}

func lastTriedTarget(own []logLine) string {
	for _, l := range slices.Backward(own) {
		if l.Target != "" {
			return l.Target
		}
		if n := len(l.Tried); n > 0 {
			return l.Tried[n-1]
		}
	}
	return "none"
}
