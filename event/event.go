// Package event defines the log events of the processes. Each event has a number
// that is stable across versions; docs/EVENTS.md is generated from the catalogue.
//
// It owns the catalogue, the logger and the sink that writes log lines without
// blocking. It must not import any package that logs.
//
// # Usage
//
//	logger := event.New(zapLogger)
//	logger.Log(event.LeaderElected, zap.Uint64("term", term))
package event

import (
	"fmt"
	"log"
	"slices"
	"strings"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// A Kind is one numbered event of the catalogue.
type Kind struct {
	number  int
	name    string
	level   zapcore.Level
	meaning string
}

var catalogue []Kind

func define(number int, name string, level zapcore.Level, meaning string) Kind {
	k := Kind{number: number, name: name, level: level, meaning: meaning}
	catalogue = append(catalogue, k)
	return k
}

// Number returns the event's number.
func (k Kind) Number() int { return k.number }

// The events. Their numbers are grouped by hundreds: 1xx process, 2xx quorum,
// 3xx configuration, 4xx external actions and targets, 5xx requests, 6xx usage.
var (
	Started               = define(101, "started", zapcore.InfoLevel, "the process is listening on all its addresses")
	Stopping              = define(102, "stopping", zapcore.InfoLevel, "a planned stop began; the instance reports that it is not ready and finishes its requests")
	Stopped               = define(103, "stopped", zapcore.InfoLevel, "the process exits; open is the number of requests that were still open")
	ListenerFailed        = define(104, "listener_failed", zapcore.ErrorLevel, "a listener failed; the process stops")
	LeaderElected         = define(201, "leader_elected", zapcore.InfoLevel, "this voter became the leader for the term")
	LeaderLost            = define(202, "leader_lost", zapcore.InfoLevel, "this voter is no longer the leader")
	SnapshotSaved         = define(203, "snapshot_saved", zapcore.InfoLevel, "the log was compacted into a snapshot")
	SnapshotInstalled     = define(204, "snapshot_installed", zapcore.InfoLevel, "this voter was behind and installed the leader's snapshot")
	StorageFailed         = define(205, "storage_failed", zapcore.ErrorLevel, "the data folder cannot be written; this voter stops taking part until it is restarted")
	VotersChanged         = define(206, "voters_changed", zapcore.InfoLevel, "an operator changed the voter set")
	ConfigurationInEffect = define(301, "configuration_in_force", zapcore.InfoLevel, "the configuration of this version is now in effect on this instance")
	ConfigurationRefused  = define(302, "configuration_refused", zapcore.ErrorLevel, "a committed configuration does not pass the checks of this release; the previous one stays in effect")
	ContactLost           = define(303, "contact_lost", zapcore.WarnLevel, "no control leader answered within control.freshness; requests with a key are refused, except for workspaces whose home is this failure domain")
	ContactRestored       = define(304, "contact_back", zapcore.InfoLevel, "a control leader answers again")
	InstanceJoined        = define(305, "instance_joined", zapcore.InfoLevel, "the control group registered an instance, or a new incarnation of it")
	ActionSent            = define(401, "action_sent", zapcore.InfoLevel, "an external action was answered")
	ActionUnanswered      = define(402, "action_unanswered", zapcore.WarnLevel, "an external action got no answer; it is retried with the same content")
	ActionRefused         = define(403, "action_refused", zapcore.WarnLevel, "an external action must not be performed now; detail tells why")
	TargetUp              = define(404, "target_up", zapcore.InfoLevel, "a target answers load report requests")
	TargetDown            = define(405, "target_down", zapcore.WarnLevel, "a target stopped answering; it receives no new requests")
	TargetUnknown         = define(406, "target_unknown", zapcore.WarnLevel, "a process that is not in the inventory sent a heartbeat; it receives no requests")
	RequestQuarantined    = define(501, "request_quarantined", zapcore.WarnLevel, "a request was in flight when two targets crashed; it is refused for some time")
	StreamResumed         = define(502, "stream_resumed", zapcore.InfoLevel, "an interrupted stream continues from another target at the token where it was interrupted; before is the target that broke off")
	StreamTakenUp         = define(504, "stream_taken_up", zapcore.InfoLevel, "a caller asks for the rest of a stream after the event with the id in after; resumes is the request that brought its first event; origin is what began it and continues it, empty if that is not known; reason recorded: it is on record; single: it is not, and only one software version can have begun it; several: several can; disputed: the records differ; not_covered: it is not known for long enough which versions served; conclusive tells that every control instance answered")
	TargetOtherVersion    = define(505, "target_other_version", zapcore.InfoLevel, "a target was asked to continue a stream, and runs another software version than the one that began it; the stream is not continued there")
	TargetOtherStart      = define(506, "target_other_start", zapcore.InfoLevel, "a target was to begin or continue a stream that may go on elsewhere, and did not state the start that its heartbeats told of; it does not get the request")
	StreamNotContinued    = define(507, "stream_not_continued", zapcore.WarnLevel, "a target that was asked to continue a stream responded with something else, which the caller does not get; type is its content type; from_target is false if the response lacks a target's stamp")
	ConnectionFailed      = define(503, "connection_failed", zapcore.DebugLevel, "a caller's connection failed or sent something that is not a valid request")
	RequestServed         = define(510, "request_served", zapcore.InfoLevel, "a request was answered by a target; status is the status that the target returned; where costs are weighed, predicted_ms is the predicted time to the end of the response, work_factor how long work took on the target relative to the usual duration, predicted_tokens and tokens the predicted and the counted output, predicted_run_ms the run time at usual speed")
	RequestRefused        = define(511, "request_refused", zapcore.WarnLevel, "a request was answered with an error of this system; not_run tells whether it is certain that no target started it; not_repeated tells why one that may have run was not sent to another target: not_repeatable, attempts or sends (as many as its route or this system allows), retry_budget, trial, or other (time or targets)")
	RequestCancelled      = define(512, "request_cancelled", zapcore.InfoLevel, "the caller disconnected; the request was cancelled on the target")
	StreamCut             = define(513, "stream_cut", zapcore.WarnLevel, "a stream was interrupted and could not continue from another target; the caller's connection was closed")
	TargetFailed          = define(514, "target_broke", zapcore.WarnLevel, "a request to a target failed; blocks are the first ids of the prompt blocks that other requests may share, streamed_ms is how long the response had been arriving, not_sent tells that the target got nothing of the request")
	TargetDeclined        = define(515, "target_declined", zapcore.InfoLevel, "a target reported that it did not execute the request")
	WaitEnded             = define(523, "wait_ended", zapcore.InfoLevel, "a request that may be repeated goes to another target, because waiting longer for the response of this one was expected to cost the caller more; stage is what was awaited, state is answering if the target answered other requests meanwhile, silent if no instance has heard from it lately, else not_heard")
	ShortageBegan         = define(524, "shortage_began", zapcore.WarnLevel, "the targets of a service have about as much work as they can do (pressure 1 and more); this instance refuses the less urgent requests, and those of workspaces above their fair share, until the pressure falls")
	ShortageEnded         = define(525, "shortage_ended", zapcore.InfoLevel, "the targets of a service have capacity again; requests are sent at once")
	TargetUpdated         = define(407, "target_heard", zapcore.InfoLevel, "a target sent its first heartbeat or its state changed; software_version is empty if this start of it named none that can be understood, or several (version_disputed)")
	DomainUnreachable     = define(408, "domain_silent", zapcore.WarnLevel, "targets of another failure domain did not answer connection attempts; all of its targets are avoided for rest_ms")
	TargetLeaving         = define(411, "target_leaving", zapcore.InfoLevel, "a target stated in a response that it is about to end; it receives no new requests until it has started again")
	TargetPaused          = define(412, "target_paused", zapcore.InfoLevel, "a target that turned a request away asked for a pause; this instance sends it nothing for pause_ms; bounded tells that it asked for another time, or for one that cannot be understood")
	TargetLimited         = define(415, "target_limited", zapcore.InfoLevel, "a target named another rate limit in a response than before, per_second for all instances together, or none any more (named is false)")
	TargetRefused         = define(419, "target_refused", zapcore.WarnLevel, "a heartbeat or deregistration was refused, because no target can have sent it; error says which field is wrong; after the first lines one each second is logged, and the counter target_calls_refused has all")
	RowsRefused           = define(420, "rows_refused", zapcore.WarnLevel, "another instance sent count rows of targets that cannot be used; the other rows are; error is the reason of the first")
	LeaveUnconfirmed      = define(421, "leave_unconfirmed", zapcore.WarnLevel, "a target announced that it leaves; this instance holds that, but too few other control instances confirmed that they do, so the target got no acknowledgement")
	LeaveNotSaved         = define(422, "leave_not_saved", zapcore.WarnLevel, "the leaves of targets could not be written to this control instance's disk or read from it; they are held in memory, and other control instances have them on disk")
	TargetLimitInvalid    = define(416, "target_limit_invalid", zapcore.WarnLevel, "a target named a rate limit that cannot be understood; what was known before holds")
	LimitReported         = define(418, "limit_reported", zapcore.InfoLevel, "another instance was told of a rate limit of a target, or of its end, age_ms ago; it holds here as well")
	PermitRefused         = define(417, "permit_refused", zapcore.InfoLevel, "a request was not sent to a target whose rate limit is used up, for wait_ms nothing is sent there; reason exhausted: the control leader issued no permit; paced: this instance asked as often as it may; own_part: no leader answers, and this instance's part is used up; no_leader: no leader answers, and nothing is known to be left")
	TargetEjected         = define(409, "target_ejected", zapcore.WarnLevel, "a target reached the failure limit and receives no new requests for some time")
	DomainReachable       = define(410, "domain_back", zapcore.InfoLevel, "a target of an unreachable failure domain answers again")
	HoldOffEndedEarly     = define(210, "quiet_ended", zapcore.InfoLevel, "all voters have restarted, so the leader of the term has lost its lease; this voter ends its election hold-off early")
	DocumentSource        = define(310, "document_source", zapcore.InfoLevel, "configurations are now fetched from this control instance")
	DocumentUnconfirmed   = define(311, "document_unconfirmed", zapcore.WarnLevel, "a configuration could not be committed in time, or by this instance; the operator is told to send it again")
	BlockQuarantined      = define(517, "block_quarantined", zapcore.WarnLevel, "this instance refuses requests with the prompt block, or the request with the fingerprint, because targets crashed while they ran it; after trial_in_ms it lets one through")
	BlockReleased         = define(518, "block_released", zapcore.InfoLevel, "a request with the quarantined block was served, so the block is sound; requests with it are accepted again")
	BlockTried            = define(519, "block_tried", zapcore.InfoLevel, "the time of a quarantined block is over; this instance lets one request with it through")
	QuotaRefused          = define(520, "quota_refused", zapcore.InfoLevel, "a request was refused with 429 because the quota of its workspace is used up; per_second and burst are the limit over all instances, cost is what the request costs, used what this instance was granted in the last 8 s or, without a leader, has used since; reason exhausted: the control leader's bucket holds too little; held_off: the leader refused another request of the workspace a moment ago; own_part: no leader answers, and the share of this instance, in tokens a second, is used up; no_leader: no leader answers, and this instance does not know its share; after the first lines one each second is logged, and the counter quota_refused has all")
	BlockBlamed           = define(413, "block_blamed", zapcore.WarnLevel, "this control instance found that the block explains crashes of targets, and quarantines it; proven tells whether a request with it had been served before")
	BlockCleared          = define(414, "block_cleared", zapcore.InfoLevel, "this control instance ended the quarantine of a block: a request with it was served, or a target that was taken for crashed is alive")
	IdleTimeoutReduced    = define(516, "idle_time_cut", zapcore.WarnLevel, "a target had closed an idle connection; the idle timeout of connections is reduced for some time")
	CommandUnknown        = define(211, "command_unknown", zapcore.ErrorLevel, "this replica cannot read a committed command, which a newer release wrote; its state is behind from this index on, and it must be upgraded")
	VotersPlanned         = define(207, "voters_planned", zapcore.InfoLevel, "the leader changes the voter set; reason tells why")
	ReplicaInitialized    = define(208, "replica_founded", zapcore.InfoLevel, "a new data folder was initialised; founder tells whether the replica is an initial voter")
	ReplicaJoinRequested  = define(209, "replica_enrols", zapcore.InfoLevel, "this replica has no contact with a leader and requests to join the control group")
	DocumentAccepted      = define(306, "document_accepted", zapcore.InfoLevel, "an operator's configuration was committed or superseded")
	DocumentRefused       = define(307, "document_refused", zapcore.WarnLevel, "an operator's configuration is invalid; findings lists the errors")
	ControlLost           = define(308, "control_lost", zapcore.WarnLevel, "a poll of a control instance failed; responded is true if it answered, with an error or a response that cannot be read")
	ControlRestored       = define(309, "control_back", zapcore.InfoLevel, "a control instance answers again; restarted is true if another process of it answered before")
	TextUnencodable       = define(312, "text_unencodable", zapcore.ErrorLevel, "a response to another instance held text that is not UTF-8; the rows with it were left out; fields are the first of count such places")
	Behind                = define(313, "behind", zapcore.ErrorLevel, "this entry instance cannot read a committed configuration (unreadable_version), or the response of any control instance that answers; it reports that it is not ready and serves with what it has")
	CaughtUp              = define(314, "caught_up", zapcore.InfoLevel, "this entry instance can read the news of the control instances again")
	SettingsReloaded      = define(105, "settings_reloaded", zapcore.InfoLevel, "the settings file was reloaded")
	SettingsRefused       = define(107, "settings_refused", zapcore.ErrorLevel, "the changed settings file is invalid; the old settings stay in effect")
	LogLinesDropped       = define(108, "lines_left_out", zapcore.WarnLevel, "log lines were dropped because they exceeded the rate limit or the queue; total is their number since the start")
	ConnectionsFull       = define(109, "connections_full", zapcore.WarnLevel, "a listener has as many connections as it may have; closed is how many without a request were closed for new ones since the last report, pauses how often none could be and accepting paused; rate-limited")
	ClientEvicted         = define(521, "client_evicted", zapcore.WarnLevel, "a client made no progress for idle_ms and lost the memory that was held for it; kind is what it was held for; rate-limited")
	MemoryRefused         = define(522, "memory_refused", zapcore.WarnLevel, "a request was refused, or a connection closed, because the memory for clients is in use; bytes is what was missing; rate-limited")
	NoPeerKey             = define(106, "no_inner_key", zapcore.WarnLevel, "the settings name no peer key, so instances do not authenticate to each other; only the network restricts access")
	CounterBackupFailed   = define(601, "hold_failed", zapcore.WarnLevel, "no second instance stored a copy of the usage counters in time")
	FlushFailed           = define(603, "flush_failed", zapcore.WarnLevel, "a control instance did not take the last counters of started requests of this instance, which stops")
	WindowClosed          = define(602, "window_closed", zapcore.InfoLevel, "the totals of a usage window were committed")
	UsageOverdue          = define(423, "usage_overdue", zapcore.WarnLevel, "the report of a usage window was not acknowledged when it was due; closed is true if its figures are committed, complete if all instances had reported their counters; waits_for_lease is true if this leader, for lease_ms, waits for the end of the previous one's lease")
	ScaleDecided          = define(424, "scale_decided", zapcore.InfoLevel, "targets of a service are ordered by its demand; orders holds failure domain, kind and numbers before and after; the tokens to prefill are a second's, mean and peak those of 30 s, planned the peak expected by the time that new targets serve; steady is the number of targets that carry it, reduced the number needed without a failure domain, total the number to have; missing lists failure domains that are lost, or whose reclaimable targets are")
)

// Logger logs numbered events. It is safe for concurrent use.
type Logger struct {
	zap *zap.Logger
}

// New returns a logger that writes to the zap logger.
func New(z *zap.Logger) *Logger { return &Logger{zap: z} }

// Nop returns a logger that discards all events, for tests.
func Nop() *Logger { return New(zap.NewNop()) }

// Log logs the event with its number and the fields.
func (l *Logger) Log(k Kind, fields ...zap.Field) {
	fields = append([]zap.Field{zap.Int("event", k.number)}, fields...)
	l.zap.Log(k.level, k.name, fields...)
}

// Catalogue returns the catalogue as Markdown, ordered by event number.
func Catalogue() string {
	sorted := slices.Clone(catalogue)
	slices.SortFunc(sorted, func(a, b Kind) int { return a.number - b.number })
	var b strings.Builder
	b.WriteString("# Log events\n\nGenerated by `auburnscale reference events`; do not edit.\n\n")
	b.WriteString("| number | name | level | meaning |\n| --- | --- | --- | --- |\n")
	for _, k := range sorted {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s |\n", k.number, k.name, k.level, k.meaning)
	}
	return b.String()
}

// Standard returns a logger of the standard library whose lines are logged as
// ConnectionFailed events.
func (l *Logger) Standard() *log.Logger { return log.New(lineWriter{l}, "", 0) }

type lineWriter struct{ logger *Logger }

// Write logs one line as a ConnectionFailed event.
func (w lineWriter) Write(line []byte) (int, error) {
	w.logger.Log(ConnectionFailed, zap.String("detail", strings.TrimSpace(string(line))))
	return len(line), nil
}

// Printf logs a line of the HTTP library as a ConnectionFailed event.
func (l *Logger) Printf(format string, args ...any) {
	l.Log(ConnectionFailed, zap.String("detail", fmt.Sprintf(format, args...)))
}
