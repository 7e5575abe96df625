package watch

import (
	"context"
	"sync"
	"time"

	"auburnscale/clock"
	"auburnscale/peer"
)

const (
	// reportBatchDelay is how long a report waits for others: a target that crashes breaks off
	// many requests at once.
	reportBatchDelay = 15 * time.Millisecond
	// reportTimeout bounds the wait for a control instance.
	reportTimeout = 500 * time.Millisecond
	// reportRetryDelay is the time until a report that failed, or that was added while another
	// was under way, is sent.
	reportRetryDelay = 100 * time.Millisecond
	// reportBackoff is how long a control instance that did not answer gets no report.
	reportBackoff = 500 * time.Millisecond
)

// A SuspectSource holds what an instance has to report on suspect blocks.
type SuspectSource interface {
	// Changed returns a channel that receives when there may be something to report.
	Changed() <-chan struct{}
	// Report returns what the incarnation of a control instance does not have yet, or nil, and
	// the position for Sent. The incarnation is empty if it is unknown.
	Report(server string) (*peer.SuspectReport, uint64)
	// Sent records that the incarnation received the report.
	Sent(server string, report *peer.SuspectReport, position uint64)
	// Received takes over the list of an incarnation.
	Received(server string, list []*peer.SuspectBlock)
}

// A SuspectReporter sends an instance's reports on suspect blocks to all control instances as
// soon as there are any.
type SuspectReporter struct {
	incarnation string
	controls    func() map[string]string
	dialer      Dialer
	source      SuspectSource

	mutex sync.Mutex
	// servers holds the incarnations of the control instances that took reports, by address.
	servers map[string]string
	// busy holds the addresses to which a report is under way.
	busy map[string]bool
	// failedAt holds when the last report to an address failed, on clock.Now.
	failedAt map[string]time.Duration
	ctx      context.Context
	cancel   context.CancelFunc
	group    sync.WaitGroup
}

// NewSuspectReporter returns a reporter of the incarnation of an instance. controls returns the
// incarnations of the control instances by peer address, empty if unknown.
func NewSuspectReporter(incarnation string, controls func() map[string]string, dialer Dialer, source SuspectSource) *SuspectReporter {
	ctx, cancel := context.WithCancel(context.Background())
	return &SuspectReporter{incarnation: incarnation, controls: controls, dialer: dialer, source: source, servers: map[string]string{}, busy: map[string]bool{}, failedAt: map[string]time.Duration{}, ctx: ctx, cancel: cancel}
}

// Start sends reports in the background.
func (r *SuspectReporter) Start() {
	r.group.Add(1)
	go r.run()
}

// Stop ends the reporter and waits for it.
func (r *SuspectReporter) Stop() {
	r.cancel()
	r.group.Wait()
}

func (r *SuspectReporter) run() {
	defer r.group.Done()
	var retry <-chan time.Time
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.source.Changed():
			select {
			case <-r.ctx.Done():
				return
			case <-time.After(reportBatchDelay):
			}
		case <-retry:
		}
		retry = nil
		if r.sendAll() {
			retry = time.After(reportRetryDelay)
		}
	}
}

// sendAll starts to send reports to the control instances that lack something. It returns
// whether there were any.
func (r *SuspectReporter) sendAll() (pending bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for address, server := range r.controls() {
		if server == "" {
			server = r.servers[address]
		}
		report, position := r.source.Report(server)
		if report == nil {
			continue
		}
		pending = true
		if failed, ok := r.failedAt[address]; r.busy[address] || ok && clock.Now()-failed < reportBackoff {
			continue
		}
		r.busy[address] = true
		r.group.Go(func() { r.send(address, report, position) })
	}
	return pending
}

// send sends one report. An instance that does not answer gets it with the next attempt.
func (r *SuspectReporter) send(address string, report *peer.SuspectReport, position uint64) {
	report.Incarnation = r.incarnation
	ctx, cancel := context.WithTimeout(r.ctx, reportTimeout)
	defer cancel()
	list, err := r.dialer.Peer(address).ReportSuspects(ctx, report)
	r.mutex.Lock()
	delete(r.busy, address)
	if err == nil {
		r.servers[address] = list.Server
		delete(r.failedAt, address)
	} else {
		r.failedAt[address] = clock.Now()
	}
	r.mutex.Unlock()
	if err == nil {
		r.source.Sent(list.Server, report, position)
		r.source.Received(list.Server, list.Blocks)
	}
}
