package command

import (
	"fmt"

	"auburnscale/origin"
)

// resumedRequest returns the request that began the stream which the request of the lines takes up, or
// an empty string.
func resumedRequest(own []logLine) string {
	for _, l := range own {
		if l.Message == "stream_taken_up" {
			return l.Resumes
		}
	}
	return ""
}

// originReasons says how the origin of a stream was decided.
var originReasons = map[origin.Reason]string{
	origin.Recorded:   "it is on record that %s began it",
	origin.Single:     "it is on no record, and only %s can have begun it",
	origin.Several:    "it is on no record, and several versions served shortly before",
	origin.Disputed:   "the records of what began it differ, or its target started again with another version",
	origin.NotCovered: "it is on no record, and the control instances do not know for long enough which versions served",
}

// summarizeTakeUp states which stream the request of the lines takes up and what is known of its origin,
// or returns an empty string.
func summarizeTakeUp(own []logLine) string {
	for _, l := range own {
		if l.Message != "stream_taken_up" {
			continue
		}
		reason := originReasons[origin.Reason(l.Reason)]
		if l.Origin != "" {
			reason = fmt.Sprintf(reason, l.Origin)
		}
		return fmt.Sprintf("; it takes up the stream of request %s: %s", l.Resumes, reason)
	}
	return ""
}
