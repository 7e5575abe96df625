package serve

import (
	"context"
	"errors"
	"fmt"
	"time"
	"unicode/utf8"

	"go.uber.org/zap"

	"auburnscale/catalog"
	"auburnscale/clock"
	"auburnscale/control"
	"auburnscale/event"
	"auburnscale/origin"
	"auburnscale/peer"
	"auburnscale/platform"
)

// deregistrationMargin is subtracted from the estimated time at which a target
// deregisters without naming its start time; incarnations that started up to the
// result are ended. The margin is shorter than the shortest time from a target's
// start to its deregistration, and longer than the error of the estimate, so that a
// target that starts right after the deregistration is not ended by it.
const deregistrationMargin = 500 * time.Millisecond

// maxStartAhead is how far in the future a target's start may be by the estimate of true time. An
// incarnation owns its id and address against all that started before it.
const maxStartAhead = 24 * time.Hour

// UpdateTarget merges a target's heartbeat or deregistration into the roster. It returns an error that
// wraps [platform.ErrInvalid] if no target can have sent the call, and another one if a leave is merged,
// but no other control instance is known to have it. A deregistration that names no start time ends all
// incarnations of the target that have started so far.
func (c *Control) UpdateTarget(ctx context.Context, row *peer.TargetRow) error {
	err := c.checkTarget(row)
	if errors.Is(err, errNotCaughtUp) {
		return err
	}
	if err != nil {
		c.refusalLog.Do(func() {
			c.logger.Log(event.TargetRefused, zap.String("target", peer.Clip(row.Id, peer.MaxNameBytes)), zap.Error(err))
		})
		c.metrics.Counter("target_calls_refused").Inc(1)
		return fmt.Errorf("%w: %w", platform.ErrInvalid, err)
	}
	c.mergeTarget(row)
	if row.State == peer.TargetRow_READY {
		return nil
	}
	return c.leaves.keep(ctx, row.Id)
}

// checkTarget returns an error if no target can have sent the row. A service that the configuration
// does not name is accepted only from a target that is known to belong to it. It returns
// errNotCaughtUp if this instance lacks what it needs to judge that.
func (c *Control) checkTarget(row *peer.TargetRow) error {
	if ahead := row.BornMs - c.watchServer.MedianTime().Milliseconds(); ahead > maxStartAhead.Milliseconds() {
		return fmt.Errorf("target %q states a start that is %d ms ahead", row.Id, ahead)
	}
	if err := c.roster.Check(row); err != nil {
		return err
	}
	known := c.roster.Snapshot().Target(row.Id)
	if row.State == peer.TargetRow_GONE || known.GetService() == row.Service && known.GetBornMs() == row.BornMs {
		return nil
	}
	snapshot := c.snapshot()
	switch {
	case !c.caughtUp():
		return errNotCaughtUp
	case snapshot == nil && !c.loggedService(row.Service):
		return errNotCaughtUp
	case snapshot == nil || snapshot.Service(row.Service) != nil:
		return nil
	}
	return fmt.Errorf("target %q: configuration %d names no service %q", row.Id, snapshot.Version(), row.Service)
}

// firstResponseWait is how long after its start a control instance waits for the rows that others know,
// before it accepts targets that it does not know itself.
const firstResponseWait = time.Second

// caughtUp reports whether this instance knows the targets and the configuration that other control
// instances know, as far as any responds.
func (c *Control) caughtUp() bool {
	heard := c.othersHeard.Load() || len(c.watchClient.Addresses()) == 0 || clock.Now()-c.startedAt > firstResponseWait
	committed := false
	c.voter.Read(func(m *control.Machine) { committed = m.Document() != nil })
	return heard && (committed || c.othersVersion.Load() == 0)
}

// loggedService reports whether the newest document in the log that this instance started with names the service, or
// there is none. After a start of all control instances nothing is committed until one of them leads.
func (c *Control) loggedService(name string) bool {
	snapshot := c.loggedSnapshot()
	return snapshot == nil || snapshot.Service(name) != nil
}

// decodeLogged decodes the newest document in the log that this instance started with. It returns nil if there is none, or
// if it cannot be decoded, which is reported once it is committed.
func (c *Control) decodeLogged() *catalog.Snapshot {
	document := c.voter.LoggedDocument()
	if document == nil {
		return nil
	}
	snapshot, _, err := decodeDocument(document)
	if err != nil {
		return nil
	}
	return snapshot
}

// mergeTarget merges a row that a target sent, and logs what it changed. It returns false if the row is
// outdated.
func (c *Control) mergeTarget(row *peer.TargetRow) bool {
	if row.State == peer.TargetRow_GONE && row.BornMs == 0 {
		row.EndedMs = (c.watchServer.MedianTime() - deregistrationMargin).Milliseconds()
	}
	before := c.roster.Snapshot().Target(row.Id)
	merged := c.roster.UpdateTarget(row)
	if after := c.roster.Snapshot().Target(row.Id); after.GetState() != before.GetState() || after.GetBornMs() != before.GetBornMs() || after.GetStage() != before.GetStage() ||
		after.GetSoftwareVersion() != before.GetSoftwareVersion() || after.GetVersionDisputed() != before.GetVersionDisputed() {
		c.logger.Log(event.TargetUpdated, zap.String("target", row.Id), zap.String("service", after.GetService()), zap.String("address", after.GetAddress()),
			zap.Stringer("state", after.GetState()), zap.Stringer("stage", after.GetStage()), zap.Int64("born_ms", after.GetBornMs()), zap.Int64("ended_ms", after.GetEndedMs()), zap.Uint64("seq", row.Seq),
			zap.String("software_version", after.GetSoftwareVersion()), zap.Bool("version_disputed", after.GetVersionDisputed()))
	}
	return merged
}

