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

	"auburnscale/event"
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

// A fleet is a small system that finds itself, in this process: control
// instances and entries with addresses and folders of their own.
type fleet struct {
	t       *testing.T
	number  uint32
	folder  string
	running map[string]*runningMember
	seeds   []string
	started map[string]bool
}

type runningMember struct {
	process Reloader
	cancel  context.CancelFunc
	ended   chan error
}

func newFleet(t *testing.T) *fleet {
	t.Parallel()
	f := &fleet{t: t, number: sites.Add(1), folder: t.TempDir(), running: map[string]*runningMember{}, started: map[string]bool{}}
	for host := 1; host <= 3; host++ {
		f.seeds = append(f.seeds, f.at(host, fleetOperatorPort))
	}
	t.Cleanup(f.stopAll)
	return f
}

func (f *fleet) ip(host int) string { return fmt.Sprintf("127.78.%d.%d", f.number, host) }

func (f *fleet) at(host, port int) string { return fmt.Sprintf("%s:%d", f.ip(host), port) }

func (f *fleet) settings(name string, host int) settings.Settings {
	s := settings.Default()
	s.Instance, s.FailureDomain = name, fmt.Sprint("d", host%3)
	s.Fleet.Address, s.Fleet.PeerPort, s.Fleet.Seeds = f.ip(host), fleetPeerPort, f.seeds
	s.Fleet.Losses, s.Fleet.RetrySlack = 1, 50
	s.Fleet.Grace = settings.Duration(waitLimit)
	return s
}

// control starts the control instance of the host. A folder that is missing
// after the first start is a lost one.
func (f *fleet) control(host int) {
	name := fmt.Sprint("control", host)
	s := f.settings(name, host)
	s.Fleet.Operators, s.Fleet.Metrics = f.at(host, fleetOperatorPort), f.at(host, fleetMetricsPort)
	s.Fleet.DataFolder = f.data(host)
	s.Fleet.Found = !f.started[name]
	f.started[name] = true
	f.run(name, s)
}

func (f *fleet) data(host int) string { return filepath.Join(f.folder, fmt.Sprint("control", host)) }

func (f *fleet) entry(host int) {
	name := fmt.Sprint("entry", host)
	s := f.settings(name, host)
	s.Fleet.Requests, s.Fleet.Readiness = f.at(host, fleetEntryPort), f.at(host, fleetReadyPort)
	f.run(name, s)
}

