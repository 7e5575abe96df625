package soak

import (
	"context"
	"syscall"
	"time"
)

// injectFaults injects each fault at its planned time and returns when all have
// ended.
func (e *env) injectFaults(ctx context.Context, faults []Fault) {
	began := time.Now()
	for _, f := range faults {
		e.sleep(ctx, time.Until(began.Add(f.At)))
		started := &faultRun{env: e, fault: f}
		e.faults.Go(func() { started.run(ctx) })
	}
	e.faults.Wait()
}

// A faultRun carries out one fault.
type faultRun struct {
	env   *env
	fault Fault
}

func (r *faultRun) run(ctx context.Context) {
	switch r.fault.Kind {
	case LoseDataFolder:
		// It is injected only after a time without faults, so it must not record
		// its own start before it has checked that.
		r.loseDataFolder(ctx)
		return
	case LoseAcknowledger:
		// The target that leaves serves on after the fault.
		r.loseAcknowledger(ctx)
		return
	}
	if !r.fault.Kind.Planned() {
		defer r.env.history.beginFault()()
	}
	defer r.env.history.beginEntryFault(r.disturbedEntries()...)()
	r.inject(ctx)
}

// disturbedEntries returns the names of the entry instances that the fault stops, cuts off or
// resets.
func (r *faultRun) disturbedEntries() (names []string) {
	switch r.fault.Kind {
	case KillEntry, PauseEntry, ResetEntry, StallEntry, StopEntry, IsolateEntry, ReleaseOutOfStep, LateRequests:
		return []string{r.entry().name}
	case PartitionDomain:
		for _, i := range r.env.entries {
			if domainOf(i.host) == domainOf(r.fault.Selector) {
				names = append(names, i.name)
			}
		}
	}
	return names
}

func (r *faultRun) entry() *instance   { return r.env.entries[r.fault.Selector%len(r.env.entries)] }
func (r *faultRun) control() *instance { return r.env.controls[r.fault.Selector%len(r.env.controls)] }
func (r *faultRun) target() *target    { return r.env.targets[r.fault.Selector%len(r.env.targets)] }

// awaitEnd waits for the duration of the fault.
func (r *faultRun) awaitEnd(ctx context.Context) { r.env.sleep(ctx, r.fault.For) }

func (r *faultRun) inject(ctx context.Context) {
	e := r.env
	switch r.fault.Kind {
	case KillEntry:
		r.restart(ctx, r.entry(), nil)
	case KillControl:
		r.restart(ctx, r.control(), nil)
	case KillControls:
		r.killControls(ctx)
	case TornLogWrite:
		r.restart(ctx, r.control(), r.control().tearLog)
	case PauseEntry:
		r.pause(ctx, r.entry())
	case PauseControl:
		r.pause(ctx, r.control())
	case PartitionControl, PartitionOneWay, PartitionDomain:
		r.partition(ctx)
	case DelayControl:
		r.delay(ctx)
	case ResetEntry:
		e.network.reset(r.entry().host)
	case ResetControl:
		e.network.reset(r.control().host)
	case StallEntry:
		e.network.stall(r.entry().host)
	case StallControl:
		e.network.stall(r.control().host)
	case CrashTarget:
		r.target().stop()
		r.awaitEnd(ctx)
		r.target().replace()
	case FaultyResponses:
		r.target().scriptFailures(r.fault.Selector)
		r.awaitEnd(ctx)
	case LateResponses:
		r.target().scriptLateResponses(r.fault.Selector)
		r.awaitEnd(ctx)
	case FailContinuations:
		for _, t := range e.targets {
			if t.stage == "decode" {
				t.scriptContinuations(r.fault.Selector)
			}
		}
		r.awaitEnd(ctx)
	case BadResponses:
		r.target().scriptBadResponses(r.fault.Selector)
		r.awaitEnd(ctx)
	case IsolateEntry:
		r.isolate(ctx, func() {})
	case ReleaseOutOfStep:
		r.isolate(ctx, r.replaceEngines)
	case RestartUnheard:
		r.restartUnheard(ctx)
	default:
		r.runPlanned(ctx)
	}
}

// runPlanned carries out the planned kinds.
func (r *faultRun) runPlanned(ctx context.Context) {
	e := r.env
	switch r.fault.Kind {
	case StopEntry:
		r.stop(r.entry())
	case StopControl:
		r.stop(r.control())
	case ReloadAll:
		for _, i := range e.instances() {
			i.signal(syscall.SIGHUP)
		}
	case DrainTarget:
		r.target().drain(ctx)
	case ChangeConfig:
		r.withChangeTimeout(ctx, func(ctx context.Context) { e.versions.change(ctx, r.fault.Selector) })
	case RaceChanges:
		r.withChangeTimeout(ctx, func(ctx context.Context) {
			e.faults.Go(func() { e.versions.change(ctx, r.fault.Selector) })
			e.versions.change(ctx, r.fault.Selector+1)
		})
	case InvalidVersion:
		r.withChangeTimeout(ctx, func(ctx context.Context) { e.versions.sendInvalid(ctx, r.fault.Selector) })
	case OddWriter:
		r.writeOdd(ctx)
	case LateRequests:
		r.requestLate(ctx)
	case OddCallers:
		r.callOddly(ctx)
	}
}

