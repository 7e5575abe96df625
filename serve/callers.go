package serve

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"auburnscale/event"
	"auburnscale/peer"
	"auburnscale/platform"
)

// leaveMargin is below the shortest time between a target's start and its word
// of leaving, and above the error of the estimate of true time: a target that
// starts right after the word is not ended by it.
const leaveMargin = 500 * time.Millisecond

// Hear merges what a target says of itself. A word of leaving that names no
// birth ends all births until now.
func (c *Control) UpdateTarget(row *peer.TargetRow) bool {
	if row.State == peer.TargetRow_GONE && row.BornMs == 0 {
		row.EndedMs = (c.watching.TrueTime() - leaveMargin).Milliseconds()
	}
	before := c.roster.Snapshot().Target(row.Id)
	taken := c.roster.Hear(row)
	if after := c.roster.Snapshot().Target(row.Id); after.GetState() != before.GetState() || after.GetBornMs() != before.GetBornMs() || after.GetStage() != before.GetStage() {
		c.logger.Log(event.TargetHeard, zap.String("target", row.Id), zap.String("service", after.GetService()), zap.String("address", after.GetAddress()),
			zap.Stringer("state", after.GetState()), zap.Stringer("stage", after.GetStage()), zap.Int64("born_ms", after.GetBornMs()), zap.Int64("ended_ms", after.GetEndedMs()), zap.Uint64("seq", row.Seq))
	}
	return taken
}

// Replace checks a configuration document and commits it.
func (c *Control) Replace(ctx context.Context, document []byte) error {
	_, version, err := decodeBody(document)
	if err != nil {
		c.logger.Log(event.DocumentRefused, zap.Uint64("version", version), zap.Error(err))
		return fmt.Errorf("%w: %w", platform.ErrInvalid, err)
	}
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	result, err := c.keeper.Propose(ctx, &peer.Command{Actor: c.settings.Instance, Body: &peer.Command_Replace{
		Replace: packDocument(version, document),
	}})
	if err != nil {
		return err
	}
	if result.Code != peer.Result_OK {
		return fmt.Errorf("the configuration was not committed: %s", result.Detail)
	}
	c.logger.Log(event.DocumentAccepted, zap.Uint64("version", version), zap.Uint64("in_force", result.Version))
	return nil
}

var errNoDocument = errors.New("there is no configuration yet")

// Current returns the configuration document in force.
func (c *Control) Current(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	document, err := c.keeper.CurrentDocument(ctx)
	if err != nil {
		return nil, err
	}
	if document == nil {
		return nil, errNoDocument
	}
	return unpackDocument(document)
}

// Request is what this instance tells the control instances that it watches.
func (c *Control) Request() *peer.WatchRequest {
	return &peer.WatchRequest{
		Instance: c.settings.Instance, Incarnation: c.incarnation, Domain: c.settings.FailureDomain, Control: true,
		Version: ^uint64(0), WallMs: time.Now().UnixMilli(),
	}
}

// Take merges the targets that another control instance knows. Configurations
// come through the log only.
func (c *Control) Take(answer *peer.WatchResponse) { c.roster.Merge(answer.Rows) }

// controlServer answers the inner protocol.
type controlServer struct {
	*peerServer
	control *Control
}

// Watch answers an instance's long poll.
func (s *controlServer) Watch(ctx context.Context, request *peer.WatchRequest) (*peer.WatchResponse, error) {
	return s.control.watching.Watch(ctx, request), nil
}

// Share exchanges entry instances' work.
func (s *controlServer) Share(_ context.Context, request *peer.ShareRequest) (*peer.ShareResponse, error) {
	return s.control.pool.Share(request), nil
}

// Enrol takes a replica's application.
func (s *controlServer) Enrol(_ context.Context, request *peer.EnrolRequest) (*peer.EnrolResponse, error) {
	if request.Replica.GetId() == 0 || request.Replica.Address == "" {
		return nil, errNoReplica
	}
	return s.control.keeper.Enrol(request), nil
}

// Current answers another control instance that was asked for the configuration.
func (s *controlServer) Current(context.Context, *peer.CurrentRequest) (*peer.CurrentResponse, error) {
	return s.control.keeper.LocalDocument(), nil
}