func (f *fleet) run(name string, s settings.Settings) {
	var p Reloader
	f.await("the listeners of "+name+" open", func() bool {
		var err error
		p, err = NewFleet(s, event.Nop())
		return err == nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	m := &runningMember{process: p, cancel: cancel, ended: make(chan error, 1)}
	f.running[name] = m
	go func() { m.ended <- p.Run(ctx) }()
}

func (f *fleet) stop(name string) {
	m := f.running[name]
	delete(f.running, name)
	m.cancel()
	require.NoError(f.t, <-m.ended)
}

func (f *fleet) stopAll() {
	var group sync.WaitGroup
	for _, m := range f.running {
		group.Go(func() { m.cancel(); <-m.ended })
	}
	group.Wait()
}

func (f *fleet) await(what string, yes func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(2 * waitLimit)
	for !yes() {
		require.False(f.t, time.Now().After(deadline), "did not happen: %s", what)
		time.Sleep(waitPause)
	}
}

func (f *fleet) call(method, address, path, body string, headers ...string) (int, string, error) {
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

func (f *fleet) document(version int, route string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"desk.example","prefix":%q,"kind":"unsafe","timeoutMs":20000,"targetLatencyMs":100,"service":"desk","attempts":1}],
"services":[{"name":"desk","health":"/health","maxConns":100}],"tenants":[{"name":"guild","keys":["k1"]}]}`, version, route)
}

// replace sends the configuration to the host until it is acknowledged.
func (f *fleet) replace(host, version int, route string) {
	f.t.Helper()
	f.await(fmt.Sprintf("configuration %d is acknowledged by %d", version, host), func() bool {
		status, _, err := f.call(http.MethodPost, f.at(host, fleetOperatorPort), "/Config.Replace", f.document(version, route))
		return err == nil && status == http.StatusOK
	})
}

// awaitRead reads the configuration back at the host until it is known there.
func (f *fleet) awaitRead(host, version int, route string) {
	f.t.Helper()
	f.await(fmt.Sprintf("host %d reads version %d", host, version), func() bool {
		status, body, err := f.call(http.MethodGet, f.at(host, fleetOperatorPort), "/Config.Read", "")
		if err != nil || status != http.StatusOK {
			return false
		}
		require.JSONEq(f.t, f.document(version, route), body, "an older configuration is never read")
		return true
	})
}

func (f *fleet) heartbeat(host int, t *standin.Target, state string, seq int) {
	f.t.Helper()
	body := fmt.Sprintf(`{"service":"desk","addr":%q,"zone":"d1","version":"v1","slots":8,"state":%q,"coldLeftMs":0,"seq":%d,"born":1000}`, t.Address(), state, seq)
	f.await("the heartbeat is acknowledged", func() bool {
		status, _, err := f.call(http.MethodPost, f.at(host, fleetOperatorPort), "/Instances.Heartbeat/"+t.ID(), body)
		return err == nil && status == http.StatusOK
	})
}

func (f *fleet) order(host int, path, id string) (int, string) {
	status, body, err := f.call(http.MethodPost, f.at(host, fleetEntryPort), path, "an order", "Authorization", "Bearer k1", "X-Request-Id", id, "X-Deadline-Ms", "20000")
	require.NoError(f.t, err)
	return status, body
}

// awaitServed sends orders until one is served.
func (f *fleet) awaitServed(host int, path string) {
	f.t.Helper()
	n := 0
	f.await("an order is served on "+path, func() bool {
		n++
		status, _ := f.order(host, path, fmt.Sprint(path, n))
		return status == http.StatusOK
	})
}

// TestFleetServes founds a group from seeds alone, takes a configuration at any
// control instance, learns of targets from their heartbeats, and follows both.
func TestFleetServes(t *testing.T) {
	f := newFleet(t)
	f.entry(10)
	for host := 1; host <= 4; host++ {
		f.control(host)
	}
	status, _, err := f.call(http.MethodGet, f.at(10, fleetReadyPort), "/ready", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status, "no configuration yet")

	f.replace(4, 3, "/orders/")
	f.replace(2, 3, "/orders/")
	target := standin.NewTarget("e1")
	require.NoError(t, target.Listen(f.at(20, 8000)))
	t.Cleanup(target.Close)
	f.heartbeat(3, target, "ready", 1)
	f.awaitServed(10, "/orders/")
	status, _, err = f.call(http.MethodGet, f.at(10, fleetReadyPort), "/ready", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)

	f.replace(1, 9, "/other/")
	f.awaitServed(10, "/other/")
	f.await("the old route is gone", func() bool { status, _ := f.order(10, "/orders/", "late"); return status == http.StatusNotFound })
	f.replace(1, 5, "/orders/")
	for host := 1; host <= 4; host++ {
		f.awaitRead(host, 9, "/other/")
	}
	status, body, err := f.call(http.MethodPost, f.at(2, fleetOperatorPort), "/Config.Replace", strings.Replace(f.document(12, "/x/"), `"service":"desk"`, `"service":"none"`, 1))
	require.NoError(t, err)
	require.Equal(t, http.StatusBadRequest, status, body)

	f.heartbeat(2, target, "draining", 2)
	f.await("the leaving target gets nothing", func() bool {
		before := len(target.Seen())
		status, _ := f.order(10, "/other/", "after")
		return status == http.StatusServiceUnavailable && len(target.Seen()) == before
	})
	f.stop("entry10")
}

// TestLostFolderIsRepaired loses a voter's folder, and then another one right
// after the repair. Nothing acknowledged is lost, and changes go on.
func TestLostFolderIsRepaired(t *testing.T) {
	f := newFleet(t)
	for host := 1; host <= 3; host++ {
		f.control(host)
	}
	version := 1
	f.replace(1, version, "/a/")
	for _, host := range []int{2, 1, 3} {
		f.stop(fmt.Sprint("control", host))
		require.NoError(t, os.RemoveAll(f.data(host)))
		f.control(host)
		f.awaitRead(host, version, "/a/")
		f.awaitVoter(host)
		version++
		f.replace(host, version, "/a/")
	}
	for host := 1; host <= 3; host++ {
		f.awaitRead(host, version, "/a/")
	}
}

// awaitVoter waits until the returned replica is a voter, and shows that it
// counts: the next instance is stopped, and the two that are left commit.
func (f *fleet) awaitVoter(host int) {
	f.t.Helper()
	v := f.running[fmt.Sprint("control", host)].process.(*Control).voter
	f.await(fmt.Sprintf("host %d votes again", host), func() bool {
		voters := v.Status().Voters()
		return slices.Contains(voters.Ids, v.ID()) && len(voters.Ids) == 3
	})
	other := host%3 + 1
	f.stop(fmt.Sprint("control", other))
	f.awaitAnyRead(host)
	f.control(other)
	f.awaitAnyRead(other)
}

func (f *fleet) awaitAnyRead(host int) {
	f.t.Helper()
	f.await(fmt.Sprintf("host %d reads", host), func() bool {
		status, _, err := f.call(http.MethodGet, f.at(host, fleetOperatorPort), "/Config.Read", "")
		return err == nil && status == http.StatusOK
	})
}

// TestAllControlAtOnce stops all control instances, serves meanwhile, and starts
// them again.
func TestAllControlAtOnce(t *testing.T) {
	f := newFleet(t)
	for host := 1; host <= 3; host++ {
		f.control(host)
	}
	f.entry(10)
	f.replace(1, 4, "/orders/")
	target := standin.NewTarget("e1")
	require.NoError(t, target.Listen(f.at(20, 8000)))
	t.Cleanup(target.Close)
	f.heartbeat(1, target, "ready", 1)
	f.awaitServed(10, "/orders/")
	for host := 1; host <= 3; host++ {
		f.stop(fmt.Sprint("control", host))
	}
	status, _ := f.order(10, "/orders/", "without control")
	require.Equal(t, http.StatusOK, status)
	for host := 1; host <= 3; host++ {
		f.control(host)
	}
	f.awaitRead(2, 4, "/orders/")
	f.heartbeat(2, target, "ready", 9)
	f.replace(3, 6, "/later/")
	f.awaitServed(10, "/later/")
}

// TestTwoEmptyFoldersElectNobody starts replicas with empty folders that are no
// founders. Without the group they stay without a leader.
func TestTwoEmptyFoldersElectNobody(t *testing.T) {
	f := newFleet(t)
	for host := 1; host <= 2; host++ {
		f.started[fmt.Sprint("control", host)] = true
		f.control(host)
	}
	// An operator's call waits for about as long as an election takes.
	for range 4 {
		for host := 1; host <= 2; host++ {
			status, _, err := f.call(http.MethodPost, f.at(host, fleetOperatorPort), "/Config.Replace", f.document(1, "/a/"))
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, status, "two empty folders founded a group")
		}
	}
}

// TestFailedDiskIsWaitedFor lets a data folder fail under its voter. The process
// stops its part, and is built anew at the same addresses once the folder takes
// writes; meanwhile the others go on.
func TestFailedDiskIsWaitedFor(t *testing.T) {
	f := newFleet(t)
	for host := 1; host <= 3; host++ {
		f.control(host)
	}
	f.replace(1, 1, "/a/")
	m := f.running["control2"]
	m.process.(*Control).folder.Close()
	f.replace(1, 2, "/b/")
	require.ErrorIs(t, <-m.ended, ErrRestart)
	f.control(2)
	f.awaitRead(2, 2, "/b/")
	f.stop("control1")
	f.awaitRead(2, 2, "/b/")
	f.await("the metrics are there", func() bool {
		status, body, err := f.call(http.MethodGet, f.at(2, fleetMetricsPort), "/metrics", "")
		return err == nil && status == http.StatusOK && strings.Contains(body, "auburnscale_control_voters")
	})
}
