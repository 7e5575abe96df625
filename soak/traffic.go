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

// A caller sends one request after the other over a connection that it keeps.
type caller struct {
	site   *site
	number int
	random *rand.Rand
	client *standin.Caller
	entry  *instance
	sent   int
}

const (
	callerWait = 2500 * time.Millisecond
	// callerPause bounds the time between two requests of a caller.
	callerPause = 60 * time.Millisecond
	// versionShare is one in how many requests asks for a version's own route.
	versionShare = 8
	subjects     = 12
	// moveShare is one in how many requests goes over a new connection.
	moveShare = 20
)

func newCaller(s *site, n int) *caller {
	return &caller{
		site: s, number: n, random: rand.New(rand.NewPCG(s.config.Seed, uint64(firstCaller+n))),
		client: standin.NewCaller(s.ip(firstCaller + n)),
	}
}

func (c *caller) run(ctx context.Context) {
	defer c.client.Close()
	for ctx.Err() == nil {
		if c.entry == nil || c.random.IntN(moveShare) == 0 {
			c.entry = c.site.rotation.pick(c.random)
		}
		a := c.ask(ctx)
		if ctx.Err() != nil {
			// The caller itself broke off.
			return
		}
		c.site.history.attempt(a)
		if !a.Answer.Complete {
			c.entry = nil
		}
		c.site.sleep(ctx, time.Duration(c.random.Int64N(int64(callerPause))))
	}
}

func (c *caller) ask(ctx context.Context) Attempt {
	c.sent++
	a := Attempt{ID: fmt.Sprintf("r-%d-%d", c.number, c.sent), Entry: c.entry.name, Incarnation: c.entry.incarnation(), Begun: time.Now()}
	call := standin.Call{ID: a.ID, Host: hostName, Key: workspaceKey, Body: "a request", Wait: callerWait, PromptGroup: c.random.IntN(subjects)}
	routes := []string{"/orders/", "/reads/", "/streams/", "/tales/"}
	a.Route = routes[c.random.IntN(len(routes))]
	if c.random.IntN(versionShare) == 0 {
		a.Version = c.site.versions.newest()
		a.Route = versionRoute(a.Version)
	}
	call.Path = a.Route + "x"
	a.Once = a.Route == "/orders/" || a.Route == "/streams/"
	call.HasPrompt = a.Route == "/streams/" || a.Route == "/tales/"
	a.Answer = c.client.Do(ctx, c.site.at(c.entry.host, entryPort).String(), call)
	if a.Answer.Status == http.StatusOK && a.Answer.Complete {
		a.Wrong = wrong(a.Answer, call)
	}
	return a
}

// wrong says what is wrong with a whole answer.
func wrong(a standin.Response, call standin.Call) string {
	err := a.CheckPlain(call.ID)
	if call.HasPrompt {
		err = a.CheckStream(streamEvents)
	}
	if err != nil {
		return err.Error()
	}
	return ""
}

// A rotation represents the platform's balancer: which entries take new
// connections.
type rotation struct {
	site   *site
	mutex  sync.Mutex
	misses map[*instance]int
}

const (
	balancerInterval = time.Second
	balancerMisses   = 2
)

func newRotation(s *site) *rotation {
	r := &rotation{site: s, misses: map[*instance]int{}}
	for _, e := range s.entries {
		r.misses[e] = balancerMisses
	}
	return r
}

func (r *rotation) run(ctx context.Context) {
	client := r.site.client(platformHost)
	for ctx.Err() == nil {
		for _, e := range r.site.entries {
			r.look(ctx, client, e)
		}
		r.site.sleep(ctx, balancerInterval)
	}
}

func (r *rotation) look(ctx context.Context, client *http.Client, e *instance) {
	ctx, cancel := context.WithTimeout(ctx, balancerInterval/4)
	defer cancel()
	ready := standin.Ready(ctx, client, r.site.at(e.host, readyPort).String())
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.misses[e]++
	if ready {
		r.misses[e] = 0
	}
}

func (r *rotation) all() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, n := range r.misses {
		if n >= balancerMisses {
			return false
		}
	}
	return true
}

// pick returns an entry that takes new connections, or any if none does.
func (r *rotation) pick(random *rand.Rand) *instance {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var in []*instance
	for _, e := range r.site.entries {
		if r.misses[e] < balancerMisses {
			in = append(in, e)
		}
	}
	if len(in) == 0 {
		in = r.site.entries
	}
	return in[random.IntN(len(in))]
}

// A reader reads the configuration back at one control instance after the other.
type reader struct{ site *site }

const readInterval = 250 * time.Millisecond

func (r *reader) run(ctx context.Context) {
	client := r.site.client(operatorHost)
	for n := 0; ctx.Err() == nil; n++ {
		control := r.site.controls[n%len(r.site.controls)]
		sent := time.Now()
		version, status, err := standin.ReadConfigurationVersion(ctx, client, r.site.at(control.host, operatorPort).String())
		if err == nil && status == http.StatusOK {
			r.site.history.reading(Reading{control.name, version, sent})
		}
		r.site.sleep(ctx, readInterval)
	}
}
