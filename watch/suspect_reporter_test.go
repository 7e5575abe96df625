package watch

import (
	"context"
	"errors"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/clock"
	"auburnscale/event"
	"auburnscale/peer"
	"auburnscale/quarantine"
)

// A suspectControl is a control instance that takes reports on suspect blocks.
type suspectControl struct {
	peer.Peer
	mutex sync.Mutex
	board *quarantine.Board
	down  bool
	calls int
}

func (c *suspectControl) ReportSuspects(_ context.Context, report *peer.SuspectReport) (*peer.SuspectList, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.calls++
	if c.down {
		return nil, errors.New("down")
	}
	return c.board.Report(report), nil
}

// restart replaces the board by one that knows nothing, and brings the instance up.
func (c *suspectControl) restart(incarnation string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.down = false
	c.board = quarantine.NewBoard(incarnation, quarantine.NewEvidence(clock.Now, nil, event.Nop()))
}

func (c *suspectControl) quarantines(block uint64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, s := range c.board.List().Blocks {
		if s.Block == block && s.Quarantined {
			return true
		}
	}
	return false
}

type suspectDialer map[string]*suspectControl

func (d suspectDialer) Peer(address string) peer.Peer { return d[address] }

// knownControls are the control instances that a poll client knows.
type knownControls struct {
	mutex   sync.Mutex
	servers map[string]string
}

func (k *knownControls) all() map[string]string {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return maps.Clone(k.servers)
}

func (k *knownControls) set(address, server string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.servers[address] = server
}

// TestReportsReachEveryControlInstance checks that reports go to all control instances at once,
// later to one that did not answer at first, and again to one that has restarted, and that
// nothing is sent when there is nothing to report.
func TestReportsReachEveryControlInstance(t *testing.T) {
	one, two := &suspectControl{}, &suspectControl{}
	one.restart("one")
	two.restart("two")
	two.down = true
	blocks := quarantine.NewBlocks(clock.Now, func() float64 { return 0 }, event.Nop())
	controls := &knownControls{servers: map[string]string{"1": "", "2": ""}}
	r := NewSuspectReporter("e1", controls.all, suspectDialer{"1": one, "2": two}, blocks)
	r.Start()
	defer r.Stop()
	const block = 7
	for _, target := range []string{"t1", "t2", "t3"} {
		blocks.Crashed(target, "1", []uint64{block})
		// Crashes at the same moment count as one.
		time.Sleep(300 * time.Millisecond)
	}
	require.Eventually(t, func() bool { return one.quarantines(block) }, 10*time.Second, time.Millisecond)
	require.False(t, two.quarantines(block))
	two.restart("two")
	require.Eventually(t, func() bool { return two.quarantines(block) }, 10*time.Second, time.Millisecond)

	one.restart("one again")
	controls.set("1", "one again")
	blocks.Received("one again", one.board.List().Blocks)
	require.Eventually(t, func() bool { return one.quarantines(block) }, 10*time.Second, time.Millisecond)

	time.Sleep(2 * reportRetryDelay)
	one.mutex.Lock()
	calls := one.calls
	one.mutex.Unlock()
	time.Sleep(3 * reportRetryDelay)
	one.mutex.Lock()
	defer one.mutex.Unlock()
	require.Equal(t, calls, one.calls, "nothing to report")
}
