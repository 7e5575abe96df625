package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/peer"
	"auburnscale/platform/standin"
)

// badBlock is a prompt block that is quarantined, in the headers badHeaders.
const badBlock = 0xbad

var (
	badHeaders   = []string{"X-Model", "m", "X-Token-Count", "1000,10", "X-Prefix-Hash", "a1:900,bad:50,c3:50"}
	soundHeaders = []string{"X-Model", "m", "X-Token-Count", "1000,10", "X-Prefix-Hash", "a1:900,d4:50,c3:50"}
)

// quarantineBlock makes the fixture's gateway refuse the block, as a control instance told it.
func (f *fixture) quarantineBlock(block uint64) {
	f.blocks.Received("control", []*peer.SuspectBlock{{Block: block, Crashes: 5, Quarantined: true}})
}

func (f *fixture) arrivals() (n int) {
	for _, t := range f.targets {
		n += len(t.Seen())
	}
	return n
}

// TestQuarantinedBlockIsRefused checks that a request with a quarantined block reaches no target,
// and that the caller is told truly that it has not run and when to come back. Requests without
// the block, and those in which it is the last one, which is the request's own, are served.
func TestQuarantinedBlockIsRefused(t *testing.T) {
	f := newFixture(t, 2)
	f.quarantineBlock(badBlock)
	response, _ := f.send(http.MethodPost, "/streams/a", badHeaders...)
	require.Equal(t, http.StatusServiceUnavailable, response.status)
	require.Contains(t, response.body, `"code":"quarantined"`)
	require.Contains(t, response.body, `"not_run":true`)
	wait, err := strconv.ParseFloat(response.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Greater(t, wait, 60.0)
	require.Zero(t, f.arrivals())

	response, _ = f.send(http.MethodPost, "/streams/a", soundHeaders...)
	require.Equal(t, http.StatusOK, response.status)
	response, _ = f.send(http.MethodPost, "/streams/a", "X-Model", "m", "X-Token-Count", "1000,10", "X-Prefix-Hash", "a1:900,bad:50")
	require.Equal(t, http.StatusOK, response.status, "the last block")
}

// TestQuarantineBeforeEachSend checks that a block that is quarantined while a request is under
// way ends its further sends: the decode after the prefill, a retry, and a resumed stream.
func TestQuarantineBeforeEachSend(t *testing.T) {
	t.Run("after the prefill", func(t *testing.T) {
		f := newFixture(t, 2)
		f.announce(0, peer.TargetRow_PREFILL)
		f.announce(1, peer.TargetRow_DECODE)
		f.targets[0].Script(func(*standin.Target, http.ResponseWriter, *http.Request) bool {
			f.quarantineBlock(badBlock)
			return false
		})
		response, id := f.send(http.MethodPost, "/streams/a", "X-Model", "m", "X-Token-Count", "100000,10", "X-Prefix-Hash", "a1:90000,bad:5000,c3:5000")
		require.Len(t, f.targets[0].Seen(), 1, "the prefill")
		require.Equal(t, http.StatusServiceUnavailable, response.status)
		require.Zero(t, f.runs(id))
	})
	t.Run("instead of a resumption", func(t *testing.T) {
		f := newFixture(t, 2)
		quarantineAndFail := func(t *standin.Target, w http.ResponseWriter, r *http.Request) bool {
			f.quarantineBlock(badBlock)
			return standin.TruncateStreamAfter(1)(t, w, r)
		}
		f.targets[0].Script(quarantineAndFail)
		f.targets[1].Script(quarantineAndFail)
		response, id := f.send(http.MethodPost, "/resumable/a", badHeaders...)
		require.Error(t, response.err, "a stream that is broken off does not look complete")
		require.Equal(t, 1, f.runs(id))
	})
	t.Run("instead of a retry", func(t *testing.T) {
		f := newFixture(t, 2)
		quarantineAndFail := func(t *standin.Target, w http.ResponseWriter, r *http.Request) bool {
			f.quarantineBlock(badBlock)
			return standin.Reset(t, w, r)
		}
		f.targets[0].Script(quarantineAndFail)
		f.targets[1].Script(quarantineAndFail)
		response, id := f.send(http.MethodPost, "/resumable/a", badHeaders...)
		require.Equal(t, http.StatusBadGateway, response.status, "it may have run")
		require.Equal(t, 1, f.runs(id))
	})
}

// TestFailureModesThatAreCrashes checks which failures of targets count as crashes under the
// prompt's blocks: connections that end early, not refusals, error responses or other bytes.
func TestFailureModesThatAreCrashes(t *testing.T) {
	cases := []struct {
		name      string
		behaviour standin.Behaviour
		crash     bool
	}{
		{"reset", standin.Reset, true},
		{"stream broken off", standin.TruncateStreamAfter(1), true},
		{"refused", standin.Refuse, false},
		{"error response", standin.Fail, false},
		{"other bytes", standin.Garble, false},
		{"another request's response", standin.MismatchID, false},
		{"served", standin.Respond, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.targets[0].Script(c.behaviour)
			f.send(http.MethodPost, "/streams/a", badHeaders...)
			report, _ := f.blocks.Report("")
			if !c.crash {
				require.Empty(t, report.GetCrashed())
				return
			}
			require.Len(t, report.GetCrashed(), 1)
			require.Equal(t, "e0", report.Crashed[0].Target)
			require.Equal(t, "1", report.Crashed[0].Incarnation)
			require.Equal(t, []uint64{0xa1, badBlock}, report.Crashed[0].Blocks[:2])
			require.Len(t, report.Crashed[0].Blocks, 3, "and the fingerprint")
		})
	}
}

