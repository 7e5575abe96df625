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
		Use: "explain REQUEST FILE...", Short: "say from the logs of all instances what became of a request",
		Long: `Explain joins the log lines of all instances that name the request, and the lines that name the
targets it was sent to within ten seconds of it, in the order of their times. It prints them and
says the cause in a sentence. A file holds JSON lines; what stands before the brace is ignored.`,
		Args: cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error { return explain(out, args[0], args[1:]) },
	}
}

// A logLine is what explain needs of a log line.
type logLine struct {
	Time     float64  `json:"ts"`
	Message  string   `json:"msg"`
	Instance string   `json:"instance"`
	Request  string   `json:"request"`
	Target   string   `json:"target"`
	Reader   string   `json:"reader"`
	Code     string   `json:"code"`
	NotRun   bool     `json:"not_run"`
	Error    string   `json:"error"`
	State    string   `json:"state"`
	Stage    string   `json:"stage"`
	Version  uint64   `json:"version"`
	Ms       int64    `json:"ms"`
	Estimate int64    `json:"estimate_ms"`
	ReadMs   int64    `json:"read_ms"`
	First    int64    `json:"first_ms"`
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
	Other    bool     `json:"other_target"`
	Tried    []string `json:"tried"`
	RetryMs  int64    `json:"retry_after_ms"`
}

var errNoSuchRequest = errors.New("no line names the request")

// nearby is the time in seconds around a request within which lines about its
// targets matter.
const nearby = 10

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
	for _, l := range lines {
		if l.Request == request || l.Request == "" && concerns(l, own) && l.Time > end.Time-nearby && l.Time < end.Time+nearby {
			fmt.Fprintf(out, "%+8.3f s  %-18s %s\n", l.Time-end.Time, l.Instance, l.describe())
		}
	}
	fmt.Fprintf(out, "\n%s\n", cause(own))
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
	const maxLine = 1 << 20
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 0, 4096), maxLine)
	for scanner.Scan() {
		_, text, found := strings.Cut(scanner.Text(), "{")
		var l logLine
		// Lines of other programs may stand between ours.
		if found && json.Unmarshal([]byte("{"+text), &l) == nil && l.Message != "" {
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

// concerns reports whether the line is about a target of the request.
func concerns(l logLine, own []logLine) bool {
	if l.Target == "" {
		return false
	}
	return slices.ContainsFunc(own, func(o logLine) bool {
		return o.Target == l.Target || o.Reader == l.Target || slices.Contains(o.Tried, l.Target)
	})
}

func (l logLine) describe() string {
	text := l.Message
	add := func(format string, args ...any) { text += "  " + fmt.Sprintf(format, args...) }
	if l.Target != "" {
		add("target=%s", l.Target)
	}
	if l.Reader != "" {
		add("reader=%s read=%d ms", l.Reader, l.ReadMs)
	}
	if l.Code != "" {
		add("code=%s not_run=%t", l.Code, l.NotRun)
	}
	if l.State != "" {
		add("state=%s stage=%s", l.State, l.Stage)
	}
	if l.Estimate > 0 {
		add("estimate=%d ms", l.Estimate)
	}
	if l.Message == "target_declined" {
		add("running=%d waiting=%d other_target=%t", l.Running, l.Waiting, l.Other)
	}
	if l.Error != "" {
		add("error=%q", l.Error)
	}
	return text
}

// cause says in a sentence what the lines of a request come to.
func cause(own []logLine) string {
	end := own[len(own)-1]
	declined, broke := 0, 0
	for _, l := range own {
		switch l.Message {
		case "target_declined":
			declined++
		case "target_broke":
			broke++
		}
	}
	before := fmt.Sprintf("%d targets declined it and %d broke off before that", declined, broke)
	switch {
	case end.Message == "request_served":
		return fmt.Sprintf("Served by %s after %d ms, the first part after %d ms (estimated %d ms); %s.", end.Target, end.Ms, end.First, end.Estimate, before)
	case end.Message == "request_cancelled":
		return fmt.Sprintf("The caller left after %d ms; the answer was estimated to begin after %d ms, and its prompt was read in %d ms; %s.", end.Ms, end.Estimate, end.ReadMs, before)
	case end.Message == "stream_cut":
		return fmt.Sprintf("Target %s broke off in the middle of the answer (%s), and the route does not allow another run; the caller's connection was closed.", end.Target, end.Error)
	case end.Code == "overloaded":
		return fmt.Sprintf("Refused as not run: the answer was estimated to begin after %d ms, later than the caller waits; it was told to come back after %d ms; %s.", end.Estimate, end.RetryMs, before)
	case end.Code == "no_configuration":
		return "Refused as not run: the instance had started and no control leader had given it the configuration yet."
	case end.Code == "no_route" || end.Code == "unknown_key":
		return fmt.Sprintf("Denied by configuration %d, which was in force on the instance: %s.", end.Version, end.Code)
	case end.NotRun:
		return fmt.Sprintf("Refused as not run (%s); %s.", end.Code, before)
	}
	return fmt.Sprintf("Failed (%s): the request may have run on target %s; %s.", end.Code, lastTarget(own), before)
}

func lastTarget(own []logLine) string {
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
