package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"auburnscale/platform/standin"
)

const (
	announceInterval = 500 * time.Millisecond
	// targetPause is the time before an answer and between two events.
	targetPause  = 25 * time.Millisecond
	streamEvents = 8
	// lingering is how long a target goes on after its time to drain.
	lingering = 1500 * time.Millisecond
)

// A target represents a place for targets: when one ends, another starts there.
type target struct {
	site    *site
	host    int
	domain  string
	service string
	stage   string

	mutex    sync.Mutex
	standing *standin.Target
	all      []*standin.Target
	starts   int
	born     time.Time
	seq      uint64
	draining bool
	// noted is true once the word that the target leaves was acknowledged.
	noted chan struct{}
	down  bool
}

func (t *target) address() string { return t.site.at(t.host, targetPort).String() }

// start starts a target there.
func (t *target) start() error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.starts++
	name := fmt.Sprintf("i-%d-%d", t.host, t.starts)
	if t.starts%3 == 0 {
		// Some targets start again under the name that they had.
		name = fmt.Sprintf("i-%d-%d", t.host, t.starts-1)
	}
	standing := standin.NewTarget(name)
	standing.SetEvents(streamEvents)
	standing.SetPause(targetPause)
	if t.stage != "" {
		standing.SetEngine(t.stage, t.site.duties)
	}
	if err := standing.Listen(t.site.at(t.host, targetPort+behind).String()); err != nil {
		return err
	}
	t.standing, t.born, t.seq, t.draining, t.down, t.noted = standing, time.Now(), 0, false, false, make(chan struct{})
	t.all = append(t.all, standing)
	return nil
}

// stop ends the target without a word.
func (t *target) stop() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.down = true
	t.standing.Close()
}

// run announces the target until the context ends.
func (t *target) run(ctx context.Context) {
	client := t.site.client(t.host)
	for at := t.host; ctx.Err() == nil; {
		if word, birth, ok := t.word(); ok {
			control := t.site.controls[at%len(t.site.controls)]
			if err := word.Send(ctx, client, t.site.at(control.host, operatorPort).String()); err != nil {
				at++
				t.site.sleep(ctx, retryPause)
				continue
			}
			if word.Draining {
				t.acknowledged(birth)
			}
		}
		t.site.sleep(ctx, announceInterval)
	}
}

// A birth is one start of a target. Another one may bear the same name.
type birth struct {
	name  string
	noted chan struct{}
}

func birthName(id string, start int) string { return fmt.Sprintf("%s in start %d", id, start) }

func (t *target) word() (standin.Heartbeat, birth, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.seq++
	return standin.Heartbeat{
		ID: t.standing.ID(), Service: t.service, Address: t.address(), Domain: t.domain, Stage: t.standing.Stage(), Slots: 16,
		StartTime: t.born.UnixMilli(), Seq: t.seq, Draining: t.draining,
	}, birth{birthName(t.standing.ID(), t.starts), t.noted}, !t.down
}

func (t *target) acknowledged(b birth) {
	select {
	case <-b.noted:
	default:
		t.site.history.leave(Span{From: time.Now(), On: b.name})
		close(b.noted)
	}
}

// leave announces that the target leaves, serves on for a while, and makes room
// for another one.
func (t *target) leave(ctx context.Context) {
	t.mutex.Lock()
	t.draining = true
	standing, noted, born := t.standing, t.noted, t.born
	t.mutex.Unlock()
	select {
	case <-noted:
	case <-time.After(promised.Drain):
	case <-ctx.Done():
		return
	}
	t.site.sleep(ctx, promised.Drain+lingering)
	t.mutex.Lock()
	same := t.born.Equal(born) && !t.down
	t.down = t.down || same
	t.mutex.Unlock()
	if !same {
		return
	}
	client := t.site.client(t.host)
	for _, control := range t.site.controls {
		if standin.Deregister(ctx, client, t.site.at(control.host, operatorPort).String(), standing.ID()) == nil {
			break
		}
	}
	t.again()
}

// again replaces the target by a new start at the same address.
func (t *target) again() {
	t.stop()
	time.Sleep(retryPause)
	if err := t.start(); err != nil {
		t.site.complain("the soak itself", "target at %s: %v", t.address(), err)
	}
}

// spoil makes the next answers wrong in one of the ways in which targets fail.
func (t *target) spoil(which int) {
	ways := []standin.Behaviour{
		standin.Refuse, standin.Fail, standin.Reset, standin.Garble, standin.MismatchID, standin.Truncate, standin.ExtraResponse, standin.Unframed,
		standin.Unstamped, standin.TruncateStreamAfter(3),
	}
	if t.stage == "prefill" {
		// A reading runs nothing, so that these must count no run.
		ways = []standin.Behaviour{standin.Refuse}
	}
	const spoiled = 6
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for n := range spoiled {
		t.standing.Script(ways[(which+n)%len(ways)])
	}
}

// collect adds what all targets there saw.
func (t *target) collect(h *History) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for i, s := range t.all {
		for id, n := range s.AllRuns() {
			h.Runs[id] += n
		}
		for _, seen := range s.Seen() {
			if seen.ID == "" || seen.Method != http.MethodPost || seen.Expect != "" && seen.Expect != s.ID() {
				continue
			}
			h.Arrivals = append(h.Arrivals, Arrival{Target: birthName(s.ID(), i+1), ID: seen.ID, Tenant: seen.Tenant, Key: seen.Key, At: seen.At})
		}
	}
}
