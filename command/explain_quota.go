package command

import "fmt"

// summarizeQuota states why the request of the log lines was beyond the quota of its workspace.
func summarizeQuota(own []logLine) string {
	end := own[len(own)-1]
	text := fmt.Sprintf("Refused without execution: the quota of workspace %s over all instances is used up; the caller was told to retry after %d ms", end.Workspace, end.RetryAfterMs)
	for _, l := range own {
		if l.Message != "quota_refused" {
			continue
		}
		text += fmt.Sprintf("; the request costs %.0f, the limit is %.0f/s with a burst of %.0f", l.Cost, l.PerSecond, l.Burst)
		switch l.Reason {
		case "own_part":
			text += fmt.Sprintf("; no control leader answered, and this instance's share of %.0f/s was used up", l.Share)
		case "no_leader":
			text += "; no control leader had answered this instance since its start"
		case "held_off":
			text += "; the control leader had just refused another request of the workspace"
		}
	}
	return text + "."
}
