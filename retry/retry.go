// Package retry decides whether a request that failed on one target may be tried
// on another, and which targets are left alone for a while.
//
// It owns the retry budgets of workspaces and the breakers of targets. It must
// not know how requests are sent; the caller of this package says whether a
// byte has left.
//
// # Usage
//
//	budget := retry.NewBudget("budget", 0.1)
//	budget.Earn("guild")
//	if budget.Spend("guild", attempt) { ... }
package retry

import (
	"sync"
	"time"
)

const (
	// MaxAttempts bounds the dispatches of one request.
	MaxAttempts = 4
	// baselineAttempts is the baseline's bound: the first and three retries.
	fixedAttempts = 4
	// maxSavings bounds what a quiet workspace saves up.
	maxBalance = 10.0
)

// A Budget represents the retries that each workspace may still use. A request
// earns a share of a retry, so that retries stay a fixed share of the load when
// everything fails.
type Budget struct {
	fixedRetries bool
	share        float64
	mutex        sync.Mutex
	balances     map[string]float64
}

// NewBudget returns the budget of the named policy, "budget" or "three_times".
func NewBudget(policy string, share float64) *Budget {
	return &Budget{fixedRetries: policy == "three_times", share: share, balances: map[string]float64{}}
}

// Earn counts a first dispatch of the workspace.
func (b *Budget) Deposit(workspace string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	saved, known := b.balances[workspace]
	if !known {
		saved = maxBalance
	}
	b.balances[workspace] = min(maxBalance, saved+b.share)
}

// Spend reports whether the workspace may have another dispatch after so many,
// and takes it from the budget.
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
	// openAfter is the number of failures in a row that ejects a target.
	failureThreshold = 3
	// firstEjection doubles with each ejection in a row, up to maxEjection.
	initialEjection = time.Second
	maxEjection     = 30 * time.Second
	// maxEjected is the share of a service's targets that may be ejected.
	maxEjectedRatio = 0.5
)

// A Breaker represents the ejected targets of one service. It never ejects more
// than a share of them: if most fail, the fault is likely elsewhere.
type Breaker struct {
	mutex   sync.Mutex
	targets map[string]*targetHealth
}

type targetHealth struct {
	failures  int
	ejections int
	until     time.Time
}

// NewBreaker returns a breaker that has ejected nobody.
func NewBreaker() *Breaker { return &Breaker{targets: map[string]*targetHealth{}} }

// Success closes the breaker of the target.
func (b *Breaker) Success(target string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.targets, target)
}

// Failure counts a failure of one of total targets and ejects it if it is one
// too many and the share allows. It returns true if it did.
func (b *Breaker) Failure(target string, total int, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	h := b.targets[target]
	if h == nil {
		h = &targetHealth{}
		b.targets[target] = h
	}
	h.failures++
	if h.failures < failureThreshold || now.Before(h.until) || b.ejectedLocked(now)+1 > int(maxEjectedRatio*float64(total)) {
		return false
	}
	h.until = now.Add(min(maxEjection, initialEjection<<min(h.ejections, 5)))
	h.ejections++
	h.failures = failureThreshold - 1
	return true
}

// Ejected reports whether the target is left alone at the time.
func (b *Breaker) Ejected(target string, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	h := b.targets[target]
	return h != nil && now.Before(h.until)
}

func (b *Breaker) ejectedLocked(now time.Time) int {
	count := 0
	for _, h := range b.targets {
		if now.Before(h.until) {
			count++
		}
	}
	return count
}