// changeTimeout bounds how long the operator retries a change.
const changeTimeout = 30 * time.Second

func (r *faultRun) withChangeTimeout(ctx context.Context, change func(context.Context)) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	change(ctx)
}

// restart kills the process, calls meanwhile unless it is nil, and starts the
// process again after the duration of the fault.
func (r *faultRun) restart(ctx context.Context, i *instance, meanwhile func() error) {
	i.busy.Lock()
	defer i.busy.Unlock()
	i.kill()
	if meanwhile != nil {
		if err := meanwhile(); err != nil {
			r.env.addFinding("test harness", "%s: %v", i.name, err)
		}
	}
	r.awaitEnd(ctx)
	r.start(i)
}

func (r *faultRun) start(i *instance) {
	if err := i.start(); err != nil {
		r.env.addFinding("test harness", "%v", err)
	}
}

func (r *faultRun) killControls(ctx context.Context) {
	for _, i := range r.env.controls {
		i.busy.Lock()
		defer i.busy.Unlock()
	}
	for _, i := range r.env.controls {
		i.signal(syscall.SIGKILL)
	}
	for _, i := range r.env.controls {
		<-i.done()
	}
	r.env.sleep(ctx, time.Second)
	for _, i := range r.env.controls {
		r.start(i)
	}
}

// replicaCatchUp is how long a replica that lost its data counts as lost after its
// restart.
const replicaCatchUp = 4 * time.Second

// loseDataFolder removes an instance's data folder, unless the replica that lost
// its data before may not have caught up yet: no more replicas may be lost at once
// than the setting "losses" allows.
func (r *faultRun) loseDataFolder(ctx context.Context) {
	e := r.env
	i := r.control()
	i.busy.Lock()
	defer i.busy.Unlock()
	e.mutex.Lock()
	now := time.Now()
	allowed := now.Sub(e.lastDataLoss) > 2*(replicaCatchUp+configuredBounds.Contact) && e.history.lockedFaultFree(now.Add(-configuredBounds.Contact-replicaCatchUp), now)
	if allowed {
		e.lastDataLoss = now.Add(r.fault.For)
	}
	e.mutex.Unlock()
	if !allowed {
		return
	}
	defer e.history.beginFault()()
	i.kill()
	if err := i.removeData(); err != nil {
		e.addFinding("test harness", "%s: %v", i.name, err)
	}
	r.awaitEnd(ctx)
	r.start(i)
}

func (r *faultRun) pause(ctx context.Context, i *instance) {
	i.busy.Lock()
	defer i.busy.Unlock()
	i.signal(syscall.SIGSTOP)
	r.awaitEnd(ctx)
	i.signal(syscall.SIGCONT)
}

// stop sends SIGTERM, kills the process if it still runs after the grace period,
// and starts it again.
func (r *faultRun) stop(i *instance) {
	i.busy.Lock()
	defer i.busy.Unlock()
	r.stopBusy(i)
}

// stopBusy is stop with i.busy held.
func (r *faultRun) stopBusy(i *instance) {
	from := time.Now()
	i.signal(syscall.SIGTERM)
	select {
	case <-i.done():
	case <-time.After(r.env.config.bounds().Grace):
		r.env.addFinding("stops end within the grace period", "%s still ran %v after SIGTERM", i.name, r.env.config.bounds().Grace)
		i.kill()
	}
	if !i.control {
		r.env.history.stop(Span{From: from, To: from.Add(configuredBounds.Grace + time.Second), Name: i.name})
	}
	time.Sleep(retryDelay)
	r.start(i)
}

// partition blocks the traffic between instances: of one control instance with the
// other ones, in one direction or both, or of a failure domain with all instances
// outside it.
func (r *faultRun) partition(ctx context.Context) {
	var paths []path
	inside := func(i *instance) bool { return i == r.control() }
	others := r.env.controls
	if r.fault.Kind == PartitionDomain {
		domain := domainOf(r.fault.Selector)
		inside = func(i *instance) bool { return domainOf(i.host) == domain }
		others = r.env.instances()
	}
	for _, a := range others {
		for _, b := range others {
			if !inside(a) || inside(b) {
				continue
			}
			paths = append(paths, path{a.host, b.host})
			if r.fault.Kind != PartitionOneWay {
				paths = append(paths, path{b.host, a.host})
			}
		}
	}
	for _, p := range paths {
		r.env.network.setBlocked(p, true)
	}
	r.awaitEnd(ctx)
	for _, p := range paths {
		r.env.network.setBlocked(p, false)
	}
}

// injectedDelay is the delay of bytes from and to a slow instance.
const injectedDelay = 60 * time.Millisecond

func (r *faultRun) delay(ctx context.Context) {
	for _, i := range r.env.instances() {
		r.env.network.setDelay(path{r.control().host, i.host}, injectedDelay)
		r.env.network.setDelay(path{i.host, r.control().host}, injectedDelay)
	}
	r.awaitEnd(ctx)
	for _, i := range r.env.instances() {
		r.env.network.setDelay(path{r.control().host, i.host}, 0)
		r.env.network.setDelay(path{i.host, r.control().host}, 0)
	}
}
