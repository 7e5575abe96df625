package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"auburnscale/platform/standin"
)

const (
	// lateRequests is the number of requests of which a part is sent before a planned stop, and the rest in it.
	lateRequests = 24
	// minLateWork and maxLateWork bound how long a target works on one of them.
	minLateWork = 2 * time.Second
	maxLateWork = 7 * time.Second
	// lateRoute is a route whose timeout is as long as the grace time.
	lateRoute = "/late/"
	// lateReload is the time from the signal to stop to a reload of the settings.
	lateReload = time.Second
)

// requestLate stops an entry instance while requests arrive at it: their connections and first bytes come before the
// stop, the rest throughout the grace time. Targets work on them for long.
func (r *faultRun) requestLate(ctx context.Context) {
	i := r.entry()
	i.busy.Lock()
	defer i.busy.Unlock()
	var group, begun sync.WaitGroup
	stopping := make(chan struct{})
	for n := range lateRequests {
		begun.Add(1)
		group.Go(func() {
			pause := sync.OnceFunc(func() {
				begun.Done()
				<-stopping
				r.env.sleep(ctx, time.Duration(n)*configuredBounds.Grace/lateRequests)
			})
			r.sendLate(ctx, i, n, pause)
			// Without a connection it has not been called.
			pause()
		})
	}
	begun.Wait()
	reload := time.AfterFunc(lateReload, func() { i.signal(syscall.SIGHUP) })
	defer reload.Stop()
	close(stopping)
	r.stopBusy(i)
	group.Wait()
}

// sendLate sends the request number n, which stops at a byte of its own to call pause.
func (r *faultRun) sendLate(ctx context.Context, i *instance, n int, pause func()) {
	e := r.env
	a := Attempt{ID: fmt.Sprintf("late-%d-%d-%d", r.fault.Selector, r.fault.At.Milliseconds(), n), Entry: i.name, Incarnation: i.incarnation(), Started: time.Now(), AtMostOnce: true}
	a.Route = []string{lateRoute, "/reads/", lateRoute, "/orders/"}[n%4]
	a.AtMostOnce = a.Route != "/reads/"
	client := standin.NewCaller(e.ip(firstCallerHost + n%callerCount))
	defer client.Close()
	call := standin.Call{
		ID: a.ID, Host: hostName, Key: workspaceKey, Path: a.Route + "x", Body: "a request", Wait: configuredBounds.Grace, Pause: pause,
		PauseAt: 1 + (r.fault.Selector+n*37)%250, Work: minLateWork + time.Duration((r.fault.Selector+n*7919)%int((maxLateWork-minLateWork).Milliseconds()))*time.Millisecond,
	}
	a.Response = client.Do(ctx, e.at(i.host, entryPort).String(), call)
	if ctx.Err() != nil {
		return
	}
	if a.Response.Complete && a.Response.Status < 300 {
		a.Defect = defectOf(a.Response, call)
	}
	e.history.attempt(a)
}

// scriptContinuations makes the target break off the next streams that it begins, and fail those that it is to
// continue. A stream breaks off at one target and continues at another, so that all targets must do so.
func (t *target) scriptContinuations(which int) {
	const requests = 8
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for n := range requests {
		t.current.Script(standin.FailContinuation(1+(which+n)%(streamEvents-1), which+n))
	}
}
