package serve

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/peer"
	"auburnscale/platform/standin"
)

// newServingFleet starts three control instances, an entry instance and a target that serves. Every control
// instance has applied the configuration when it returns.
func newServingFleet(t *testing.T) (*testFleet, *standin.Target) {
	f := newTestFleet(t)
	f.startEntry(10)
	for host := 1; host <= 3; host++ {
		f.startControl(host)
	}
	f.replace(1, 1, "/orders/")
	target := standin.NewTarget("e1")
	require.NoError(t, target.Listen(f.address(20, 8000)))
	t.Cleanup(target.Close)
	f.heartbeat(1, target, "ready", 1)
	f.awaitServed(10, "/orders/")
	for host := 1; host <= 3; host++ {
		control := f.running[fmt.Sprint("control", host)].process.(*Control)
		f.await("the configuration is applied", func() bool { return control.snapshot() != nil })
	}
	return f, target
}

// Guards against calls of another writer, with an id that is not UTF-8, that keep every control instance
// from responding to the polls of all others: changes and leaves then reached no entry instance.
func TestUnreadableIDsStopNoPolls(t *testing.T) {
	f, target := newServingFleet(t)
	body := fmt.Sprintf(`{"service":"desk","addr":%q,"zone":"d1","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"seq":1,"born":1000}`, f.address(21, 8000))
	for host := 1; host <= 3; host++ {
		for _, path := range []string{"/Instances.Heartbeat/i-%ff", "/Instances.Deregister/%c3%28"} {
			status, _, err := f.call(http.MethodPost, f.address(host, fleetOperatorPort), path, body)
			require.NoError(t, err)
			require.Equal(t, http.StatusBadRequest, status, path)
		}
	}
	f.replace(2, 2, "/other/")
	f.awaitServed(10, "/other/")
	f.heartbeat(3, target, "draining", 2)
	f.await("the draining target gets no request", func() bool {
		status, _ := f.order(10, "/other/", "after")
		return status == http.StatusServiceUnavailable
	})
}

// Guards against one row that cannot be encoded, in the state of every control instance, that costs whole
// responses to polls.
func TestPoisonedRowCostsOnlyItself(t *testing.T) {
	f, target := newServingFleet(t)
	for host := 1; host <= 3; host++ {
		control := f.running[fmt.Sprint("control", host)].process.(*Control)
		control.roster.Merge([]*peer.TargetRow{{Id: "i-\xff", Service: "desk", Address: f.address(21, 8000), Domain: "d1", Slots: 1, State: peer.TargetRow_READY, BornMs: 1, Seq: 1}})
	}
	f.replace(2, 2, "/other/")
	f.awaitServed(10, "/other/")
	f.heartbeat(3, target, "draining", 2)
	f.await("the draining target gets no request", func() bool {
		status, _ := f.order(10, "/other/", "after")
		return status == http.StatusServiceUnavailable
	})
}

// Guards against a leave that is lost with the control instance that acknowledged it, because no other
// instance had polled it in the meantime.
func TestAcknowledgedLeaveOutlivesItsInstance(t *testing.T) {
	for _, leave := range []struct{ name, path, body string }{
		{"deregistration", "/Instances.Deregister/e1", ""},
		{"draining", "/Instances.Heartbeat/e1", `{"service":"desk","addr":%q,"zone":"d1","version":"v1","slots":8,"state":"draining","coldLeftMs":0,"seq":2,"born":1000}`},
	} {
		t.Run(leave.name, func(t *testing.T) {
			f, target := newServingFleet(t)
			// Nobody can poll this control instance: it listens for others where they do not look.
			s := f.settings("control4", 4)
			s.Fleet.OperatorAddress, s.Fleet.DataFolder = f.address(4, fleetOperatorPort), f.dir(4)
			s.Fleet.PeerListenAddress = f.address(4, fleetPeerPort+100)
			f.run("control4", s)
			hidden := f.running["control4"].process.(*Control)
			f.await("the control instance knows the target", func() bool { return hidden.roster.Snapshot().Target("e1") != nil })
			body := leave.body
			if body != "" {
				body = fmt.Sprintf(body, target.Address())
			}
			status, text, err := f.call(http.MethodPost, f.address(4, fleetOperatorPort), leave.path, body)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status, text)
			f.stop("control4")
			f.await("the target that left gets no request", func() bool {
				status, _ := f.order(10, "/orders/", "after")
				return status == http.StatusServiceUnavailable
			})
		})
	}
}

