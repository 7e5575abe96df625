package serve

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	fleetstandin "auburnscale/platform/standin"
	"auburnscale/standin"
)

const (
	// limitSettleTime is the time after a target first named a limit from which the limit holds.
	limitSettleTime = 3 * time.Second
	limitTestTime   = 14 * time.Second
)

// A steadyCaller sends requests to one entry instance at a steady rate until the context ends.
type steadyCaller struct {
	fleet    *testFleet
	host     int
	interval time.Duration
	ok       *atomic.Int64
	other    *atomic.Int64
	group    *sync.WaitGroup
}

func (c *steadyCaller) run(ctx context.Context) {
	defer c.group.Done()
	ticker := time.NewTicker(c.interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		id := fmt.Sprintf("s%d-%d", c.host, n)
		status, _, err := c.fleet.call("POST", c.fleet.address(c.host, fleetEntryPort), "/orders/", "an order", "Authorization", "Bearer k1", "X-Request-Id", id, "X-Deadline-Ms", "3000")
		if err == nil && status == 200 {
			c.ok.Add(1)
		} else {
			c.other.Add(1)
		}
	}
}

// TestLimitHoldsOverAllInstances checks that a target that names a rate limit gets no more than
// that from nine entry instances together, and about as much, while another target of the
// service takes the rest. Without a common count each instance would send it its own share.
func TestLimitHoldsOverAllInstances(t *testing.T) {
	const entries, perSecond = 9, 2.0
	f := newTestFleet(t)
	for host := 1; host <= 3; host++ {
		f.startControl(host)
	}
	for host := 10; host < 10+entries; host++ {
		f.startEntry(host)
	}
	f.replace(1, 1, "/orders/")
	targets := []*fleetstandin.Target{fleetstandin.NewTarget("e1"), fleetstandin.NewTarget("e2")}
	for i, target := range targets {
		require.NoError(t, target.Listen(f.address(40+i, 8000)))
		t.Cleanup(target.Close)
		f.heartbeat(1, target, "ready", 1)
	}
	for host := 10; host < 10+entries; host++ {
		f.awaitServed(host, "/orders/")
	}
	// The target that the instances prefer is limited.
	limited := targets[0]
	if len(limited.Seen()) < len(targets[1].Seen()) {
		limited = targets[1]
	}
	limited.SetLimit(fmt.Sprint(perSecond))

	ctx, cancel := context.WithTimeout(context.Background(), limitTestTime)
	defer cancel()
	var ok, other atomic.Int64
	var group sync.WaitGroup
	for host := 10; host < 10+entries; host++ {
		group.Add(1)
		go (&steadyCaller{f, host, 100 * time.Millisecond, &ok, &other, &group}).run(ctx)
	}
	group.Wait()

	require.Zero(t, other.Load(), "the other target takes what the limited one does not")
	arrivals, named := limited.LimitedArrivals()
	require.NoError(t, fleetstandin.CheckLimit(arrivals, named.Add(limitSettleTime)))
	settled := 0
	for _, a := range arrivals {
		if a.At.Sub(named) > limitSettleTime {
			settled++
		}
	}
	span := (limitTestTime - limitSettleTime).Seconds()
	require.GreaterOrEqual(t, float64(settled), perSecond*span/2, "the limited target still gets requests")
}

// TestLimitHoldsOnTheCallerPath checks the same for engines and plain services of the
// inventory, which four instances send to.
func TestLimitHoldsOnTheCallerPath(t *testing.T) {
	const perSecond, span, settle = 2.0, 12 * time.Second, 3 * time.Second
	s := newTestCluster(t, []standin.EngineConfig{{Name: "e0"}, {Name: "e1", Seed: 1}}, []standin.ServiceConfig{{Name: "d0"}, {Name: "d1"}})
	s.firstToken = waitLimit
	s.start()
	s.engines[0].SetRateLimit(fmt.Sprint(perSecond))
	s.services[0].SetRateLimit(fmt.Sprint(perSecond))
	named := time.Now()
	var failed atomic.Int64
	var group sync.WaitGroup
	for _, name := range []string{"a1", "a2", "b1", "b2"} {
		for _, send := range []func() callerResponse{
			func() callerResponse { return s.chat(name, guildKey, "Which clauses name dairy?", 3) },
			func() callerResponse { return s.post(name, guildKey, "/s/desk/quotes", "flowers") },
		} {
			group.Go(func() {
				for time.Since(named) < span {
					if r := send(); r.status != 200 {
						failed.Add(1)
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	group.Wait()
	require.Zero(t, failed.Load(), "the other target takes what the limited one does not")
	for name, arrivals := range map[string][]time.Time{"engine": s.engines[0].LimitedArrivals(), "service": s.services[0].LimitedArrivals()} {
		settled := 0
		for i, first := range arrivals {
			if first.Sub(named) < settle {
				continue
			}
			settled++
			count := 0
			for count < len(arrivals)-i && arrivals[i+count].Sub(first) < fleetstandin.LimitWindow {
				count++
			}
			require.LessOrEqual(t, float64(count), fleetstandin.LimitFactor*perSecond*fleetstandin.LimitWindow.Seconds()+fleetstandin.LimitExtra, name)
		}
		require.GreaterOrEqual(t, float64(settled), perSecond*(span-settle).Seconds()/2, name)
	}
}
