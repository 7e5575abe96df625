package serve

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/platform/standin"
	engine "auburnscale/standin"
)

const (
	// brokenAfter is the number of events after which a target breaks a new stream off.
	brokenAfter = 1
	// streamLength is the number of events of a stream of the stand-in.
	streamLength = 3
	// recordedAfter is the time after its first event from which a stream can be taken up even if
	// every entry instance ends.
	recordedAfter = 500 * time.Millisecond
	// withinRoute lets a stream go on within one response; on takenUpRoute only a caller can take
	// it up.
	withinRoute, takenUpRoute = "/within/", "/taken/"
)

// A versionedFleet is a fleet whose targets run several software versions.
type versionedFleet struct {
	*testFleet
	targets []*standin.Target
	// versions holds the version of each target.
	versions []string
	calls    int
}

// newVersionedFleet starts three control instances, the entry instances, and a target for each of
// the versions.
func newVersionedFleet(t *testing.T, entries int, versions ...string) *versionedFleet {
	f := &versionedFleet{testFleet: newTestFleet(t), versions: versions}
	for host := 1; host <= 3; host++ {
		f.startControl(host)
	}
	f.startEntries(entries)
	f.await("the configuration is acknowledged", func() bool {
		status, _, err := f.call(http.MethodPost, f.address(1, fleetOperatorPort), "/Config.Replace", versionedDocument)
		return err == nil && status == http.StatusOK
	})
	for i, version := range versions {
		target := standin.NewTarget(fmt.Sprint("e", i))
		target.SetVersion(version)
		require.NoError(t, target.Listen(f.address(40+i, 8000)))
		t.Cleanup(target.Close)
		f.targets = append(f.targets, target)
		f.announce(i, 1)
	}
	return f
}

// versionedDocument has two routes of resumable streams. With one attempt, only a caller can let a
// stream go on.
var versionedDocument = func() string {
	route := func(name, prefix string, attempts int) string {
		return fmt.Sprintf(`{"name":%q,"host":"desk.example","prefix":%q,"kind":"stream","resumable":true,"timeoutMs":20000,"targetLatencyMs":100,"service":"desk","attempts":%d}`, name, prefix, attempts)
	}
	return fmt.Sprintf(`{"version":1,"routes":[%s,%s],"services":[{"name":"desk","health":"/health","maxConns":100}],"tenants":[{"name":"guild","keys":["k1"]}]}`,
		route("w", withinRoute, 3), route("t", takenUpRoute, 1))
}()

func (f *versionedFleet) startEntries(entries int) {
	for host := 10; host < 10+entries; host++ {
		f.startEntry(host)
	}
}

// announce sends a heartbeat of the target.
func (f *versionedFleet) announce(i int, seq uint64) {
	f.t.Helper()
	target := f.targets[i]
	h := standin.Heartbeat{
		ID: target.ID(), Service: "desk", Address: target.Address(), Domain: fmt.Sprint("d", i%3), Slots: 16, StartTime: 1000, Seq: seq, Version: f.versions[i],
	}
	f.await("the heartbeat is acknowledged", func() bool {
		return h.Send(f.t.Context(), &http.Client{Timeout: time.Second}, f.address(1+i%3, fleetOperatorPort)) == nil
	})
}

// stream sends one call for a stream, or for the rest of one, to an entry instance.
func (f *versionedFleet) stream(host int, path, lastEvent, resumes string) (standin.Response, string) {
	f.calls++
	id := fmt.Sprint("v", f.calls)
	caller := standin.NewCaller(netip.MustParseAddr("127.0.0.1"))
	defer caller.Close()
	return caller.Do(f.t.Context(), f.address(host, fleetEntryPort), standin.Call{
		ID: id, Host: "desk.example", Path: path, Key: "k1", Body: "a prompt " + id, Wait: 5 * time.Second, HasPrompt: true, PromptGroup: f.calls % 7, LastEvent: lastEvent, Resumes: resumes,
	}), id
}

// awaitStreams waits until the entry instance serves whole streams from every target.
func (f *versionedFleet) awaitStreams(host int) {
	f.t.Helper()
	f.await(fmt.Sprintf("entry instance %d serves streams", host), func() bool {
		response, _ := f.stream(host, takenUpRoute, "", "")
		return response.Complete && response.Status == http.StatusOK
	})
}

// breakFresh lets every target break its next new streams off.
func (f *versionedFleet) breakFresh() {
	for _, target := range f.targets {
		for range 200 {
			target.Script(standin.BreakFresh(brokenAfter))
		}
	}
}

// A brokenStream is a stream that broke off, as its caller has it.
type brokenStream struct {
	id, events, lastID string
}

// begin lets streams begin and break off, spread over the entry instances.
func (f *versionedFleet) begin(count, entries int) (broken []brokenStream) {
	for n := range count {
		response, id := f.stream(10+n%entries, takenUpRoute, "", "")
		require.False(f.t, response.Complete, "the stream breaks off")
		events, lastID := standin.WholeEvents(response.Body)
		require.Equal(f.t, fmt.Sprint(brokenAfter), lastID)
		broken = append(broken, brokenStream{id, events, lastID})
	}
	return broken
}

