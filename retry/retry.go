// Package retry decides whether a request that failed on one target may be retried
// on another, how long to wait for a target, and which targets get no requests for a
// while.
//
// It contains the retry budgets of workspaces and of the whole fleet, the circuit
// breakers of targets, the observed times of targets, and the quarantine of requests
// under which targets fail. It
// must not know how requests are sent: its caller knows whether any byte of a request
// has been sent.
//
// # Usage
//
//	budget := retry.NewBudget("budget", 0.1)
//	budget.Deposit("guild")
//	if budget.TrySpend("guild", attempt) { ... }
//
//	wait := waiting.Begin("lm", "lm", "engine-3", retry.PrefillStage, estimate, now)
//	if wait.KeepWaiting(conditions, now) == 0 && wait.TryAbandon() { ... }
package retry

import (
	"sync"
	"time"
)

const (
	// MaxAttempts is the maximum number of dispatches of one request.
	MaxAttempts = 4
	// fixedAttempts is the maximum number of dispatches with the baseline policy
	// "three_times": the first one and three retries.
	fixedAttempts = 4
	// maxBalance is the maximum number of retries that a workspace can accumulate. A
	// workspace starts with that many.
	maxBalance = 10.0
)

// A Budget holds the retries that each workspace may still use. Each request adds a
// fraction of a retry, so that retries stay a fixed fraction of the load when every
// request fails.
type Budget struct {
	fixedRetries bool
	share        float64
	mutex        sync.Mutex
	balances     map[string]float64
}

// NewBudget returns a budget with the named policy, "budget" or "three_times". With
// "budget", each request adds share retries.
func NewBudget(policy string, share float64) *Budget {
	return &Budget{fixedRetries: policy == "three_times", share: share, balances: map[string]float64{}}
}

// Deposit adds the share of one request to the workspace's budget. It is called at the
// first dispatch of a request.
func (b *Budget) Deposit(workspace string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	balance, known := b.balances[workspace]
	if !known {
		balance = maxBalance
	}
	b.balances[workspace] = min(maxBalance, balance+b.share)
}

// TrySpend reports whether a request of the workspace may be dispatched once more
// after the given number of attempts, and if so takes a retry from the budget.
func (b *Budget) TrySpend(workspace string, attempts int) bool {
	if b.fixedRetries {
		return attempts < fixedAttempts
	}
	if attempts >= MaxAttempts {
		return false
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.balances[workspace] < 1 {
		return false
	}
	b.balances[workspace]--
	return true
}

const (
	// failureThreshold is the number of failures in a row that ejects a target.
	failureThreshold = 3
	// initialEjection is the duration of a first ejection. It doubles with each
	// ejection in a row, up to maxEjection.
	initialEjection = time.Second
	maxEjection     = 30 * time.Second
	// maxEjectedRatio is the fraction of a service's targets that may be ejected.
	maxEjectedRatio = 0.5
)

// A Breaker is the circuit breaker for the targets of one service. It ejects targets
// that fail repeatedly, but never more than maxEjectedRatio of them: if most fail, the
// fault is likely elsewhere.
type Breaker struct {
	mutex   sync.Mutex
	targets map[string]*targetHealth
}

type targetHealth struct {
	failures     int
	ejections    int
	ejectedUntil time.Time
}

// NewBreaker returns a breaker with no ejected targets.
func NewBreaker() *Breaker { return &Breaker{targets: map[string]*targetHealth{}} }

// Success closes the breaker for the target.
func (b *Breaker) Success(target string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.targets, target)
}

// Failure counts a failure of one of total targets. It ejects the target if it has
// failed too often and not too many targets are ejected, and reports whether it did.
func (b *Breaker) Failure(target string, total int, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	h := b.targets[target]
	if h == nil {
		h = &targetHealth{}
		b.targets[target] = h
	}
	h.failures++
	if h.failures < failureThreshold || now.Before(h.ejectedUntil) || b.ejectedLocked(now)+1 > int(maxEjectedRatio*float64(total)) {
		return false
	}
	h.ejectedUntil = now.Add(min(maxEjection, initialEjection<<min(h.ejections, 5)))
	h.ejections++
	// The next failure after the ejection ejects the target again.
	h.failures = failureThreshold - 1
	return true
}

// Ejected reports whether the target is ejected at the given time.
func (b *Breaker) Ejected(target string, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	h := b.targets[target]
	return h != nil && now.Before(h.ejectedUntil)
}

func (b *Breaker) ejectedLocked(now time.Time) int {
	count := 0
	for _, h := range b.targets {
		if now.Before(h.ejectedUntil) {
			count++
		}
	}
	return count
}
