package command

import (
	"fmt"
	"slices"
	"strings"
)

// isAboutBlock reports whether the line is about the quarantined block for which the request of the
// refusal was refused: a decision on the block, or a crash of a target under it before the refusal.
func (l logLine) isAboutBlock(refusal logLine) bool {
	if refusal.Block == "" || l.Time > refusal.Time {
		return false
	}
	return l.Block == refusal.Block && strings.HasPrefix(l.Message, "block_") || l.isCrashUnder(refusal.Block)
}

// isCrashUnder reports whether the line says that a target failed while it ran a request whose
// prompt has the block.
func (l logLine) isCrashUnder(block string) bool {
	return l.Message == "target_broke" && !l.NotSent && slices.Contains(l.Blocks, block)
}

// summarizeBlock states why the request was refused for a quarantined block.
func summarizeBlock(refusal logLine, all []logLine) string {
	targets := map[string]bool{}
	requests := map[string]bool{}
	served := 0
	for _, l := range all {
		switch {
		case l.Time > refusal.Time:
		case l.isCrashUnder(refusal.Block):
			targets[l.Target], requests[l.Request] = true, true
		case l.Message == "request_served" && slices.Contains(l.Blocks, refusal.Block):
			served++
		}
	}
	outcome := "Failed"
	if refusal.NotExecuted {
		outcome = "Refused without execution"
	}
	return fmt.Sprintf("%s: %d targets failed during %d earlier requests with the prompt block %s, and %d such requests were served; the caller was told to retry after %d ms.",
		outcome, len(targets), len(requests), refusal.Block, served, refusal.RetryAfterMs)
}