// takeUp takes the streams up at other entry instances than those where they began. It returns how
// many went on, and checks that these are whole and of one version.
func (f *versionedFleet) takeUp(broken []brokenStream, entries int) (whole int) {
	for n, b := range broken {
		response, _ := f.stream(10+(n+1)%entries, takenUpRoute, b.lastID, b.id)
		if response.Status != http.StatusOK || !response.Complete {
			continue
		}
		whole++
		require.NoError(f.t, standin.CheckStream(b.events+response.Body, streamLength), "stream %s", b.id)
	}
	return whole
}

// TestStreamGoesOnWithinOneVersion guards against streams that are joined, within one response,
// from targets of two software versions.
func TestStreamGoesOnWithinOneVersion(t *testing.T) {
	const entries, streams = 3, 60
	f := newVersionedFleet(t, entries, "v1", "v1", "v2", "v2")
	for host := 10; host < 10+entries; host++ {
		f.awaitStreams(host)
	}
	f.breakFresh()
	whole := 0
	for n := range streams {
		response, id := f.stream(10+n%entries, withinRoute, "", "")
		if response.Complete {
			whole++
			require.NoError(t, standin.CheckStream(response.Body, streamLength), "stream %s", id)
		}
	}
	require.GreaterOrEqual(t, whole, streams/2, "streams go on")
}

// TestTakenUpStreamStaysAtItsVersion guards against streams that a caller takes up, at another of
// nine entry instances, at another software version than the one that began them.
func TestTakenUpStreamStaysAtItsVersion(t *testing.T) {
	const entries, streams = 9, 90
	f := newVersionedFleet(t, entries, "v1", "v1", "v2", "v2")
	for host := 10; host < 10+entries; host++ {
		f.awaitStreams(host)
	}
	f.breakFresh()
	require.GreaterOrEqual(t, f.takeUp(f.begin(streams, entries), entries), streams*9/10, "streams go on")
}

// TestTakenUpStreamStaysAtItsVersionAfterRestart guards against the same after every entry instance
// has ended and started again, so that none remembers a stream.
func TestTakenUpStreamStaysAtItsVersionAfterRestart(t *testing.T) {
	const entries, streams = 9, 90
	f := newVersionedFleet(t, entries, "v1", "v1", "v2", "v2")
	for host := 10; host < 10+entries; host++ {
		f.awaitStreams(host)
	}
	f.breakFresh()
	broken := f.begin(streams, entries)
	time.Sleep(recordedAfter)
	var names []string
	for host := 10; host < 10+entries; host++ {
		names = append(names, fmt.Sprint("entry", host))
	}
	f.abortEntries(names...)
	f.startEntries(entries)
	for host := 10; host < 10+entries; host++ {
		f.await("the entry instance is ready", func() bool {
			return standin.Ready(t.Context(), &http.Client{Timeout: time.Second}, f.address(host, fleetReadyPort))
		})
	}
	require.GreaterOrEqual(t, f.takeUp(broken, entries), streams*3/4, "streams go on")
}

// TestTakenUpStreamGoesOnAtLeavingVersion guards against streams that are refused, or go on at
// another version, while the only targets of their version drain.
func TestTakenUpStreamGoesOnAtLeavingVersion(t *testing.T) {
	const entries, streams = 3, 30
	f := newVersionedFleet(t, entries, "v1", "v1", "v2", "v2")
	for host := 10; host < 10+entries; host++ {
		f.awaitStreams(host)
	}
	f.breakFresh()
	broken := f.begin(streams, entries)
	for i := range 2 {
		h := standin.Heartbeat{ID: f.targets[i].ID(), Service: "desk", Address: f.targets[i].Address(), Domain: fmt.Sprint("d", i%3), Slots: 16, StartTime: 1000, Seq: 9, Version: f.versions[i], Draining: true}
		require.NoError(t, h.Send(t.Context(), &http.Client{Timeout: time.Second}, f.address(1, fleetOperatorPort)))
	}
	// The entry instances learn of it.
	time.Sleep(300 * time.Millisecond)
	require.GreaterOrEqual(t, f.takeUp(broken, entries), streams*9/10, "streams go on")
}

// TestCompletionResumesAtItsVersion guards against completions of the OpenAI-style entry that are joined
// from engines of two software versions.
func TestCompletionResumesAtItsVersion(t *testing.T) {
	const completions, tokens = 40, 12
	var configs []engine.EngineConfig
	for i, version := range []string{"v1", "v1", "v2", "v2"} {
		configs = append(configs, engine.EngineConfig{Name: fmt.Sprint("e", i), Seed: uint64(i), Version: version, Faults: engine.Faults{TruncateEvery: 3}})
	}
	s := newTestCluster(t, configs, nil)
	s.firstToken = waitLimit
	s.start()
	whole := 0
	for i := range completions {
		stream := s.post("a1", guildKey, "/v1/chat/completions", chatBody(fmt.Sprint("rider ", i), tokens, i%2 == 0))
		text, done := stream.streamed()
		if i%2 != 0 {
			text, done = stream.content(), stream.status == http.StatusOK
		}
		require.LessOrEqual(t, len(engine.OutputVersions(text)), 1, "completion %d: %s", i, text)
		if done {
			whole++
			require.Equal(t, tokens, len(strings.Fields(text)), text)
		}
	}
	require.GreaterOrEqual(t, whole, completions*3/4, "completions are resumed")
}
