// Package soak runs the real programs as processes of one host, injects faults
// from outside them, and checks what callers, targets, the platform and the
// operator observe against the system's invariants.
//
// It owns the fault plan, which is drawn from a seed, the forwarders that delay,
// hold, partition, reset or stall connections, and the checks. It must not import
// what it tests: targets, callers and the platform are stand-ins. It covers no
// clock shifts and no full disks, because neither can be injected from outside a
// process; tests with injected clocks and folders cover them.
//
// # Usage
//
//	report, err := soak.Run(ctx, soak.Config{Program: "bin/auburnscale", Folder: dir, Seed: 7, Controls: 3, Entries: 4, Span: 15 * time.Second})
//	for _, finding := range report.Findings { … }
package soak

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"
)

// A Config holds the parameters of one run.
type Config struct {
	// Program is the path of the auburnscale binary.
	Program string
	// Folder is the directory for settings, data and logs of the instances.
	Folder string
	Seed   uint64
	// Controls and Entries are the numbers of control and entry instances.
	Controls, Entries int
	// Span is the time in which faults are injected. The recovery follows it.
	Span time.Duration
	// TimeoutFactor multiplies the bounds that a slow host could exceed without
	// a fault of the system; 0 stands for 1. With a factor above 1 the run goes
	// on as soon as the system has recovered, at most after the multiplied
	// recovery time; otherwise it waits for the whole recovery time.
	TimeoutFactor int
}

// bounds returns the configured bounds, multiplied by TimeoutFactor where it
// applies.
func (c Config) bounds() Bounds {
	b := configuredBounds
	factor := time.Duration(max(1, c.TimeoutFactor))
	for _, d := range []*time.Duration{&b.Effect, &b.Downgrade, &b.Drain, &b.Grace, &b.CloseRace, &b.LateArrival, &b.Recovery, &b.UsageDue, &b.UsageEdge} {
		*d *= factor
	}
	return b
}

// configuredBounds holds the values of the instances' settings and the platform's
// defaults.
var configuredBounds = Bounds{
	Contact: 3 * time.Second, Effect: 2 * time.Second, Downgrade: 250 * time.Millisecond, Drain: 2 * time.Second,
	Grace: 8 * time.Second, CloseRace: 200 * time.Millisecond, Lease: 3 * time.Second, LateArrival: 300 * time.Millisecond, Recovery: 12 * time.Second,
	RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetrySlack: 50,
	UsageWindow: 2 * time.Second, UsageDue: 6 * time.Second, UsageEdge: 100 * time.Millisecond,
}

const (
	// bootstrapTimeout bounds the wait for the first configuration.
	bootstrapTimeout = 30 * time.Second
	// observationTime is how long requests are checked after the recovery.
	observationTime = 3 * time.Second
	// retryDelay is the time before a call is retried on another instance.
	retryDelay = 100 * time.Millisecond
)

// A Report represents the result of a run.
type Report struct {
	Seed     uint64
	Faults   []Fault
	Findings []Finding
	// Requests is the number of requests sent, Served the number of those with a
	// complete, correct response of status 200.
	Requests, Served int
	// TakeUps is the number of streams that callers took up, WentOn the number of those that
	// went on to their end.
	TakeUps, WentOn int
	// Changes is the number of acknowledged configuration changes.
	Changes int
	Folder  string
	// Notes lists the connections that the soak reset without an injected fault.
	Notes []string
}

// String returns a summary line, one line per finding, and the folder with the logs
// if there are findings.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d faults, %d requests, %d served, %d streams taken up, %d of them went on, %d changes acknowledged, %d findings", r.Seed, len(r.Faults), r.Requests, r.Served, r.TakeUps, r.WentOn, r.Changes, len(r.Findings))
	for _, f := range r.Findings {
		fmt.Fprintf(&b, "\n  %s", f)
	}
	if len(r.Findings) > 0 {
		for _, note := range r.Notes {
			fmt.Fprintf(&b, "\n  note: %s", note)
		}
		fmt.Fprintf(&b, "\n  logs: %s", r.Folder)
	}
	return b.String()
}

// Run runs the fault plan of one seed. It returns an error if the system and its
// stand-ins could not be set up. Violated invariants are findings in the report, not
// errors.
func Run(ctx context.Context, c Config) (Report, error) {
	report := Report{Seed: c.Seed, Folder: c.Folder, Faults: Plan(c.Seed, c.Span)}
	if err := os.MkdirAll(c.Folder, 0o700); err != nil {
		return report, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e, err := newEnv(c)
	if err != nil {
		return report, err
	}
	defer e.close()
	if err := e.bootstrap(ctx); err != nil {
		return report, err
	}
	e.startTraffic(ctx)
	e.limitTargets(ctx)
	e.killAllEntries(ctx)
	e.injectFaults(ctx, report.Faults)
	e.awaitRecovery(ctx)
	e.sleep(ctx, observationTime)
	cancel()
	e.group.Wait()
	h := e.collect()
	report.Findings = append(e.findings, h.Check(c.bounds())...)
	report.Requests, report.Changes = len(h.Attempts), len(h.Acks)
	report.Notes = e.network.notes()
	report.TakeUps = len(h.TakeUps)
	for _, u := range h.TakeUps {
		if u.Whole {
			report.WentOn++
		}
	}
	for _, a := range h.Attempts {
		if a.Response.Status == 200 && a.Response.Complete && a.Defect == "" {
			report.Served++
		}
	}
	return report, nil
}
