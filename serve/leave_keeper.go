package serve

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"auburnscale/event"
	"auburnscale/peer"
	"auburnscale/roster"
	"auburnscale/storage"
	"auburnscale/watch"
)

// A leaveKeeper makes sure that a leave is held by other control instances before this one acknowledges
// it, and is on their disks and its own. It is safe for concurrent use.
type leaveKeeper struct {
	roster *roster.Roster
	copier *watch.LeaveCopier
	disk   *storage.Leaves
	took   tally.Timer
	failed tally.Counter
	logger *event.Logger

	mutex sync.Mutex
	// kept holds, by target, the leave that other control instances have.
	kept map[string]leave
}

// A leave is what a row states about the end of a target.
type leave struct {
	state   peer.TargetRow_State
	bornMs  int64
	endedMs int64
}

func leaveOf(row *peer.TargetRow) leave {
	return leave{row.GetState(), row.GetBornMs(), row.GetEndedMs()}
}

func newLeaveKeeper(rows *roster.Roster, copier *watch.LeaveCopier, disk *storage.Leaves, metrics tally.Scope, logger *event.Logger) *leaveKeeper {
	return &leaveKeeper{roster: rows, copier: copier, disk: disk, took: metrics.Timer("leave_copied"), failed: metrics.Counter("leaves_unconfirmed"), logger: logger, kept: map[string]leave{}}
}

// keep returns nil once other control instances have the row of a target that leaves. Repeated heartbeats of
// a target that drains are not copied again.
func (k *leaveKeeper) keep(ctx context.Context, target string) error {
	row := k.roster.Row(target)
	if row == nil {
		return fmt.Errorf("there is no room for target %q", target)
	}
	k.mutex.Lock()
	known, isKept := k.kept[target]
	k.mutex.Unlock()
	if isKept && known == leaveOf(row) {
		return nil
	}
	began := time.Now()
	saved := make(chan error, 1)
	go func() { saved <- k.save() }()
	err := k.copier.Copy(ctx, row)
	if err == nil {
		err = k.awaitSaved(ctx, target, saved)
	}
	if err != nil {
		k.failed.Inc(1)
		k.logger.Log(event.LeaveUnconfirmed, zap.String("target", target), zap.Error(err))
		return fmt.Errorf("the leave of target %q is not confirmed: %w", target, err)
	}
	k.took.Record(time.Since(began))
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.kept[target] = leaveOf(row)
	return nil
}

// load merges the leaves that were on disk when the instance started.
func (k *leaveKeeper) load() {
	rows, err := k.disk.Load()
	if err != nil {
		k.logger.Log(event.LeaveNotSaved, zap.Error(err))
		return
	}
	k.roster.Merge(rows)
}

// save makes all leaves durable.
func (k *leaveKeeper) save() error { return k.disk.Save(k.roster.Leaving) }

// leaveSaveTimeout bounds the wait for this instance's own disk, once others have the leave on theirs.
const leaveSaveTimeout = 300 * time.Millisecond

// awaitSaved waits until the leave is on this instance's disk. If that fails or takes too long the leave counts as kept if
// there are other control instances, which have it.
func (k *leaveKeeper) awaitSaved(ctx context.Context, target string, saved <-chan error) error {
	var err error
	select {
	case err = <-saved:
	case <-time.After(leaveSaveTimeout):
		err = errDiskSlow
	case <-ctx.Done():
		return ctx.Err()
	}
	if err == nil {
		return nil
	}
	k.logger.Log(event.LeaveNotSaved, zap.String("target", target), zap.Error(err))
	if k.copier.Alone() {
		return err
	}
	return nil
}

var errDiskSlow = errors.New("the disk takes too long")

// forget drops the targets that the roster does not hold any more.
func (k *leaveKeeper) forget() {
	snapshot := k.roster.Snapshot()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for target := range k.kept {
		if snapshot.Target(target) == nil {
			delete(k.kept, target)
		}
	}
}
