// Package event names what the processes log. Each event has a number that
// stays the same over versions; docs/EVENTS.md is generated from the catalogue.
//
// It owns the catalogue and the logger. It must not import any package that logs.
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

// A Kind represents one numbered event.
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

// The events. Hundreds group them: 1 process, 2 quorum, 3 configuration,
// 4 outward actions, 5 requests, 6 usage.
var (
	Started           = define(101, "started", zapcore.InfoLevel, "the process listens on all its addresses")
	Stopping          = define(102, "stopping", zapcore.InfoLevel, "a planned stop began; the instance says it is not ready and finishes its requests")
	Stopped           = define(103, "stopped", zapcore.InfoLevel, "the process ends; open tells how many requests were still open")
	ListenerFailed    = define(104, "listener_failed", zapcore.ErrorLevel, "a listener ended by itself; the process stops")
	LeaderElected     = define(201, "leader_elected", zapcore.InfoLevel, "this voter became the leader of the term")
	LeaderLost        = define(202, "leader_lost", zapcore.InfoLevel, "this voter is no longer the leader")
	SnapshotSaved     = define(203, "snapshot_saved", zapcore.InfoLevel, "the log was compacted into a snapshot")
	SnapshotTaken     = define(204, "snapshot_installed", zapcore.InfoLevel, "this voter lagged and took the leader's snapshot")
	StorageFailed     = define(205, "storage_failed", zapcore.ErrorLevel, "the data folder cannot be written; this voter takes no further part until it is restarted")
	VotersChanged     = define(206, "voters_changed", zapcore.InfoLevel, "an operator changed the voter set")
	ConfigInForce     = define(301, "configuration_in_force", zapcore.InfoLevel, "this instance decides by the version from now on")
	ConfigurationRefused     = define(302, "configuration_refused", zapcore.ErrorLevel, "a committed configuration does not pass this version's checks; the last one stays in force")
	ContactLost       = define(303, "contact_lost", zapcore.WarnLevel, "no control leader answered for the freshness bound; keyed requests are refused except for workspaces at home here")
	ContactRestored       = define(304, "contact_back", zapcore.InfoLevel, "a control leader answers again")
	InstanceJoined    = define(305, "instance_joined", zapcore.InfoLevel, "an instance, or a new incarnation of it, is known to the control group")
	ActionSent        = define(401, "action_sent", zapcore.InfoLevel, "an outward action was answered")
	ActionUnanswered  = define(402, "action_unanswered", zapcore.WarnLevel, "an outward action got no answer; the same content is sent again")
	ActionRefused     = define(403, "action_refused", zapcore.WarnLevel, "an outward action may not be taken now; detail says why")
	TargetUp          = define(404, "target_up", zapcore.InfoLevel, "a target answers its load report")
	TargetDown        = define(405, "target_down", zapcore.WarnLevel, "a target stopped answering; it gets no new work")
	TargetUnknown     = define(406, "target_unknown", zapcore.WarnLevel, "a process announced itself that the inventory does not hold; it gets no work")
	RequestQuarantine = define(501, "request_quarantined", zapcore.WarnLevel, "a request was in flight when two targets crashed; it is refused for a while")
	StreamResumed     = define(502, "stream_resumed", zapcore.InfoLevel, "a broken stream goes on from another target at the token where it broke")
	ConnectionFailed  = define(503, "connection_failed", zapcore.DebugLevel, "a caller's connection broke or sent what is no request")
	RequestServed     = define(510, "request_served", zapcore.InfoLevel, "a request was answered by a target; status is the target's own")
	RequestRefused    = define(511, "request_refused", zapcore.WarnLevel, "a request got an answer of this system; not_run says whether a target can have begun it")
	RequestCancelled  = define(512, "request_cancelled", zapcore.InfoLevel, "the caller left; the target's run was cancelled")
	StreamCut         = define(513, "stream_cut", zapcore.WarnLevel, "a stream ended before its end and could not go on elsewhere; the caller's connection was closed")
	TargetFailed       = define(514, "target_broke", zapcore.WarnLevel, "an exchange with a target failed")
	TargetDeclined    = define(515, "target_declined", zapcore.InfoLevel, "a target stated that it did not run the request")
	TargetUpdated       = define(407, "target_heard", zapcore.InfoLevel, "a target announced itself or its state changed")
	DomainUnreachable      = define(408, "domain_silent", zapcore.WarnLevel, "targets of another failure domain answered no connection; all of them rest for rest_ms")
	TargetEjected     = define(409, "target_ejected", zapcore.WarnLevel, "a target failed once too often and gets no new work for a while")
	DomainReachable        = define(410, "domain_back", zapcore.InfoLevel, "a target of a failure domain that was silent answers again")
	HoldOffEndedEarly        = define(210, "quiet_ended", zapcore.InfoLevel, "every voter of the term has restarted, so that this one votes at once")
	DocumentSource    = define(310, "document_source", zapcore.InfoLevel, "configurations come from this control instance from now on")
	IdleTimeoutReduced       = define(516, "idle_time_cut", zapcore.WarnLevel, "a target had dropped an idle connection; idle connections are used for a shorter time for a while")
	VotersPlanned     = define(207, "voters_planned", zapcore.InfoLevel, "the leader changes the voter set; reason says why")
	ReplicaInitialized    = define(208, "replica_founded", zapcore.InfoLevel, "this data folder is new; founder tells whether it belongs to the first voters")
	ReplicaJoinRequested     = define(209, "replica_enrols", zapcore.InfoLevel, "this replica hears no leader and asks to take part")
	DocumentAccepted  = define(306, "document_accepted", zapcore.InfoLevel, "an operator's configuration is committed or was overtaken")
	DocumentRefused   = define(307, "document_refused", zapcore.WarnLevel, "an operator's configuration is invalid; findings say where")
	ControlLost       = define(308, "control_lost", zapcore.WarnLevel, "a control instance does not answer")
	ControlRestored       = define(309, "control_back", zapcore.InfoLevel, "a control instance answers again")
	SettingsReloaded  = define(105, "settings_reloaded", zapcore.InfoLevel, "the settings file was read again")
	SettingsRefused   = define(107, "settings_refused", zapcore.ErrorLevel, "the changed settings file has findings; the old settings stay in force")
	LogLinesDropped      = define(108, "lines_left_out", zapcore.WarnLevel, "log lines exceeded the rate or the queue; total counts them since the start")
	NoPeerKey        = define(106, "no_inner_key", zapcore.WarnLevel, "instances do not authenticate to each other, since the settings name no key; only the network keeps others out")
	CounterBackupFailed        = define(601, "hold_failed", zapcore.WarnLevel, "no second instance took a copy of the usage counters in time")
	WindowClosed      = define(602, "window_closed", zapcore.InfoLevel, "a usage window's figures are committed")
)

