package serve

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/platform/standin"
	"auburnscale/settings"
)

const (
	fleetOperatorPort = 7301
	fleetPeerPort     = 7302
	fleetEntryPort    = 7303
	fleetReadyPort    = 7304
	fleetMetricsPort  = 7305
)

// A testFleet runs control and entry instances with seed discovery in the test
// process. Each has its own addresses and data folder.
type testFleet struct {
	t       *testing.T
	number  uint32
	folder  string
	running map[string]*runningInstance
	seeds   []string
	started map[string]bool
}

type runningInstance struct {
	process Reloader
	cancel  context.CancelFunc
	exited  chan error
}

func newTestFleet(t *testing.T) *testFleet {
	t.Parallel()
	f := &testFleet{t: t, number: clusterCount.Add(1), folder: t.TempDir(), running: map[string]*runningInstance{}, started: map[string]bool{}}
	for host := 1; host <= 3; host++ {
		f.seeds = append(f.seeds, f.address(host, fleetOperatorPort))
	}
	t.Cleanup(f.stopAll)
	return f
}

func (f *testFleet) ip(host int) string { return fmt.Sprintf("127.78.%d.%d", f.number, host) }

func (f *testFleet) address(host, port int) string { return fmt.Sprintf("%s:%d", f.ip(host), port) }

func (f *testFleet) settings(name string, host int) settings.Settings {
	s := settings.Default()
	s.Instance, s.FailureDomain = name, fmt.Sprint("d", host%3)
	s.Fleet.Address, s.Fleet.PeerPort, s.Fleet.Seeds = f.ip(host), fleetPeerPort, f.seeds
	s.Fleet.ToleratedLosses, s.Fleet.RetrySlack = 1, 50
	s.Fleet.StopGrace = settings.Duration(waitLimit)
	return s
}

// startControl starts the control instance of the host. Only the first start may found
// the control group; a data folder that is missing later counts as lost.
func (f *testFleet) startControl(host int) {
	name := fmt.Sprint("control", host)
	s := f.settings(name, host)
	s.Fleet.OperatorAddress, s.Fleet.MetricsAddress = f.address(host, fleetOperatorPort), f.address(host, fleetMetricsPort)
	s.Fleet.DataFolder = f.dir(host)
	s.Fleet.Bootstrap = !f.started[name]
	f.started[name] = true
	f.run(name, s)
}

func (f *testFleet) dir(host int) string { return filepath.Join(f.folder, fmt.Sprint("control", host)) }

func (f *testFleet) startEntry(host int) {
	name := fmt.Sprint("entry", host)
	s := f.settings(name, host)
	s.Fleet.RequestAddress, s.Fleet.ReadinessAddress = f.address(host, fleetEntryPort), f.address(host, fleetReadyPort)
	f.run(name, s)
}

