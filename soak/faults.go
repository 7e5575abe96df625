package soak

import (
	"context"
	"syscall"
	"time"
)

// injectFaults injects each fault at its planned time and returns when all have
// ended.
func (s *env) injectFaults(ctx context.Context, faults []Fault) {
	began := time.Now()
	for _, f := range faults {
		s.sleep(ctx, time.Until(began.Add(f.At)))
		st := &faultRun{env: s, fault: f}
		s.faults.Go(func() { st.run(ctx) })
	}
	s.faults.Wait()
}

// A faultRun carries out one fault.
type faultRun struct {
	env   *env
	fault Fault
}

func (k *faultRun) run(ctx context.Context) {
	if k.fault.Kind == LoseDataFolder {
		// It is injected only after a time without faults, so it must not record
		// its own start before it has checked that.
		k.loseDataFolder(ctx)
		return
	}
	if !k.fault.Kind.Planned() {
		defer k.env.history.beginFault()()
	}
	k.inject(ctx)
}

func (k *faultRun) entry() *instance   { return k.env.entries[k.fault.Selector%len(k.env.entries)] }
func (k *faultRun) control() *instance { return k.env.controls[k.fault.Selector%len(k.env.controls)] }
func (k *faultRun) target() *target    { return k.env.targets[k.fault.Selector%len(k.env.targets)] }

// awaitEnd waits for the duration of the fault.
func (k *faultRun) awaitEnd(ctx context.Context) { k.env.sleep(ctx, k.fault.For) }

func (k *faultRun) inject(ctx context.Context) {
	s := k.env
	switch k.fault.Kind {
	case KillEntry:
		k.restart(ctx, k.entry(), nil)
	case KillControl:
		k.restart(ctx, k.control(), nil)
	case KillControls:
		k.killControls(ctx)
	case TornLogWrite:
		k.restart(ctx, k.control(), k.control().tearLog)
	case PauseEntry:
		k.pause(ctx, k.entry())
	case PauseControl:
		k.pause(ctx, k.control())
	case PartitionControl, PartitionOneWay, PartitionDomain:
		k.partition(ctx)
	case DelayControl:
		k.delay(ctx)
	case ResetEntry:
		s.network.reset(k.entry().host)
	case ResetControl:
		s.network.reset(k.control().host)
	case StallEntry:
		s.network.stall(k.entry().host)
	case StallControl:
		s.network.stall(k.control().host)
	case CrashTarget:
		k.target().stop()
		k.awaitEnd(ctx)
		k.target().replace()
	case FaultyResponses:
		k.target().scriptFailures(k.fault.Selector)
		k.awaitEnd(ctx)
	default:
		k.runPlanned(ctx)
	}
}

// runPlanned carries out the planned kinds.
func (k *faultRun) runPlanned(ctx context.Context) {
	s := k.env
	switch k.fault.Kind {
	case StopEntry:
		k.stop(k.entry())
	case StopControl:
		k.stop(k.control())
	case ReloadAll:
		for _, i := range s.instances() {
			i.signal(syscall.SIGHUP)
		}
	case DrainTarget:
		k.target().drain(ctx)
	case ChangeConfig:
		k.withChangeTimeout(ctx, func(ctx context.Context) { s.versions.change(ctx, k.fault.Selector) })
	case RaceChanges:
		k.withChangeTimeout(ctx, func(ctx context.Context) {
			s.faults.Go(func() { s.versions.change(ctx, k.fault.Selector) })
			s.versions.change(ctx, k.fault.Selector+1)
		})
	case InvalidVersion:
		k.withChangeTimeout(ctx, func(ctx context.Context) { s.versions.sendInvalid(ctx, k.fault.Selector) })
	}
}

// changeTimeout bounds how long the operator retries a change.
const changeTimeout = 30 * time.Second

func (k *faultRun) withChangeTimeout(ctx context.Context, change func(context.Context)) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	change(ctx)
}

// restart kills the process, calls meanwhile unless it is nil, and starts the
// process again after the duration of the fault.
func (k *faultRun) restart(ctx context.Context, i *instance, meanwhile func() error) {
	i.busy.Lock()
	defer i.busy.Unlock()
	i.kill()
	if meanwhile != nil {
		if err := meanwhile(); err != nil {
			k.env.addFinding("test harness", "%s: %v", i.name, err)
		}
	}
	k.awaitEnd(ctx)
	k.start(i)
}