// Logger writes numbered events. It is safe for concurrent use.
type Logger struct {
	zap *zap.Logger
}

// New returns a logger over the zap logger.
func New(z *zap.Logger) *Logger { return &Logger{zap: z} }

// Nop returns a logger that drops everything, for tests.
func Nop() *Logger { return New(zap.NewNop()) }

// Log writes the event with its number and the fields.
func (l *Logger) Log(k Kind, fields ...zap.Field) {
	fields = append([]zap.Field{zap.Int("event", k.number)}, fields...)
	l.zap.Log(k.level, k.name, fields...)
}

// Catalogue returns the events as Markdown, in the order of their numbers.
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

// Standard returns a logger of the standard library that writes numbered events.
func (l *Logger) Standard() *log.Logger { return log.New(lineWriter{l}, "", 0) }

type lineWriter struct{ logger *Logger }

// Write logs the line.
func (w lineWriter) Write(line []byte) (int, error) {
	w.logger.Log(ConnectionFailed, zap.String("detail", strings.TrimSpace(string(line))))
	return len(line), nil
}

// Printf logs a line of the HTTP library as a numbered event.
func (l *Logger) Printf(format string, args ...any) {
	l.Log(ConnectionFailed, zap.String("detail", fmt.Sprintf(format, args...)))
}
