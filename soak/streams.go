package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"auburnscale/platform/standin"
)

const (
	// resumableRoute has streams that may go on at another target.
	resumableRoute = "/tales/"
	// maxTakeUps bounds how often a caller takes one stream up.
	maxTakeUps = 3
	// unnamedInterval is the number of starts of a target of which one announces no version.
	unnamedInterval = 7
	// minJudgedTakeUps is the number of streams that were taken up without a fault from which on
	// the share of those that went on is checked.
	minJudgedTakeUps = 12
	// minWentOnShare is the least share, compared with that of new streams that are served.
	minWentOnShare = 0.5
	// fullRestartTime is how long all entry instances are down.
	fullRestartTime = 500 * time.Millisecond
)

// softwareVersion returns the version that the start of a target announces, and the one that its
// events name. Targets on neighbouring hosts mostly run the same, and the next start another one.
func softwareVersion(host, start int) (announced, written string) {
	if start%unnamedInterval == 0 {
		return "", fmt.Sprintf("start %d on host %d", start, host)
	}
	const versions = 3
	version := fmt.Sprint("v", 1+(host+start)/2%versions)
	return version, version
}

// A TakeUp is a stream that a caller took up after its connection had broken.
type TakeUp struct {
	// Attempt is the last attempt, Version the software version of the first event.
	Attempt Attempt
	Version string
	// Whole is true if the stream went on to its end.
	Whole bool
}

// takeUp lets the caller take up the stream of an attempt that broke off, at other entry instances.
func (c *caller) takeUp(ctx context.Context, broken Attempt) {
	if broken.Route != resumableRoute || broken.Response.Status != http.StatusOK || broken.Response.Complete {
		return
	}
	events, last := standin.WholeEvents(broken.Response.Body)
	if last == "" {
		return
	}
	u := TakeUp{Version: standin.Versions(events)[0]}
	for try := 0; try < maxTakeUps && !u.Whole && ctx.Err() == nil; try++ {
		c.entry = c.env.loadBalancer.pick(c.random)
		a := c.newAttempt()
		a.Route, a.Stream, a.PromptGroup = broken.Route, true, broken.PromptGroup
		a.Response = c.client.Do(ctx, c.env.at(c.entry.host, entryPort).String(), standin.Call{
			ID: a.ID, Host: hostName, Path: a.Route + "x", Key: workspaceKey, Body: "a request", Wait: callerTimeout, PromptGroup: a.PromptGroup, HasPrompt: true, LastEvent: last, Resumes: broken.ID,
		})
		served := a.Response.Status == http.StatusOK
		if served && a.Response.Complete {
			u.Whole = true
			if err := standin.CheckStream(events+a.Response.Body, streamEvents); err != nil {
				a.Defect = fmt.Sprintf("goes on from %s: %v", broken.ID, err)
			}
		} else if more, id := standin.WholeEvents(a.Response.Body); served && id != "" {
			events, last = events+more, id
		}
		if ctx.Err() != nil {
			// The end of the run interrupted the request, so it is not recorded.
			return
		}
		u.Attempt = a
		c.env.history.attempt(a)
		if !a.Response.Complete {
			c.entry = nil
		}
		c.env.sleep(ctx, a.Response.RetryAfter)
	}
	c.env.history.withLock(func() { c.env.history.TakeUps = append(c.env.history.TakeUps, u) })
	c.entry = nil
}

// beginServing records the start of a decode engine and returns a function that records when it
// drains or stops, which may be called again.
func (h *History) beginServing(stage, version string) (end func()) {
	if stage != "decode" {
		return func() {}
	}
	n := 0
	h.withLock(func() {
		n = len(h.Serving)
		h.Serving = append(h.Serving, Span{From: time.Now(), Name: version})
	})
	return func() {
		h.withLock(func() {
			if h.Serving[n].To.IsZero() {
				h.Serving[n].To = time.Now()
			}
		})
	}
}

// serving returns the number of decode engines of the version that served for the whole interval.
func (h *History) serving(version string, from, to time.Time) (n int) {
	for _, s := range h.Serving {
		if s.Name == version && !s.From.After(from) && (s.To.IsZero() || s.To.After(to)) {
			n++
		}
	}
	return n
}

// checkTakeUps checks that streams which callers take up while two engines of their version serve go
// on about as often as new ones are served. That none is joined from two versions is a defect of its
// response.
func (h *History) checkTakeUps(b Bounds, report func(string, string, ...any)) {
	judged, wentOn := 0, 0
	for _, u := range h.TakeUps {
		from, to := u.Attempt.Started.Add(-b.Contact), u.Attempt.Response.Ended
		if !h.faultFree(from, to) || h.entryDisturbed(u.Attempt.Entry, u.Attempt.Started, b) || h.serving(u.Version, from, to) < 2 {
			continue
		}
		judged++
		if u.Whole {
			wentOn++
		}
	}
	fresh, served := 0, 0
	for _, a := range h.Attempts {
		if a.Route == resumableRoute && !a.CrashingBlock && h.faultFree(a.Started.Add(-b.Contact), a.Response.Ended) {
			fresh++
			if a.Response.Status == http.StatusOK && a.Response.Complete {
				served++
			}
		}
	}
	if judged >= minJudgedTakeUps && float64(wentOn)*float64(fresh) < minWentOnShare*float64(judged)*float64(served) {
		report("streams that are taken up go on", "%d of %d went on; %d of %d new ones were served", wentOn, judged, served, fresh)
	}
}

// killAllEntries kills all entry instances at once, at a time drawn from the seed, unless the run has
// planned faults only, and starts them again.
func (e *env) killAllEntries(ctx context.Context) {
	if e.config.Seed%3 == 0 {
		return
	}
	random := rand.New(rand.NewPCG(e.config.Seed, 4))
	at := time.Duration(random.Int64N(int64(e.config.Span)))
	e.faults.Go(func() {
		e.sleep(ctx, at)
		defer e.history.beginFault()()
		var names []string
		for _, i := range e.entries {
			i.busy.Lock()
			defer i.busy.Unlock()
			names = append(names, i.name)
		}
		defer e.history.beginEntryFault(names...)()
		for _, i := range e.entries {
			i.signal(syscall.SIGKILL)
		}
		for _, i := range e.entries {
			<-i.done()
		}
		e.sleep(ctx, fullRestartTime)
		for _, i := range e.entries {
			if err := i.start(); err != nil {
				e.addFinding("test harness", "%v", err)
			}
		}
	})
}
