package watch

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"auburnscale/peer"
)

// leaveCopyTimeout bounds a copy. A target waits for a second, and then calls another instance.
const leaveCopyTimeout = 500 * time.Millisecond

// errRefusedRow means that a control instance did not take a row.
var errRefusedRow = errors.New("the row was refused")

// A LeaveCopier gives rows of targets that leave to other control instances, so that a leave outlives
// the instance that acknowledges it. Other rows need no copy: a target that serves repeats its
// heartbeats.
type LeaveCopier struct {
	self, domain string
	losses       int
	controls     Controls
	dialer       Dialer
}

// NewLeaveCopier returns a copier for the control instance with the peer address self in the failure
// domain. A leave must outlive the loss of that many instances at once, at least of this one.
func NewLeaveCopier(self, domain string, losses int, controls Controls, dialer Dialer) *LeaveCopier {
	return &LeaveCopier{self: self, domain: domain, losses: max(1, losses), controls: controls, dialer: dialer}
}

// Copy gives the row to all other control instances. It returns nil as soon as enough of them have it:
// as many as may be lost at once, and one in another failure domain if there is one. The others still
// get it. It returns an error if that does not happen in time.
func (c *LeaveCopier) Copy(ctx context.Context, row *peer.TargetRow) error {
	addresses := c.others()
	if len(addresses) == 0 {
		return nil
	}
	copies := &leaveCopies{copier: c, row: row, domains: c.controls.Domains(), results: make(chan copyResult, len(addresses))}
	// The copies go on after the leave has been acknowledged.
	background, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveCopyTimeout)
	for _, address := range addresses {
		copies.group.Add(1)
		go copies.run(background, address)
	}
	go func() { copies.group.Wait(); cancel() }()
	return copies.await(ctx, addresses)
}

// Alone reports whether there is no other control instance.
func (c *LeaveCopier) Alone() bool { return len(c.others()) == 0 }

func (c *LeaveCopier) others() []string {
	return slices.DeleteFunc(c.controls.Addresses(), func(a string) bool { return a == c.self })
}

// leaveCopies are the copies of one row.
type leaveCopies struct {
	copier  *LeaveCopier
	row     *peer.TargetRow
	domains map[string]string
	results chan copyResult
	group   sync.WaitGroup
}

type copyResult struct {
	address string
	err     error
}

// run gives the row to one control instance.
func (l *leaveCopies) run(ctx context.Context, address string) {
	defer l.group.Done()
	response, err := l.copier.dialer.Peer(address).KeepTargets(ctx, &peer.TargetRows{Rows: []*peer.TargetRow{l.row}})
	if err == nil && response.Kept == 0 {
		err = errRefusedRow
	}
	l.results <- copyResult{address, err}
}

// await returns nil once enough of the control instances have the row.
func (l *leaveCopies) await(ctx context.Context, addresses []string) error {
	missing := min(l.copier.losses, len(addresses))
	elsewhere := !slices.ContainsFunc(addresses, l.inAnotherDomain)
	var failures []error
	for range addresses {
		select {
		case result := <-l.results:
			if result.err != nil {
				failures = append(failures, fmt.Errorf("%s: %w", result.address, result.err))
				continue
			}
			missing--
			elsewhere = elsewhere || l.inAnotherDomain(result.address)
			if missing <= 0 && elsewhere {
				return nil
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return fmt.Errorf("too few other control instances have it: %w", errors.Join(failures...))
}

func (l *leaveCopies) inAnotherDomain(address string) bool {
	domain, known := l.domains[address]
	return known && domain != l.copier.domain
}
