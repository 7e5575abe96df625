package soak

import (
	"context"
	"net/http"
	"time"

	"auburnscale/platform/standin"
)

const (
	// acknowledgerPause is the time from the end of a control instance to its next start.
	acknowledgerPause = time.Second
	// unannouncedLinger is how long a target that deregistered first goes on serving: long enough for a time
	// in which all instances are in touch again.
	unannouncedLinger = 9 * time.Second
	// unheardLife is how long a start lives of which no control instance gets a heartbeat.
	unheardLife = 900 * time.Millisecond
	// oddCalls is the number of calls of an odd writer.
	oddCalls = 6
)

// writeOdd lets another writer send heartbeats, deregistrations and configurations that no target or operator can
// have sent, some of them about a target that serves. They must be refused and disturb nothing.
func (r *faultRun) writeOdd(ctx context.Context) {
	client := r.env.client(operatorHost)
	calls := r.target().oddCalls(r.fault.Selector)
	for n := range oddCalls {
		c := calls[(r.fault.Selector+n)%len(calls)]
		control := r.env.controls[(r.fault.Selector+n)%len(r.env.controls)]
		status, err := c.Send(ctx, client, r.env.at(control.host, operatorPort).String())
		if err == nil && status < http.StatusBadRequest {
			r.env.addFinding("odd calls are refused", "%s answered %s with status %d", control.name, c, status)
		}
	}
}

// oddCalls returns calls of another writer, some of them about the current incarnation.
func (t *target) oddCalls(number int) []standin.OddCall {
	heartbeat, _, _ := t.heartbeat()
	return standin.OddCalls(heartbeat, otherService(t.service), number)
}

func otherService(service string) string {
	if service == plainService {
		return engineService
	}
	return plainService
}

// loseAcknowledger lets a target leave that never reports that it drains, and kills the control instance that
// acknowledged that at once. The target serves on.
func (r *faultRun) loseAcknowledger(ctx context.Context) {
	i, t := r.control(), r.target()
	i.busy.Lock()
	defer i.busy.Unlock()
	inc, id, ok := t.mutedForLeave()
	if !ok {
		return
	}
	defer t.unmute()
	if standin.Deregister(ctx, r.env.client(t.host), r.env.at(i.host, operatorPort).String(), id) == nil {
		r.env.history.drain(Span{From: time.Now(), Name: inc.name})
		end := r.env.history.beginFault()
		i.kill()
		r.env.sleep(ctx, acknowledgerPause)
		r.start(i)
		end()
	}
	r.env.sleep(ctx, unannouncedLinger)
	if t.isCurrent(inc) {
		t.replace()
	}
}

// mutedForLeave ends the heartbeats of the current incarnation, which is about to deregister. It returns false if
// none serves.
func (t *target) mutedForLeave() (inc incarnation, id string, ok bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.stopped || t.draining || t.mute {
		return incarnation{}, "", false
	}
	t.mute = true
	t.endServing()
	return incarnation{incarnationName(t.current.ID(), t.starts), t.drainAcked}, t.current.ID(), true
}

func (t *target) unmute() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.mute = false
}

func (t *target) isCurrent(inc incarnation) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return !t.stopped && incarnationName(t.current.ID(), t.starts) == inc.name
}

// isolate cuts an entry instance off from all control instances, calls meanwhile and waits for the duration of the
// fault. Callers and targets still reach the instance.
func (r *faultRun) isolate(ctx context.Context, meanwhile func()) {
	i := r.entry()
	block := func(on bool) {
		for _, control := range r.env.controls {
			r.env.network.setBlocked(path{i.host, control.host}, on)
			r.env.network.setBlocked(path{control.host, i.host}, on)
		}
	}
	block(true)
	defer block(false)
	meanwhile()
	r.awaitEnd(ctx)
}

// replaceEngines replaces two engines, whose next starts run other software.
func (r *faultRun) replaceEngines() {
	replaced := 0
	for n := range r.env.targets {
		t := r.env.targets[(r.fault.Selector+n)%len(r.env.targets)]
		if t.stage == "decode" && replaced < 2 {
			replaced++
			t.replace()
		}
	}
}

// restartUnheard starts a target again under its name, with other software. That start sends no heartbeat, serves
// for a moment and ends.
func (r *faultRun) restartUnheard(ctx context.Context) {
	t := r.target()
	t.mutex.Lock()
	free := !t.mute && !t.stopped && !t.draining
	t.mute, t.keepName = t.mute || free, t.keepName || free
	t.mutex.Unlock()
	if !free {
		return
	}
	t.replace()
	r.env.sleep(ctx, unheardLife)
	t.mutex.Lock()
	t.mute, t.keepName = false, false
	t.mutex.Unlock()
	t.replace()
}

// scriptLateResponses makes the target write an earlier refusal, complete or cut, before its response to the
// next request on the same connection, a few times.
func (t *target) scriptLateResponses(which int) {
	if t.stage == "prefill" {
		// A prefill alone does not run the request.
		return
	}
	const repeats = 6
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for n := range repeats {
		t.current.Script(standin.RepeatRefusal(which+n*17, (which+n)%3 == 0))
	}
}