// Replace validates a configuration document and commits it. It returns an error
// that wraps [platform.ErrInvalid] if the document is invalid; after any other
// error the document may or may not be committed.
func (c *Control) Replace(ctx context.Context, document []byte) error {
	_, version, err := decodeBody(document)
	if err == nil && !utf8.Valid(document) {
		// Checked here only: a document that is committed must be read as it always was.
		err = errNotUTF8
	}
	if err != nil {
		c.logger.Log(event.DocumentRefused, zap.Uint64("version", version), zap.Error(err))
		return fmt.Errorf("%w: %w", platform.ErrInvalid, err)
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	result, err := c.replicaManager.Propose(ctx, &peer.Command{Actor: c.settings.Instance, Body: &peer.Command_Replace{
		Replace: compressDocument(version, document),
	}})
	if err == nil && result.Code != peer.Result_OK {
		err = fmt.Errorf("configuration not committed: %s", result.Detail)
	}
	if err != nil {
		c.logger.Log(event.DocumentUnconfirmed, zap.Uint64("version", version), zap.Uint64("leader", c.voter.Status().Leader()), zap.Error(err))
		return err
	}
	c.logger.Log(event.DocumentAccepted, zap.Uint64("version", version), zap.Uint64("in_force", result.Version))
	return nil
}

var errNotUTF8 = errors.New("the configuration is not UTF-8")

var errNotCaughtUp = errors.New("this instance does not know yet what the other control instances know")

var errNoConfiguration = errors.New("no configuration has been committed yet")

// Current returns the configuration document in effect, or an error if there is
// none or this instance cannot be sure of it.
func (c *Control) Current(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	document, err := c.replicaManager.CurrentDocument(ctx)
	if err != nil {
		return nil, err
	}
	if document == nil {
		return nil, errNoConfiguration
	}
	return decompressDocument(document)
}

// Request returns the watch request that this instance sends to the other control
// instances. Its Version is the highest possible one, so that the responses do
// not carry a document.
func (c *Control) Request() *peer.WatchRequest {
	return &peer.WatchRequest{
		Instance: c.settings.Instance, Incarnation: c.incarnation, Domain: c.settings.FailureDomain, Control: true,
		Version: ^uint64(0), WallMs: time.Now().UnixMilli(),
	}
}

// HandleResponse merges the targets, and the counters of entry instances that stopped, that another
// control instance knows. Control instances receive configurations only through the replicated
// log.
func (c *Control) HandleResponse(response *peer.WatchResponse) {
	c.rowLog.log(c.roster.Merge(response.Rows))
	c.othersVersion.Store(max(c.othersVersion.Load(), response.Version))
	c.othersHeard.Store(true)
	c.watchServer.MergeEnded(response.Ended)
}

// controlPeerServer serves the peer protocol on a control instance.
type controlPeerServer struct {
	*peerServer
	control *Control
}

// Watch serves an instance's long poll for targets and the configuration.
func (s *controlPeerServer) Watch(ctx context.Context, request *peer.WatchRequest) (*peer.WatchResponse, error) {
	response := s.control.watchServer.Watch(ctx, request)
	response.ResponderDomain = s.control.settings.FailureDomain
	return response, nil
}

// Share exchanges the load that entry instances put on the targets.
func (s *controlPeerServer) Share(_ context.Context, request *peer.ShareRequest) (*peer.ShareResponse, error) {
	return s.control.loadAggregator.Exchange(request), nil
}

// FindOrigin returns what this control instance knows of the origin of a stream.
func (s *controlPeerServer) FindOrigin(_ context.Context, question *peer.OriginQuestion) (*peer.OriginAnswer, error) {
	return origin.Answer(s.control.origins, s.control.roster, question), nil
}

// CopyOrigins takes a copy of origins that entry instances reported to another control instance.
func (s *controlPeerServer) CopyOrigins(_ context.Context, copies *peer.OriginCopies) (*peer.CopyOriginsResponse, error) {
	s.control.origins.Copy(copies.Origins)
	return &peer.CopyOriginsResponse{}, nil
}

// KeepTargets merges rows that another control instance is about to acknowledge, and makes them durable.
func (s *controlPeerServer) KeepTargets(_ context.Context, rows *peer.TargetRows) (*peer.KeepTargetsResponse, error) {
	refused := s.control.roster.Merge(rows.Rows)
	s.control.rowLog.log(refused)
	if err := s.control.leaves.save(); err != nil {
		s.control.logger.Log(event.LeaveNotSaved, zap.Error(err))
		return nil, fmt.Errorf("the leave is not on disk: %w", err)
	}
	return &peer.KeepTargetsResponse{Kept: int32(len(rows.Rows) - len(refused))}, nil
}

// Enrol accepts a replica's request to join the control group.
func (s *controlPeerServer) Enrol(_ context.Context, request *peer.EnrolRequest) (*peer.EnrolResponse, error) {
	if request.Replica.GetId() == 0 || request.Replica.Address == "" {
		return nil, errMissingReplica
	}
	return s.control.replicaManager.Enrol(request), nil
}

// Current returns the configuration document that this control instance knows, for
// another one that was asked for it.
func (s *controlPeerServer) Current(context.Context, *peer.CurrentRequest) (*peer.CurrentResponse, error) {
	return s.control.replicaManager.LocalDocument(), nil
}
