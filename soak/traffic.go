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
	promptSubjects       = 12
	// One in reconnectInterval requests goes to a newly selected entry instance.
	reconnectInterval = 20
)

func newCaller(s *env, n int) *caller {
	return &caller{
		env: s, number: n, random: rand.New(rand.NewPCG(s.config.Seed, uint64(firstCallerHost+n))),
		client: standin.NewCaller(s.ip(firstCallerHost + n)),
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
		if !a.Response.Whole {
			c.entry = nil
		}
		c.env.sleep(ctx, time.Duration(c.random.Int64N(int64(maxCallerPause))))
	}
}

func (c *caller) send(ctx context.Context) Attempt {
	c.sent++
	a := Attempt{ID: fmt.Sprintf("r-%d-%d", c.number, c.sent), Entry: c.entry.name, Incarnation: c.entry.incarnation(), Started: time.Now()}
	call := standin.Call{ID: a.ID, Host: hostName, Key: workspaceKey, Body: "a request", Wait: callerTimeout, Subject: c.random.IntN(promptSubjects)}
	routes := []string{"/orders/", "/reads/", "/streams/", "/tales/"}
	a.Route = routes[c.random.IntN(len(routes))]
	if c.random.IntN(versionRouteInterval) == 0 {
		a.Version = c.env.versions.newest()
		a.Route = versionRoute(a.Version)
	}
	call.Path = a.Route + "x"
	a.AtMostOnce = a.Route == "/orders/" || a.Route == "/streams/"
	call.Prompted = a.Route == "/streams/" || a.Route == "/tales/"
	a.Response = c.client.Do(ctx, c.env.at(c.entry.host, entryPort).String(), call)
	if a.Response.Status == http.StatusOK && a.Response.Whole {
		a.Defect = defectOf(a.Response, call)
	}
	return a
}

// defectOf says what is wrong with a complete response, or returns "".
func defectOf(a standin.Answer, call standin.Call) string {
	err := a.CheckPlain(call.ID)
	if call.Prompted {
		err = a.CheckStream(streamEvents)
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

func newLoadBalancer(s *env) *loadBalancer {
	r := &loadBalancer{env: s, misses: map[*instance]int{}}
	for _, e := range s.entries {
		r.misses[e] = maxMisses
	}
	return r
}

func (r *loadBalancer) run(ctx context.Context) {
	client := r.env.client(platformHost)
	for ctx.Err() == nil {
		for _, e := range r.env.entries {
			r.probe(ctx, client, e)
		}
		r.env.sleep(ctx, probeInterval)
	}
}

func (r *loadBalancer) probe(ctx context.Context, client *http.Client, e *instance) {
	ctx, cancel := context.WithTimeout(ctx, probeInterval/4)
	defer cancel()
	ready := standin.Ready(ctx, client, r.env.at(e.host, readyPort).String())
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.misses[e]++
	if ready {
		r.misses[e] = 0
	}
}

func (r *loadBalancer) allHealthy() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, n := range r.misses {
		if n >= maxMisses {
			return false
		}
	}
	return true
}

// pick returns a random healthy entry instance, or any if none is healthy.
func (r *loadBalancer) pick(random *rand.Rand) *instance {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var in []*instance
	for _, e := range r.env.entries {
		if r.misses[e] < maxMisses {
			in = append(in, e)
		}
	}
	if len(in) == 0 {
		in = r.env.entries
	}
	return in[random.IntN(len(in))]
}

// A configReader reads the configuration from one control instance after another.
type configReader struct{ env *env }

const readInterval = 250 * time.Millisecond

func (r *configReader) run(ctx context.Context) {
	client := r.env.client(operatorHost)
	for n := 0; ctx.Err() == nil; n++ {
		control := r.env.controls[n%len(r.env.controls)]
		sent := time.Now()
		version, status, err := standin.Read(ctx, client, r.env.at(control.host, operatorPort).String())
		if err == nil && status == http.StatusOK {
			r.env.history.read(ConfigRead{control.name, version, sent})
		}
		r.env.sleep(ctx, readInterval)
	}
}
