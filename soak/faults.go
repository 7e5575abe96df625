package soak

import (
	"context"
	"syscall"
	"time"
)

// play strikes with each fault when its time comes.
func (s *site) play(ctx context.Context, faults []Fault) {
	began := time.Now()
	for _, f := range faults {
		s.sleep(ctx, time.Until(began.Add(f.At)))
		st := &striking{site: s, fault: f}
		s.faults.Go(func() { st.run(ctx) })
	}
	s.faults.Wait()
}

// A striking carries out one fault.
type striking struct {
	site  *site
	fault Fault
}

func (k *striking) run(ctx context.Context) {
	if k.fault.Kind == LoseFolder {
		// It strikes only in a calm, of which its own beginning is no part.
		k.loseFolder(ctx)
		return
	}
	if !k.fault.Kind.Planned() {
		defer k.site.history.disturb()()
	}
	k.strike(ctx)
}

func (k *striking) entry() *instance   { return k.site.entries[k.fault.On%len(k.site.entries)] }
func (k *striking) control() *instance { return k.site.controls[k.fault.On%len(k.site.controls)] }
func (k *striking) target() *target    { return k.site.targets[k.fault.On%len(k.site.targets)] }

// last waits for as long as the fault lasts.
func (k *striking) last(ctx context.Context) { k.site.sleep(ctx, k.fault.For) }

func (k *striking) strike(ctx context.Context) {
	s := k.site
	switch k.fault.Kind {
	case KillEntry:
		k.restart(ctx, k.entry(), nil)
	case KillControl:
		k.restart(ctx, k.control(), nil)
	case KillControls:
		k.killControls(ctx)
	case TearLog:
		k.restart(ctx, k.control(), k.control().tear)
	case PauseEntry:
		k.pause(ctx, k.entry())
	case PauseControl:
		k.pause(ctx, k.control())
	case CutControl, CutOneWay, CutDomain:
		k.cut(ctx)
	case DelayControl:
		k.delay(ctx)
	case ResetEntry:
		s.network.reset(k.entry().host)
	case ResetControl:
		s.network.reset(k.control().host)
	case MuteEntry:
		s.network.silence(k.entry().host)
	case MuteControl:
		s.network.silence(k.control().host)
	case CrashTarget:
		k.target().stop()
		k.last(ctx)
		k.target().again()
	case SpoilAnswers:
		k.target().spoil(k.fault.On)
		k.last(ctx)
	default:
		k.work(ctx)
	}
}

// work carries out what is planned.
func (k *striking) work(ctx context.Context) {
	s := k.site
	switch k.fault.Kind {
	case StopEntry:
		k.stop(k.entry())
	case StopControl:
		k.stop(k.control())
	case ReloadAll:
		for _, i := range s.instances() {
			i.signal(syscall.SIGHUP)
		}
	case LeaveTarget:
		k.target().leave(ctx)
	case ChangeVersion:
		k.changing(ctx, func(ctx context.Context) { s.versions.change(ctx, k.fault.On) })
	case RaceVersions:
		k.changing(ctx, func(ctx context.Context) {
			s.faults.Go(func() { s.versions.change(ctx, k.fault.On) })
			s.versions.change(ctx, k.fault.On+1)
		})
	case BadVersion:
		k.changing(ctx, func(ctx context.Context) { s.versions.bad(ctx, k.fault.On) })
	}
}

// changeTime bounds how long the operator sends a change again.
const changeTime = 30 * time.Second

func (k *striking) changing(ctx context.Context, change func(context.Context)) {
	ctx, cancel := context.WithTimeout(ctx, changeTime)
	defer cancel()
	change(ctx)
}

// restart kills the process, does something to what it left, and starts it.
func (k *striking) restart(ctx context.Context, i *instance, meanwhile func() error) {
	i.busy.Lock()
	defer i.busy.Unlock()
	i.kill()
	if meanwhile != nil {
		if err := meanwhile(); err != nil {
			k.site.complain("the soak itself", "%s: %v", i.name, err)
		}
	}
	k.last(ctx)
	k.start(i)
}

