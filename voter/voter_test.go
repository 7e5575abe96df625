package voter

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/control"
	"auburnscale/event"
	"auburnscale/peer"
	"auburnscale/quorum"
	"auburnscale/storage"
)

// noLink drops all messages.
type noLink struct{}

// Send implements [Link].
func (noLink) Send([]*peer.Message) {}

func startVoter(t *testing.T, path string) *Voter {
	folder, err := storage.Open(path)
	require.NoError(t, err)
	v := New(Config{ID: 1, InitialVoters: []uint64{1}, Timing: quorum.QuickTiming, Incarnation: "v1"}, folder, noLink{}, event.Nop())
	v.Start()
	t.Cleanup(func() { v.Stop(); folder.Close() })
	return v
}

func propose(t *testing.T, v *Voter, command *peer.Command) *peer.Result {
	var result *peer.Result
	require.Eventually(t, func() bool {
		var err error
		result, err = v.Propose(context.Background(), command)
		return err == nil
	}, 20*time.Second, 10*time.Millisecond)
	return result
}

// Guards against a command that cannot be encoded or sent and takes the leader's disk for failed.
func TestCommandThatCannotBeStoredIsRefused(t *testing.T) {
	v := startVoter(t, t.TempDir())
	for name, command := range map[string]*peer.Command{
		"detail": {Body: &peer.Command_CloseIntent{CloseIntent: &peer.CloseIntent{Id: "i", Detail: "\xc3"}}},
		"actor":  {Actor: "\xff", Body: &peer.Command_Withdraw{Withdraw: &peer.WithdrawKey{KeyId: "k"}}},
		"size":   {Body: &peer.Command_Replace{Replace: &peer.ReplaceDocument{Version: 9, Body: make([]byte, maxCommandBytes)}}},
	} {
		result := propose(t, v, command)
		require.Equal(t, peer.Result_REFUSED, result.Code, name)
		require.NotEmpty(t, result.Detail)
	}
	result, err := v.ChangeVoters(context.Background(), &peer.Voters{Ids: []uint64{1}, Replicas: []*peer.Replica{{Id: 1, Domain: "\xff"}}})
	require.NoError(t, err)
	require.Equal(t, peer.Result_REFUSED, result.Code)
	require.Equal(t, peer.Result_OK, propose(t, v, &peer.Command{Body: &peer.Command_Replace{Replace: &peer.ReplaceDocument{Version: 3, Body: []byte("x")}}}).Code)
	select {
	case <-v.StorageFailed():
		t.Fatal("the voter takes its disk for failed")
	default:
	}
	v.Read(func(m *control.Machine) { require.EqualValues(t, 3, m.Document().Version) })
}

// Guards against a document of version 0, in a log that an earlier release wrote, that ends the voter at each start.
func TestVersionZeroInTheLogIsSurvived(t *testing.T) {
	path := t.TempDir()
	folder, err := storage.Open(path)
	require.NoError(t, err)
	replace := func(version uint64) *peer.Command {
		return &peer.Command{Body: &peer.Command_Replace{Replace: &peer.ReplaceDocument{Version: version, Body: []byte("{}")}}}
	}
	require.NoError(t, folder.Append(&peer.Hard{Term: 1}, []*peer.Entry{{Index: 1, Term: 1, Command: replace(0)}}))
	require.NoError(t, folder.Sync())
	folder.Close()
	v := startVoter(t, path)
	require.Equal(t, peer.Result_OK, propose(t, v, replace(7)).Code)
	require.Equal(t, peer.Result_REFUSED, propose(t, v, replace(0)).Code, "another instance's proposal")
	v.Read(func(m *control.Machine) { require.EqualValues(t, 7, m.Document().Version) })
}