// Guards against leaves that were acknowledged and are lost when all control instances end, one of them with its disk:
// the targets that left send nothing more.
func TestAcknowledgedLeaveOutlivesAllControlInstances(t *testing.T) {
	f, target := newServingFleet(t)
	f.await("all control instances know the target", func() bool { return f.allControls(peer.TargetRow_READY) })
	status, text, err := f.call(http.MethodPost, f.address(2, fleetOperatorPort), "/Instances.Deregister/e1", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status, text)
	f.stop("entry10")
	for host := 1; host <= 3; host++ {
		f.stop(fmt.Sprint("control", host))
	}
	require.NoError(t, os.RemoveAll(f.dir(2)))
	for host := 1; host <= 3; host++ {
		f.startControl(host)
	}
	f.await("all control instances know the leave", func() bool { return f.allControls(peer.TargetRow_GONE) })
	// A later start of the target is another one.
	f.await("the next start of the target is accepted", func() bool {
		body := fmt.Sprintf(`{"service":"desk","addr":%q,"zone":"d1","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"seq":1,"born":%d}`, target.Address(), time.Now().UnixMilli())
		status, _, err := f.call(http.MethodPost, f.address(1, fleetOperatorPort), "/Instances.Heartbeat/e1", body)
		return err == nil && status == http.StatusOK && f.allControls(peer.TargetRow_READY)
	})
}

// allControls reports whether the control instances 1 to 3 all know the target e1 in the state.
func (f *testFleet) allControls(state peer.TargetRow_State) bool {
	for host := 1; host <= 3; host++ {
		c := f.running[fmt.Sprint("control", host)].process.(*Control)
		if c.roster.Snapshot().Target("e1").GetState() != state {
			return false
		}
	}
	return true
}

// Guards against a heartbeat of another writer that takes a sound target away, or moves it to another service.
func TestOddHeartbeatsMoveNoTarget(t *testing.T) {
	f, target := newServingFleet(t)
	const valid = `{"service":"desk","addr":%q,"zone":"d1","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"seq":9,"born":2000}`
	for _, each := range []struct{ id, old, new string }{
		{"other", `"desk"`, `"nobody"`},
		{"e1", `"desk"`, `"nobody"`},
		{"e1", `,"born":2000`, ``},
		{"e1", `"version":"v1",`, ``},
		{"e1", `"born":2000`, fmt.Sprintf(`"born":%d`, time.Now().Add(48*time.Hour).UnixMilli())},
	} {
		for host := 1; host <= 3; host++ {
			body := strings.Replace(fmt.Sprintf(valid, target.Address()), each.old, each.new, 1)
			status, text, err := f.call(http.MethodPost, f.address(host, fleetOperatorPort), "/Instances.Heartbeat/"+each.id, body)
			require.NoError(t, err)
			require.Equal(t, http.StatusBadRequest, status, "%s %s", each.new, text)
		}
	}
	f.replace(2, 2, "/other/")
	f.awaitServed(10, "/other/")
	f.heartbeat(3, target, "draining", 2)
	f.await("the target's own heartbeats hold", func() bool {
		status, _ := f.order(10, "/other/", "after")
		return status == http.StatusServiceUnavailable
	})
}

// Guards against an entry instance that cannot read a committed configuration, or any response to its polls, and
// goes on to count as up to date.
func TestUnreadableNewsCountAsBehind(t *testing.T) {
	f, _ := newServingFleet(t)
	ready := func(want int) func() bool {
		return func() bool {
			status, _, err := f.call(http.MethodGet, f.address(10, fleetReadyPort), "/ready", "")
			return err == nil && status == want
		}
	}
	f.await("the entry instance is ready", ready(http.StatusOK))
	// A document that an instance of another release accepted.
	leader := f.running["control1"].process.(*Control)
	f.await("the document is committed", func() bool {
		result, err := leader.replicaManager.Propose(context.Background(), &peer.Command{Body: &peer.Command_Replace{Replace: &peer.ReplaceDocument{Version: 5, Body: []byte(`{"version":5,"routes":[{"kind":"later"}]}`)}}})
		return err == nil && result.Code == peer.Result_OK
	})
	f.await("the entry instance is behind", ready(http.StatusServiceUnavailable))
	status, _ := f.order(10, "/orders/", "during")
	require.Equal(t, http.StatusOK, status, "it serves with what it has")
	f.replace(2, 6, "/other/")
	f.await("the entry instance has caught up", ready(http.StatusOK))
	f.awaitServed(10, "/other/")

	// Every control instance is replaced by one that answers polls with what is no message.
	var garbled []*http.Server
	for host := 1; host <= 3; host++ {
		f.stop(fmt.Sprint("control", host))
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("\xff")) }), ReadHeaderTimeout: time.Second}
		var listener net.Listener
		f.await("the address is free", func() bool {
			var err error
			listener, err = net.Listen("tcp", f.address(host, fleetPeerPort))
			return err == nil
		})
		go func() { _ = server.Serve(listener) }()
		garbled = append(garbled, server)
	}
	f.await("the entry instance is behind", ready(http.StatusServiceUnavailable))
	for _, server := range garbled {
		_ = server.Close()
	}
	f.await("the entry instance is cut off, but not behind", ready(http.StatusOK))
}