func (k *faultRun) start(i *instance) {
	if err := i.start(); err != nil {
		k.env.addFinding("test harness", "%v", err)
	}
}

func (k *faultRun) killControls(ctx context.Context) {
	for _, i := range k.env.controls {
		i.busy.Lock()
		defer i.busy.Unlock()
	}
	for _, i := range k.env.controls {
		i.signal(syscall.SIGKILL)
	}
	for _, i := range k.env.controls {
		<-i.done()
	}
	k.env.sleep(ctx, time.Second)
	for _, i := range k.env.controls {
		k.start(i)
	}
}

// replicaCatchUp is how long a replica that lost its data counts as lost after its
// restart.
const replicaCatchUp = 4 * time.Second

// loseDataFolder removes an instance's data folder, unless the replica that lost
// its data before may not have caught up yet: no more replicas may be lost at once
// than the setting "losses" allows.
func (k *faultRun) loseDataFolder(ctx context.Context) {
	s := k.env
	i := k.control()
	i.busy.Lock()
	defer i.busy.Unlock()
	s.mutex.Lock()
	now := time.Now()
	allowed := now.Sub(s.lastDataLoss) > 2*(replicaCatchUp+configuredBounds.Contact) && s.history.lockedFaultFree(now.Add(-configuredBounds.Contact-replicaCatchUp), now)
	if allowed {
		s.lastDataLoss = now.Add(k.fault.For)
	}
	s.mutex.Unlock()
	if !allowed {
		return
	}
	defer s.history.beginFault()()
	i.kill()
	if err := i.removeData(); err != nil {
		s.addFinding("test harness", "%s: %v", i.name, err)
	}
	k.awaitEnd(ctx)
	k.start(i)
}

func (k *faultRun) pause(ctx context.Context, i *instance) {
	i.busy.Lock()
	defer i.busy.Unlock()
	i.signal(syscall.SIGSTOP)
	k.awaitEnd(ctx)
	i.signal(syscall.SIGCONT)
}

// stop sends SIGTERM, kills the process if it still runs after the grace period,
// and starts it again.
func (k *faultRun) stop(i *instance) {
	i.busy.Lock()
	defer i.busy.Unlock()
	from := time.Now()
	i.signal(syscall.SIGTERM)
	select {
	case <-i.done():
	case <-time.After(k.env.config.bounds().Grace):
		k.env.addFinding("stops end within the grace period", "%s still ran %v after SIGTERM", i.name, k.env.config.bounds().Grace)
		i.kill()
	}
	if !i.control {
		k.env.history.stop(Span{From: from, To: from.Add(configuredBounds.Grace + time.Second), Name: i.name})
	}
	time.Sleep(retryDelay)
	k.start(i)
}

// partition blocks the traffic between instances: of one control instance with the
// other ones, in one direction or both, or of a failure domain with all instances
// outside it.
func (k *faultRun) partition(ctx context.Context) {
	var paths []path
	inside := func(i *instance) bool { return i == k.control() }
	others := k.env.controls
	if k.fault.Kind == PartitionDomain {
		domain := domainOf(k.fault.Selector)
		inside = func(i *instance) bool { return domainOf(i.host) == domain }
		others = k.env.instances()
	}
	for _, a := range others {
		for _, b := range others {
			if !inside(a) || inside(b) {
				continue
			}
			paths = append(paths, path{a.host, b.host})
			if k.fault.Kind != PartitionOneWay {
				paths = append(paths, path{b.host, a.host})
			}
		}
	}
	for _, p := range paths {
		k.env.network.setCut(p, true)
	}
	k.awaitEnd(ctx)
	for _, p := range paths {
		k.env.network.setCut(p, false)
	}
}

// injectedDelay is the delay of bytes from and to a slow instance.
const injectedDelay = 60 * time.Millisecond

func (k *faultRun) delay(ctx context.Context) {
	for _, i := range k.env.instances() {
		k.env.network.setDelay(path{k.control().host, i.host}, injectedDelay)
		k.env.network.setDelay(path{i.host, k.control().host}, injectedDelay)
	}
	k.awaitEnd(ctx)
	for _, i := range k.env.instances() {
		k.env.network.setDelay(path{k.control().host, i.host}, 0)
		k.env.network.setDelay(path{i.host, k.control().host}, 0)
	}
}
