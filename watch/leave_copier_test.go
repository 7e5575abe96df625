package watch

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"auburnscale/clock"
	"auburnscale/peer"
	"auburnscale/roster"
	"auburnscale/transport"
)

// rosterPeer implements only KeepTargets of the peer protocol.
type rosterPeer struct {
	peer.Peer
	rows *roster.Roster
}

// KeepTargets implements [peer.Peer].
func (p rosterPeer) KeepTargets(_ context.Context, rows *peer.TargetRows) (*peer.KeepTargetsResponse, error) {
	return &peer.KeepTargetsResponse{Kept: int32(len(rows.Rows) - len(p.rows.Merge(rows.Rows)))}, nil
}

// fixedControls are the control instances by address, with their failure domains.
type fixedControls map[string]string

// Addresses implements [Controls].
func (c fixedControls) Addresses() (list []string) {
	for address := range c {
		list = append(list, address)
	}
	return list
}

// Domains implements [Controls].
func (c fixedControls) Domains() map[string]string { return c }

// startHolders starts control instances that take rows, one in each of the domains.
func startHolders(t testing.TB, controls fixedControls, received *atomic.Int64, domains ...string) []*roster.Roster {
	var rosters []*roster.Roster
	for _, domain := range domains {
		rows := roster.New(clock.Now, 0)
		handler := transport.Handler("", rosterPeer{rows: rows}, func(string, []string) {})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			received.Add(r.ContentLength)
			handler.ServeHTTP(w, r)
		}))
		t.Cleanup(server.Close)
		controls[server.Listener.Addr().String()] = domain
		rosters = append(rosters, rows)
	}
	return rosters
}

func leavingRow() *peer.TargetRow {
	return &peer.TargetRow{Id: "i-7f3a91c2", Service: "huvo11a", Address: "10.128.0.9:8080", Domain: "z1", Slots: 64, State: peer.TargetRow_DRAINING, BornMs: 1776774310112, Seq: 40, SoftwareVersion: "v1"}
}

// TestLeaveIsCopiedBeforeItIsAcknowledged checks how many instances, and in which failure domains, must hold a
// leave.
func TestLeaveIsCopiedBeforeItIsAcknowledged(t *testing.T) {
	for _, test := range []struct {
		name    string
		losses  int
		holders []string
		gone    []string
		kept    bool
	}{
		{name: "alone", losses: 1, kept: true},
		{name: "one other", losses: 1, holders: []string{"b"}, kept: true},
		{name: "the only other one does not answer", losses: 1, gone: []string{"b"}},
		{name: "one of two answers", losses: 1, holders: []string{"b"}, gone: []string{"c"}, kept: true},
		{name: "another domain is known, but not reached", losses: 1, holders: []string{"a"}, gone: []string{"b"}},
		{name: "one domain", losses: 1, holders: []string{"a", "a"}, kept: true},
		{name: "two losses", losses: 2, holders: []string{"b", "c"}, gone: []string{"d"}, kept: true},
		{name: "two losses, one holder", losses: 2, holders: []string{"b"}, gone: []string{"c"}},
		{name: "no losses tolerated", losses: 0, holders: []string{"b"}, kept: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			controls := fixedControls{"self": "a"}
			var received atomic.Int64
			rosters := startHolders(t, controls, &received, test.holders...)
			for i, domain := range test.gone {
				controls[fmt.Sprintf("127.0.0.1:%d", i+1)] = domain
			}
			copier := NewLeaveCopier("self", "a", test.losses, controls, transport.NewClient(netip.MustParseAddr("127.0.0.1"), "", nil))
			err := copier.Copy(context.Background(), leavingRow())
			require.Equal(t, test.kept, err == nil, "%v", err)
			held := 0
			for _, rows := range rosters {
				if rows.Snapshot().Target("i-7f3a91c2").GetState() == peer.TargetRow_DRAINING {
					held++
				}
			}
			if test.kept {
				require.GreaterOrEqual(t, held, min(test.losses, len(test.holders)))
			}
		})
	}
	// A holder that refuses the row does not count.
	controls := fixedControls{"self": "a"}
	var received atomic.Int64
	startHolders(t, controls, &received, "b")
	odd := leavingRow()
	odd.Slots = -1
	require.ErrorContains(t, NewLeaveCopier("self", "a", 1, controls, transport.NewClient(netip.MustParseAddr("127.0.0.1"), "", nil)).Copy(context.Background(), odd), "refused")
}

// BenchmarkLeaveCopy measures a leave at groups of 4 and of 9 control instances. The number of entry instances
// does not matter: they learn of it with their polls, as before.
func BenchmarkLeaveCopy(b *testing.B) {
	for _, others := range []int{3, 8} {
		b.Run(fmt.Sprint(others+1), func(b *testing.B) {
			controls := fixedControls{"self": "d0"}
			var received atomic.Int64
			var domains []string
			for n := range others {
				domains = append(domains, fmt.Sprint("d", (n+1)%6))
			}
			startHolders(b, controls, &received, domains...)
			copier := NewLeaveCopier("self", "d0", 2, controls, transport.NewClient(netip.MustParseAddr("127.0.0.1"), "", nil))
			row := leavingRow()
			for b.Loop() {
				row = proto.Clone(row).(*peer.TargetRow)
				row.Seq++
				if err := copier.Copy(context.Background(), row); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(received.Load())/float64(b.N), "body-bytes/op")
		})
	}
}