func (f *testFleet) run(name string, s settings.Settings) {
	logger := newTestLogger(f.t, name)
	var p Reloader
	f.await("the listeners of "+name+" open", func() bool {
		var err error
		p, err = NewFleetInstance(s, logger)
		return err == nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	m := &runningInstance{process: p, cancel: cancel, exited: make(chan error, 1)}
	f.running[name] = m
	go func() { m.exited <- p.Run(ctx) }()
}

func (f *testFleet) stop(name string) {
	m := f.running[name]
	delete(f.running, name)
	m.cancel()
	require.NoError(f.t, <-m.exited)
}

// abortEntries ends entry instances at once, without a planned stop: their listeners and connections
// are closed first, and their callers get nothing more.
func (f *testFleet) abortEntries(names ...string) {
	var group sync.WaitGroup
	for _, name := range names {
		m := f.running[name]
		delete(f.running, name)
		m.process.(*Entry).gateway.Abort()
		group.Go(func() { m.cancel(); <-m.exited })
	}
	group.Wait()
}

func (f *testFleet) stopAll() {
	var group sync.WaitGroup
	for _, m := range f.running {
		group.Go(func() { m.cancel(); <-m.exited })
	}
	group.Wait()
}

func (f *testFleet) await(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(2 * waitLimit)
	for !condition() {
		require.False(f.t, time.Now().After(deadline), "did not happen: %s", what)
		time.Sleep(waitPause)
	}
}

func (f *testFleet) call(method, address, path, body string, headers ...string) (int, string, error) {
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, "", err
	}
	r.Host = "desk.example"
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitLimit}
	response, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

func (f *testFleet) document(version int, route string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"desk.example","prefix":%q,"kind":"unsafe","timeoutMs":20000,"targetLatencyMs":100,"service":"desk","attempts":1}],
"services":[{"name":"desk","health":"/health","maxConns":100}],"tenants":[{"name":"guild","keys":["k1"]}]}`, version, route)
}

// replace sends the configuration to the host until the host acknowledges it.
func (f *testFleet) replace(host, version int, route string) {
	f.t.Helper()
	f.await(fmt.Sprintf("configuration %d is acknowledged by %d", version, host), func() bool {
		status, _, err := f.call(http.MethodPost, f.address(host, fleetOperatorPort), "/Config.Replace", f.document(version, route))
		return err == nil && status == http.StatusOK
	})
}

// awaitRead reads the configuration from the host until the host returns one, which
// must be the given version.
func (f *testFleet) awaitRead(host, version int, route string) {
	f.t.Helper()
	f.await(fmt.Sprintf("host %d reads version %d", host, version), func() bool {
		status, body, err := f.call(http.MethodGet, f.address(host, fleetOperatorPort), "/Config.Read", "")
		if err != nil || status != http.StatusOK {
			return false
		}
		require.JSONEq(f.t, f.document(version, route), body, "an older configuration is never read")
		return true
	})
}

func (f *testFleet) heartbeat(host int, t *standin.Target, state string, seq int) {
	f.t.Helper()
	body := fmt.Sprintf(`{"service":"desk","addr":%q,"zone":"d1","version":"v1","slots":8,"state":%q,"coldLeftMs":0,"seq":%d,"born":1000}`, t.Address(), state, seq)
	f.await("the heartbeat is acknowledged", func() bool {
		status, _, err := f.call(http.MethodPost, f.address(host, fleetOperatorPort), "/Instances.Heartbeat/"+t.ID(), body)
		return err == nil && status == http.StatusOK
	})
}

func (f *testFleet) order(host int, path, id string) (int, string) {
	status, body, err := f.call(http.MethodPost, f.address(host, fleetEntryPort), path, "an order", "Authorization", "Bearer k1", "X-Request-Id", id, "X-Deadline-Ms", "20000")
	require.NoError(f.t, err)
	return status, body
}

// awaitServed sends requests on the path until one succeeds.
func (f *testFleet) awaitServed(host int, path string) {
	f.t.Helper()
	n := 0
	f.await("an order is served on "+path, func() bool {
		n++
		status, _ := f.order(host, path, fmt.Sprint(path, n))
		return status == http.StatusOK
	})
}

// TestFleetServes checks that a control group forms from seeds alone, that any
// control instance accepts configurations and heartbeats, and that the entry
// instance follows changes of both.
func TestFleetServes(t *testing.T) {
	f := newTestFleet(t)
	f.startEntry(10)
	for host := 1; host <= 4; host++ {
		f.startControl(host)
	}
	status, _, err := f.call(http.MethodGet, f.address(10, fleetReadyPort), "/ready", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status, "no configuration yet")

	f.replace(4, 3, "/orders/")
	f.replace(2, 3, "/orders/")
	target := standin.NewTarget("e1")
	require.NoError(t, target.Listen(f.address(20, 8000)))
	t.Cleanup(target.Close)
	f.heartbeat(3, target, "ready", 1)
	f.awaitServed(10, "/orders/")
	status, _, err = f.call(http.MethodGet, f.address(10, fleetReadyPort), "/ready", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)

	f.replace(1, 9, "/other/")
	f.awaitServed(10, "/other/")
	f.await("the old route is no longer served", func() bool { status, _ := f.order(10, "/orders/", "late"); return status == http.StatusNotFound })
	f.replace(1, 5, "/orders/")
	for host := 1; host <= 4; host++ {
		f.awaitRead(host, 9, "/other/")
	}
	status, body, err := f.call(http.MethodPost, f.address(2, fleetOperatorPort), "/Config.Replace", strings.Replace(f.document(12, "/x/"), `"service":"desk"`, `"service":"none"`, 1))
	require.NoError(t, err)
	require.Equal(t, http.StatusBadRequest, status, body)

	f.heartbeat(2, target, "draining", 2)
	f.await("the draining target gets no request", func() bool {
		before := len(target.Seen())
		status, _ := f.order(10, "/other/", "after")
		return status == http.StatusServiceUnavailable && len(target.Seen()) == before
	})
	f.stop("entry10")
}

// TestReplicaRecoversFromLostDataFolder removes the voters' data folders one after
// the other, each right after the previous replica has become a voter again. No
// acknowledged configuration may be lost, and changes must still commit.
func TestReplicaRecoversFromLostDataFolder(t *testing.T) {
	f := newTestFleet(t)
	for host := 1; host <= 3; host++ {
		f.startControl(host)
	}
	version := 1
	f.replace(1, version, "/a/")
	for _, host := range []int{2, 1, 3} {
		f.stop(fmt.Sprint("control", host))
		require.NoError(t, os.RemoveAll(f.dir(host)))
		f.startControl(host)
		f.awaitRead(host, version, "/a/")
		f.awaitVoter(host)
		version++
		f.replace(host, version, "/a/")
	}
	for host := 1; host <= 3; host++ {
		f.awaitRead(host, version, "/a/")
	}
}

// awaitVoter waits until the restarted replica is a voter, and checks that its vote
// counts: with the next instance stopped, the remaining two must form a quorum.
func (f *testFleet) awaitVoter(host int) {
	f.t.Helper()
	v := f.running[fmt.Sprint("control", host)].process.(*Control).voter
	f.await(fmt.Sprintf("host %d is a voter again", host), func() bool {
		voters := v.Status().Voters()
		return slices.Contains(voters.Ids, v.ID()) && len(voters.Ids) == 3
	})
	other := host%3 + 1
	f.stop(fmt.Sprint("control", other))
	f.awaitAnyRead(host)
	f.startControl(other)
	f.awaitAnyRead(other)
}

func (f *testFleet) awaitAnyRead(host int) {
	f.t.Helper()
	f.await(fmt.Sprintf("host %d reads", host), func() bool {
		status, _, err := f.call(http.MethodGet, f.address(host, fleetOperatorPort), "/Config.Read", "")
		return err == nil && status == http.StatusOK
	})
}

// TestServesWithoutControlInstances checks that the entry instance serves while all
// control instances are stopped, and that changes work after they have restarted.
func TestServesWithoutControlInstances(t *testing.T) {
	f := newTestFleet(t)
	for host := 1; host <= 3; host++ {
		f.startControl(host)
	}
	f.startEntry(10)
	f.replace(1, 4, "/orders/")
	target := standin.NewTarget("e1")
	require.NoError(t, target.Listen(f.address(20, 8000)))
	t.Cleanup(target.Close)
	f.heartbeat(1, target, "ready", 1)
	f.awaitServed(10, "/orders/")
	for host := 1; host <= 3; host++ {
		f.stop(fmt.Sprint("control", host))
	}
	status, _ := f.order(10, "/orders/", "without control")
	require.Equal(t, http.StatusOK, status)
	for host := 1; host <= 3; host++ {
		f.startControl(host)
	}
	f.awaitRead(2, 4, "/orders/")
	f.heartbeat(2, target, "ready", 9)
	f.replace(3, 6, "/later/")
	f.awaitServed(10, "/later/")
}

// TestEmptyReplicasElectNoLeader starts two replicas with empty data folders that
// may not found a control group. They must not elect a leader, since they could
// otherwise lose what the group had acknowledged.
func TestEmptyReplicasElectNoLeader(t *testing.T) {
	f := newTestFleet(t)
	for host := 1; host <= 2; host++ {
		f.started[fmt.Sprint("control", host)] = true
		f.startControl(host)
	}
	// Each call waits for about as long as an election takes.
	for range 4 {
		for host := 1; host <= 2; host++ {
			status, _, err := f.call(http.MethodPost, f.address(host, fleetOperatorPort), "/Config.Replace", f.document(1, "/a/"))
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, status, "two replicas with empty data folders formed a group")
		}
	}
}

// TestControlRestartsAfterDiskFailure closes a running voter's data folder, as a
// failing disk would. The instance must stop and ask for a restart once the folder
// is writable, and a new one must run at the same addresses. The other instances
// must keep committing in the meantime.
func TestControlRestartsAfterDiskFailure(t *testing.T) {
	f := newTestFleet(t)
	for host := 1; host <= 3; host++ {
		f.startControl(host)
	}
	f.replace(1, 1, "/a/")
	m := f.running["control2"]
	m.process.(*Control).folder.Close()
	f.replace(1, 2, "/b/")
	require.ErrorIs(t, <-m.exited, ErrRestartRequired)
	f.startControl(2)
	f.awaitRead(2, 2, "/b/")
	f.stop("control1")
	f.awaitRead(2, 2, "/b/")
	f.await("the metrics are served", func() bool {
		status, body, err := f.call(http.MethodGet, f.address(2, fleetMetricsPort), "/metrics", "")
		return err == nil && status == http.StatusOK && strings.Contains(body, "auburnscale_control_voters")
	})
}
