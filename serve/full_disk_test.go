package serve

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"auburnscale/peer"
)

// fullDevice takes no bytes: writes to it fail as on a full disk.
const fullDevice = "/dev/full"

// fillFiles makes writes of the files that replace others in the host's data folder fail as on a full disk, and the probe of
// the disk too. It returns a function that makes room again.
func (f *testFleet) fillFiles(host int, names ...string) (empty func()) {
	var paths []string
	for _, name := range names {
		path := filepath.Join(f.dir(host), name)
		// The file exists while the instance is about to replace another one with it.
		f.await("the file "+name+" is not in use", func() bool { return os.Symlink(fullDevice, path) == nil })
		paths = append(paths, path)
	}
	probe := filepath.Join(f.dir(host), "probe")
	require.NoError(f.t, os.Mkdir(probe, 0o700))
	return func() {
		for _, path := range append(paths, probe) {
			require.NoError(f.t, os.RemoveAll(path))
		}
	}
}

// fillLog makes writes of the host's log fail as on a full disk, until it is opened again.
func (f *testFleet) fillLog(host int) {
	full, err := os.OpenFile(fullDevice, os.O_WRONLY, 0)
	require.NoError(f.t, err)
	defer full.Close()
	open, err := os.ReadDir("/proc/self/fd")
	require.NoError(f.t, err)
	for _, entry := range open {
		target, err := os.Readlink("/proc/self/fd/" + entry.Name())
		if err != nil || target != filepath.Join(f.dir(host), "log") {
			continue
		}
		var fd int
		_, err = fmt.Sscan(entry.Name(), &fd)
		require.NoError(f.t, err)
		require.NoError(f.t, unix.Dup3(int(full.Fd()), fd, unix.O_CLOEXEC))
	}
}

// control returns the control instance of the host.
func (f *testFleet) control(host int) *Control {
	return f.running[fmt.Sprint("control", host)].process.(*Control)
}

// leader returns the host of the control instance that leads, among the hosts 1 to n.
func (f *testFleet) leader(n int) (leader int) {
	f.await("an instance leads", func() bool {
		for leader = 1; leader <= n; leader++ {
			if f.control(leader).voter.MayAct() {
				return true
			}
		}
		return false
	})
	return leader
}

// keepChanging proposes changes through the instances until stop is called.
func (f *testFleet) keepChanging(instances []*Control) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, c := range instances {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				// A failure is that of a change that is not committed.
				_, _ = c.replicaManager.Propose(ctx, &peer.Command{Body: &peer.Command_Release{Release: &peer.ReleaseIssuer{Issuer: fmt.Sprint(n)}}})
			}
		})
	}
	return func() { cancel(); group.Wait() }
}

// Guards against disks that are full one after the other, never two at once, and leave a group that refuses changes or does
// not answer them once all have room again: with three and five control instances, at the leader and at others, in the
// log, at a snapshot, and for longer than a voter is waited for.
func TestFullDisksOneAfterTheOther(t *testing.T) {
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newTestFleet(t)
			for host := 1; host <= size; host++ {
				f.startControl(host)
			}
			version := 1
			f.replace(1, version, "/a/")
			for round := range 2 * size {
				host := round%size + 1
				if round%3 == 0 {
					host = f.leader(size)
				}
				failing := f.running[fmt.Sprint("control", host)]
				empty := f.fillFiles(host, "snapshot.new", "log.new", "leaves.new")
				if round%2 == 0 {
					f.fillLog(host)
				}
				var others []*Control
				for other := 1; other <= size; other++ {
					if other != host {
						others = append(others, f.control(other))
					}
				}
				stop := f.keepChanging(others)
				f.await(fmt.Sprintf("round %d: the disk of %d fails", round, host), func() bool {
					select {
					case <-failing.process.(*Control).voter.StorageFailed():
						return true
					default:
						return false
					}
				})
				version++
				f.replace(host%size+1, version, "/a/")
				if round%4 == 1 {
					// Longer than a voter without contact is waited for, so that another one takes its place.
					time.Sleep(4 * time.Second)
				}
				stop()
				empty()
				require.ErrorIs(t, <-failing.exited, ErrRestartRequired)
				f.startControl(host)
				version++
				f.replace(host, version, "/a/")
			}
			for host := 1; host <= size; host++ {
				version++
				status, body, err := f.call(http.MethodPost, f.address(host, fleetOperatorPort), "/Config.Replace", f.document(version, "/a/"))
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status, "a change at instance %d once all disks have room: %s", host, body)
				f.awaitRead(host%size+1, version, "/a/")
			}
		})
	}
}

// Guards against an instance that ends because its disk is full when it first starts: it waits for room, and joins.
func TestStartOnAFullDisk(t *testing.T) {
	f := newTestFleet(t)
	f.startControl(1)
	f.startControl(2)
	f.replace(1, 1, "/a/")
	require.NoError(t, os.Mkdir(f.dir(3), 0o700))
	identity := filepath.Join(f.dir(3), "identity.new")
	require.NoError(t, os.Symlink(fullDevice, identity))
	s := f.settings("control3", 3)
	s.Fleet.OperatorAddress, s.Fleet.DataFolder = f.address(3, fleetOperatorPort), f.dir(3)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	type result struct {
		instance Reloader
		err      error
	}
	started := make(chan result, 1)
	logger := newTestLogger(t, "control3")
	go func() {
		instance, err := StartFleetInstance(ctx, s, logger)
		started <- result{instance, err}
	}()
	select {
	case r := <-started:
		t.Fatal("started or gave up on a full disk:", r.err)
	case <-time.After(3 * diskRetryInterval):
	}
	require.NoError(t, os.Remove(identity))
	r := <-started
	require.NoError(t, r.err)
	m := &runningInstance{process: r.instance, cancel: cancel, exited: make(chan error, 1)}
	f.running["control3"] = m
	go func() { m.exited <- m.process.Run(ctx) }()
	f.replace(3, 2, "/b/")
}