// TestUnreadableConfigurationIsRefused sends configurations that cannot be read in full: they are refused, and
// nothing of them is in effect.
func TestUnreadableConfigurationIsRefused(t *testing.T) {
	f, _ := newServingFleet(t)
	valid := f.document(4, "/other/")
	for name, text := range map[string]string{
		"not UTF-8":   strings.Replace(valid, `"guild"`, "\"gu\xff\"", 1),
		"too deep":    strings.Replace(valid, `"services"`, `"more":`+strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000)+`,"services"`, 1),
		"two":         valid + valid,
		"number":      strings.Replace(valid, `"version":4`, `"version":1e40`, 1),
		"negative":    strings.Replace(valid, `"version":4`, `"version":-4`, 1),
		"not a whole": strings.Replace(valid, `"attempts":1`, `"attempts":1.5`, 1),
	} {
		status, body, err := f.call(http.MethodPost, f.address(1, fleetOperatorPort), "/Config.Replace", text)
		require.NoError(t, err, name)
		require.Equal(t, http.StatusBadRequest, status, "%s: %s", name, body)
	}
	f.awaitRead(2, 1, "/orders/")
	f.awaitServed(10, "/orders/")
}

// Guards against a control instance that has lost its data folder (soak, seed 50000): it accepted heartbeats of any
// service until it had a configuration again.
func TestControlWithoutConfigurationTakesNoTarget(t *testing.T) {
	f, target := newServingFleet(t)
	s := f.settings("control4", 4)
	s.Fleet.OperatorAddress, s.Fleet.DataFolder = f.address(4, fleetOperatorPort), f.dir(4)
	// Nobody reaches this instance, so that it gets no configuration.
	s.Fleet.PeerListenAddress = f.address(4, fleetPeerPort+100)
	f.run("control4", s)
	body := fmt.Sprintf(`{"service":"nobody","addr":%q,"zone":"d1","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"seq":9,"born":2000}`, target.Address())
	for range 50 {
		status, text, err := f.call(http.MethodPost, f.address(4, fleetOperatorPort), "/Instances.Heartbeat/odd", body)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, status, text)
	}
	f.awaitServed(10, "/orders/")
	require.Nil(t, f.running["control4"].process.(*Control).roster.Snapshot().Target("odd"))
}

// Guards against a state on disk that an earlier release wrote and this one would refuse, or cannot read: all control
// instances start again with it, serve what can be read, and take the next configuration.
func TestPoisonedStateOnDiskIsSurvived(t *testing.T) {
	f, target := newServingFleet(t)
	commit := func(version int, body string) {
		t.Helper()
		f.await("the document is committed", func() bool {
			control := f.running["control1"].process.(*Control)
			result, err := control.replicaManager.Propose(context.Background(), &peer.Command{Body: &peer.Command_Replace{Replace: &peer.ReplaceDocument{Version: uint64(version), Body: []byte(body)}}})
			return err == nil && result.Code == peer.Result_OK
		})
	}
	restartAll := func() {
		for host := 1; host <= 3; host++ {
			f.stop(fmt.Sprint("control", host))
		}
		for host := 1; host <= 3; host++ {
			f.startControl(host)
		}
	}
	commit(3, strings.Replace(f.document(3, "/odd/"), `"name":"r"`, "\"name\":\"r\xff\"", 1))
	f.awaitServed(10, "/odd/")
	restartAll()
	f.heartbeat(1, target, "ready", 2)
	f.startEntry(11)
	f.awaitServed(11, "/odd/")
	commit(5, `{"version":5,"routes":"later"}`)
	restartAll()
	f.replace(2, 7, "/next/")
	f.awaitServed(10, "/next/")
}

// Guards against heartbeats of services that no configuration names (soak, seed 1): control instances that had all started
// again accepted them until one of them led. Others are accepted, so that no time is lost.
func TestControlWithALogTakesNoUnknownService(t *testing.T) {
	f, target := newServingFleet(t)
	for host := 1; host <= 3; host++ {
		f.stop(fmt.Sprint("control", host))
	}
	f.startControl(1)
	beat := func(id, service string) int {
		body := fmt.Sprintf(`{"service":%q,"addr":%q,"zone":"d1","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"seq":9,"born":1000}`, service, target.Address())
		status, _, err := f.call(http.MethodPost, f.address(1, fleetOperatorPort), "/Instances.Heartbeat/"+id, body)
		require.NoError(t, err)
		return status
	}
	f.await("a target of the service is accepted", func() bool { return beat("e1", "desk") == http.StatusOK })
	require.Nil(t, f.control(1).snapshot(), "nothing is committed without the others")
	require.Equal(t, http.StatusServiceUnavailable, beat("odd", "nobody"))
	f.startControl(2)
	f.await("the configuration is known again", func() bool { return beat("odd", "nobody") == http.StatusBadRequest })
}