// TestServedRequestIsNotQuarantinedForFailures guards against refusing identical requests, as
// callers of a popular resource send them, because some of them failed when targets crashed: one
// that was served before is no reason of the failures.
func TestServedRequestIsNotQuarantinedForFailures(t *testing.T) {
	f := newFixture(t, 2)
	response, _ := f.send(http.MethodPost, "/orders/popular")
	require.Equal(t, http.StatusOK, response.status)
	for _, target := range f.targets {
		target.Script(standin.Reset, standin.Reset, standin.Reset)
	}
	for range 6 {
		f.send(http.MethodPost, "/orders/popular")
	}
	response, _ = f.send(http.MethodPost, "/orders/popular")
	require.Equal(t, http.StatusOK, response.status, response.body)
}

// TestCutConnectionsDoNotQuarantineRequests guards against refusing sound requests that come again
// and again without change after three connections to targets that stayed alive were cut (soak,
// seed 2: an instance that had just restarted refused them for the rest of the run). The control
// instances know that the targets are alive, so they list no suspect.
func TestCutConnectionsDoNotQuarantineRequests(t *testing.T) {
	f := newFixture(t, 2)
	f.failRepeatedly("/orders/popular")
	f.waitFor("the request to be served", func() bool {
		f.listSuspects()
		response, _ := f.send(http.MethodPost, "/orders/popular")
		return response.status == http.StatusOK
	})
}

// TestSuspectRequestIsRefused checks that a request under which targets failed is refused while a
// control instance lists it as suspect, and as long as its judgement is not known.
func TestSuspectRequestIsRefused(t *testing.T) {
	f := newFixture(t, 2)
	f.failRepeatedly("/orders/poison")
	response, _ := f.send(http.MethodPost, "/orders/poison")
	require.Equal(t, http.StatusServiceUnavailable, response.status, "before a control instance can know")

	report, _ := f.blocks.Report("")
	blocks := report.Crashed[0].Blocks
	fingerprint := blocks[len(blocks)-1]
	for start := time.Now(); time.Since(start) < 2*time.Second; time.Sleep(50 * time.Millisecond) {
		f.listSuspects(&peer.SuspectBlock{Block: fingerprint, Crashes: 2})
		response, _ = f.send(http.MethodPost, "/orders/poison")
		require.Equal(t, http.StatusServiceUnavailable, response.status, response.body)
	}
}

// failRepeatedly sends a request until it has ended three connections. Targets respond to later
// ones.
func (f *fixture) failRepeatedly(path string) {
	const failures = 3
	var sent atomic.Int32
	resetFirst := func(t *standin.Target, w http.ResponseWriter, r *http.Request) bool {
		return sent.Add(1) <= failures && standin.Reset(t, w, r)
	}
	for _, target := range f.targets {
		target.Script(resetFirst, resetFirst, resetFirst)
	}
	f.listSuspects()
	for range failures {
		response, _ := f.send(http.MethodPost, path)
		require.Equal(f.t, http.StatusBadGateway, response.status, response.body)
	}
}

// listSuspects passes the list of a control instance to the gateway.
func (f *fixture) listSuspects(list ...*peer.SuspectBlock) { f.blocks.Received("control", list) }

// Guards against blocks that the quarantine does not know since they stand behind many others (review/9), or in a further
// line of the header.
func TestLaterBlocksAreSuspects(t *testing.T) {
	var others []string
	for n := range 300 {
		others = append(others, fmt.Sprintf("%x:10", 0x10000+n))
	}
	headers := func(blocks string) []string {
		return []string{"X-Model", "m", "X-Token-Count", "5000,10", "X-Prefix-Hash", blocks}
	}
	behind := headers(strings.Join(others, ",") + ",bad:50,c3:50")
	t.Run("reported", func(t *testing.T) {
		f := newFixture(t, 1)
		f.targets[0].Script(standin.TruncateStreamAfter(0))
		f.send(http.MethodPost, "/streams/a", behind...)
		report, _ := f.blocks.Report("")
		require.Len(t, report.GetCrashed(), 1)
		require.Contains(t, report.Crashed[0].Blocks, uint64(badBlock))
	})
	t.Run("refused", func(t *testing.T) {
		f := newFixture(t, 1)
		f.quarantineBlock(badBlock)
		response, _ := f.send(http.MethodPost, "/streams/a", behind...)
		require.Equal(t, http.StatusServiceUnavailable, response.status)
		require.Contains(t, response.body, `"code":"quarantined"`)
		r, _ := f.request(context.Background(), http.MethodPost, "/streams/a", headers("a1:900")...)
		r.Header.Add("X-Prefix-Hash", "bad:50,c3:50")
		require.Equal(t, http.StatusServiceUnavailable, send(r).status, "second line of the header")
		require.Zero(t, f.arrivals())
	})
}