func (k *striking) start(i *instance) {
	if err := i.start(); err != nil {
		k.site.complain("the soak itself", "%v", err)
	}
}

func (k *striking) killControls(ctx context.Context) {
	for _, i := range k.site.controls {
		i.busy.Lock()
		defer i.busy.Unlock()
	}
	for _, i := range k.site.controls {
		i.signal(syscall.SIGKILL)
	}
	for _, i := range k.site.controls {
		<-i.end()
	}
	k.site.sleep(ctx, time.Second)
	for _, i := range k.site.controls {
		k.start(i)
	}
}

// catchUp is how long a replica counts as lost after it is back.
const catchUp = 4 * time.Second

// loseFolder takes an instance's disk, unless another one that was lost may not
// have been replaced: no more may be lost at once than the settings say.
func (k *striking) loseFolder(ctx context.Context) {
	s := k.site
	i := k.control()
	i.busy.Lock()
	defer i.busy.Unlock()
	s.mutex.Lock()
	now := time.Now()
	allowed := now.Sub(s.lost) > 2*(catchUp+promised.Contact) && s.history.calm(now.Add(-promised.Contact-catchUp), now)
	if allowed {
		s.lost = now.Add(k.fault.For)
	}
	s.mutex.Unlock()
	if !allowed {
		return
	}
	defer s.history.disturb()()
	i.kill()
	if err := i.lose(); err != nil {
		s.complain("the soak itself", "%s: %v", i.name, err)
	}
	k.last(ctx)
	k.start(i)
}

func (k *striking) pause(ctx context.Context, i *instance) {
	i.busy.Lock()
	defer i.busy.Unlock()
	i.signal(syscall.SIGSTOP)
	k.last(ctx)
	i.signal(syscall.SIGCONT)
}

// stop asks the process to end, and ends it if it has not after the grace.
func (k *striking) stop(i *instance) {
	i.busy.Lock()
	defer i.busy.Unlock()
	from := time.Now()
	i.signal(syscall.SIGTERM)
	select {
	case <-i.end():
	case <-time.After(k.site.config.bounds().Grace):
		k.site.complain("stops end in time", "%s still ran %v after it was asked to stop", i.name, k.site.config.bounds().Grace)
		i.kill()
	}
	if !i.control {
		k.site.history.stop(Span{From: from, To: from.Add(promised.Grace + time.Second), On: i.name})
	}
	time.Sleep(retryPause)
	k.start(i)
}

// cut separates instances: one control instance from the other ones, in one
// direction or both, or a failure domain from everything else of the system.
func (k *striking) cut(ctx context.Context) {
	var paths []path
	inside := func(i *instance) bool { return i == k.control() }
	others := k.site.controls
	if k.fault.Kind == CutDomain {
		domain := domainOf(k.fault.On)
		inside = func(i *instance) bool { return domainOf(i.host) == domain }
		others = k.site.instances()
	}
	for _, a := range others {
		for _, b := range others {
			if !inside(a) || inside(b) {
				continue
			}
			paths = append(paths, path{a.host, b.host})
			if k.fault.Kind != CutOneWay {
				paths = append(paths, path{b.host, a.host})
			}
		}
	}
	for _, p := range paths {
		k.site.network.setCut(p, true)
	}
	k.last(ctx)
	for _, p := range paths {
		k.site.network.setCut(p, false)
	}
}

// delayed is how late the bytes of a slow instance are.
const delayed = 60 * time.Millisecond

func (k *striking) delay(ctx context.Context) {
	for _, i := range k.site.instances() {
		k.site.network.setDelay(path{k.control().host, i.host}, delayed)
		k.site.network.setDelay(path{i.host, k.control().host}, delayed)
	}
	k.last(ctx)
	for _, i := range k.site.instances() {
		k.site.network.setDelay(path{k.control().host, i.host}, 0)
		k.site.network.setDelay(path{i.host, k.control().host}, 0)
	}
}
