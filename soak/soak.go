// Package soak runs the product's real programs as processes of one machine,
// injects faults from outside them, and checks what callers, targets, the
// platform and the operator see against the product's promises.
//
// It owns the drawn plan of faults, the forwarders that delay, hold, cut, reset
// or silence connections, and the checks. It must not import what it tests:
// targets, callers and the platform are stand-ins. Clocks cannot be moved from
// outside a process and disks cannot be filled, so that these two are left to
// tests with injected clocks and folders.
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

// A Config represents one run.
type Config struct {
	// Program is the path of the product's program.
	Program string
	// Folder takes settings, data and logs of the instances.
	Folder string
	Seed   uint64
	// Controls and Entries are the numbers of instances of each role.
	Controls, Entries int
	// Span is how long faults strike. What follows is time to recover.
	Span time.Duration
	// Patience stretches the bounds that a slow machine could break by itself;
	// 0 stands for 1. With more than 1 the recovery is waited for, not timed.
	Patience int
}

// bounds returns the promised bounds.
func (c Config) bounds() Bounds {
	b := promised
	factor := time.Duration(max(1, c.Patience))
	for _, d := range []*time.Duration{&b.Effect, &b.Downgrade, &b.Drain, &b.Grace, &b.Loss, &b.Thaw, &b.Recovery} {
		*d *= factor
	}
	return b
}

// promised is what the instances' settings say, and the platform's defaults.
var promised = Bounds{
	Contact: 3 * time.Second, Effect: 2 * time.Second, Downgrade: 250 * time.Millisecond, Drain: 2 * time.Second,
	Grace: 8 * time.Second, Loss: 200 * time.Millisecond, Lease: 3 * time.Second, Thaw: 300 * time.Millisecond, Recovery: 12 * time.Second,
}

const (
	// foundingTime bounds the wait for the first configuration.
	foundingTime = 30 * time.Second
	// afterRecovery is how long requests are judged after the recovery.
	afterRecovery = 3 * time.Second
	// retryPause is the time before a call is made again elsewhere.
	retryPause = 100 * time.Millisecond
)

// A Report represents what a run showed.
type Report struct {
	Seed     uint64
	Faults   []Fault
	Findings []Finding
	// Requests is the number of requests sent, Served those with a whole answer.
	Requests, Served int
	// Changes is the number of acknowledged configurations.
	Changes int
	Folder  string
}

// String returns the report as a few lines.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d faults, %d requests, %d served, %d changes acknowledged, %d findings", r.Seed, len(r.Faults), r.Requests, r.Served, r.Changes, len(r.Findings))
	for _, f := range r.Findings {
		fmt.Fprintf(&b, "\n  %s", f)
	}
	if len(r.Findings) > 0 {
		fmt.Fprintf(&b, "\n  logs: %s", r.Folder)
	}
	return b.String()
}

// Run plays one seed. It returns an error if the site could not be set up; what
// the product does wrong is in the report.
func Run(ctx context.Context, c Config) (Report, error) {
	report := Report{Seed: c.Seed, Folder: c.Folder, Faults: Plan(c.Seed, c.Span)}
	if err := os.MkdirAll(c.Folder, 0o700); err != nil {
		return report, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := newSite(c)
	if err != nil {
		return report, err
	}
	defer s.close()
	if err := s.found(ctx); err != nil {
		return report, err
	}
	s.traffic(ctx)
	s.play(ctx, report.Faults)
	s.heal(ctx)
	s.sleep(ctx, afterRecovery)
	cancel()
	s.group.Wait()
	h := s.collect()
	report.Findings = append(s.complaints, h.Check(c.bounds())...)
	report.Requests, report.Changes = len(h.Attempts), len(h.Acks)
	for _, a := range h.Attempts {
		if a.Answer.Status == 200 && a.Answer.Complete && a.Wrong == "" {
			report.Served++
		}
	}
	return report, nil
}
