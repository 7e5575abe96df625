package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"auburnscale/platform/standin"
)

// A caller sends one request after another over a persistent connection.
type caller struct {
	env    *env
	number int
	random *rand.Rand
	client *standin.Caller
	entry  *instance
	sent   int
}

const (
	callerTimeout = 2500 * time.Millisecond
	// maxCallerPause bounds the time between two requests of a caller.
	maxCallerPause = 60 * time.Millisecond
	// One in versionRouteInterval requests goes to the route that exists only in
	// the newest acknowledged version.
	versionRouteInterval = 8
	promptGroups         = 12
	// One in reconnectInterval requests goes to a newly selected entry instance.
	reconnectInterval = 20
)

func newCaller(e *env, n int) *caller {
	return &caller{
		env: e, number: n, random: rand.New(rand.NewPCG(e.config.Seed, uint64(firstCallerHost+n))),
		client: standin.NewCaller(e.ip(firstCallerHost + n)),
	}
}

func (c *caller) run(ctx context.Context) {
	defer c.client.Close()
	for ctx.Err() == nil {
		if c.entry == nil || c.random.IntN(reconnectInterval) == 0 {
			c.entry = c.env.loadBalancer.pick(c.random)
		}
		a := c.send(ctx)
		if ctx.Err() != nil {
			// The end of the run interrupted the request, so it is not recorded.
			return
		}
		c.env.history.attempt(a)
		if !a.Response.Complete {
			c.entry = nil
		}
		c.takeUp(ctx, a)
		c.env.sleep(ctx, time.Duration(c.random.Int64N(int64(maxCallerPause))))
	}
}

// newAttempt returns the next attempt, at the caller's entry instance.
func (c *caller) newAttempt() Attempt {
	c.sent++
	return Attempt{ID: fmt.Sprintf("r-%d-%d", c.number, c.sent), Entry: c.entry.name, Incarnation: c.entry.incarnation(), Started: time.Now()}
}

func (c *caller) send(ctx context.Context) Attempt {
	a := c.newAttempt()
	call := standin.Call{ID: a.ID, Host: hostName, Key: workspaceKey, Body: "a request", Wait: callerTimeout, PromptGroup: c.random.IntN(promptGroups)}
	routes := []string{"/orders/", "/reads/", "/streams/", "/tales/"}
	a.Route = routes[c.random.IntN(len(routes))]
	if c.random.IntN(versionRouteInterval) == 0 {
		a.Version = c.env.versions.newest()
		a.Route = versionRoute(a.Version)
	}
	call.Path = a.Route + "x"
	a.AtMostOnce = a.Route == "/orders/" || a.Route == "/streams/"
	call.HasPrompt = a.Route == "/streams/" || a.Route == "/tales/"
	a.Stream = call.HasPrompt
	if call.HasPrompt && c.env.hasCrashingBlock() && c.random.IntN(crashingInterval) == 0 {
		call.Block, a.CrashingBlock = crashingBlock, true
	}
	a.PromptGroup = call.PromptGroup
	a.Response = c.client.Do(ctx, c.env.at(c.entry.host, entryPort).String(), call)
	if a.Response.Status == http.StatusOK && a.Response.Complete {
		a.Defect = defectOf(a.Response, call)
	}
	return a
}

// defectOf says what is wrong with a complete response, or returns "".
func defectOf(a standin.Response, call standin.Call) string {
	err := a.CheckPlain(call.ID)
	if call.HasPrompt {
		err = standin.CheckStream(a.Body, streamEvents)
	}
	if err != nil {
		return err.Error()
	}
	return ""
}

// A loadBalancer represents the platform's load balancer, which sends new
// connections only to entry instances that pass its health checks.
type loadBalancer struct {
	env    *env
	mutex  sync.Mutex
	misses map[*instance]int
}

const (
	probeInterval = time.Second
	maxMisses     = 2
)

func newLoadBalancer(e *env) *loadBalancer {
	l := &loadBalancer{env: e, misses: map[*instance]int{}}
	for _, entry := range e.entries {
		l.misses[entry] = maxMisses
	}
	return l
}

func (l *loadBalancer) run(ctx context.Context) {
	client := l.env.client(platformHost)
	for ctx.Err() == nil {
		for _, e := range l.env.entries {
			l.probe(ctx, client, e)
		}
		l.env.sleep(ctx, probeInterval)
	}
}

func (l *loadBalancer) probe(ctx context.Context, client *http.Client, e *instance) {
	ctx, cancel := context.WithTimeout(ctx, probeInterval/4)
	defer cancel()
	ready := standin.Ready(ctx, client, l.env.at(e.host, readyPort).String())
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.misses[e]++
	if ready {
		l.misses[e] = 0
	}
}

func (l *loadBalancer) allHealthy() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, n := range l.misses {
		if n >= maxMisses {
			return false
		}
	}
	return true
}

// pick returns a random healthy entry instance, or any if none is healthy.
func (l *loadBalancer) pick(random *rand.Rand) *instance {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var candidates []*instance
	for _, e := range l.env.entries {
		if l.misses[e] < maxMisses {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		candidates = l.env.entries
	}
	return candidates[random.IntN(len(candidates))]
}

// A configReader reads the configuration from one control instance after another.
type configReader struct{ env *env }

const readInterval = 250 * time.Millisecond

func (r *configReader) run(ctx context.Context) {
	client := r.env.client(operatorHost)
	for n := 0; ctx.Err() == nil; n++ {
		control := r.env.controls[n%len(r.env.controls)]
		sent := time.Now()
		version, status, err := standin.ReadConfigurationVersion(ctx, client, r.env.at(control.host, operatorPort).String())
		if err == nil && status == http.StatusOK {
			r.env.history.read(ConfigRead{control.name, version, sent})
		}
		r.env.sleep(ctx, readInterval)
	}
}
