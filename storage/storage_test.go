package storage

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"auburnscale/peer"
)

func entry(index, term uint64) *peer.Entry {
	return &peer.Entry{Index: index, Term: term, Command: &peer.Command{Actor: "operator"}}
}

// newFilledFolder returns the path of a data folder with a hard state and three
// entries.
func newFilledFolder(t *testing.T) string {
	path := t.TempDir()
	folder, err := Open(path)
	require.NoError(t, err)
	require.NoError(t, folder.Append(&peer.Hard{Term: 3, Vote: 2}, []*peer.Entry{entry(1, 1), entry(2, 1), entry(3, 3)}))
	require.NoError(t, folder.Sync())
	folder.Close()
	return path
}

func TestReopen(t *testing.T) {
	folder, err := Open(newFilledFolder(t))
	require.NoError(t, err)
	defer folder.Close()
	hard, entries, snapshot := folder.LoadedState()
	require.True(t, proto.Equal(&peer.Hard{Term: 3, Vote: 2}, hard))
	require.Len(t, entries, 3)
	require.Nil(t, snapshot)
}

func TestLaterEntryReplacesTail(t *testing.T) {
	path := newFilledFolder(t)
	folder, err := Open(path)
	require.NoError(t, err)
	require.NoError(t, folder.Append(nil, []*peer.Entry{entry(2, 4)}))
	require.NoError(t, folder.Sync())
	folder.Close()
	folder, err = Open(path)
	require.NoError(t, err)
	defer folder.Close()
	_, entries, _ := folder.LoadedState()
	require.Len(t, entries, 2)
	require.Equal(t, uint64(4), entries[1].Term)
}

// TestTornTailIsTruncated truncates the log at every length, as a crash during a
// write may. What Open reads must be a prefix of what was stored, and the folder
// must accept new entries.
func TestTornTailIsTruncated(t *testing.T) {
	whole, err := os.ReadFile(filepath.Join(newFilledFolder(t), logName))
	require.NoError(t, err)
	for size := range whole {
		path := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(path, logName), whole[:size], filePermissions))
		folder, err := Open(path)
		require.NoError(t, err, "size %d", size)
		_, entries, _ := folder.LoadedState()
		require.LessOrEqual(t, len(entries), 3)
		require.NoError(t, folder.Append(nil, []*peer.Entry{entry(uint64(len(entries))+1, 9)}))
		require.NoError(t, folder.Sync())
		folder.Close()
		folder, err = Open(path)
		require.NoError(t, err)
		_, again, _ := folder.LoadedState()
		require.Len(t, again, len(entries)+1)
		folder.Close()
	}
}

// TestDamagedMiddleIsRejected flips one bit in each byte before the last record.
// Open must not mistake the damage for a torn tail, which would drop the intact
// records after it.
func TestDamagedMiddleIsRejected(t *testing.T) {
	path := newFilledFolder(t)
	file := filepath.Join(path, logName)
	whole, err := os.ReadFile(file)
	require.NoError(t, err)
	last, err := appendRecord(nil, &peer.Record{Body: &peer.Record_Entry{Entry: entry(3, 3)}})
	require.NoError(t, err)
	for i := range len(whole) - len(last) {
		damaged := append([]byte(nil), whole...)
		damaged[i] ^= 0x10
		require.NoError(t, os.WriteFile(file, damaged, filePermissions))
		_, err := Open(path)
		require.ErrorContains(t, err, file+": offset ", "byte %d", i)
	}
}

func TestSnapshotReplacesLog(t *testing.T) {
	path := newFilledFolder(t)
	folder, err := Open(path)
	require.NoError(t, err)
	snapshot := &peer.Snapshot{Index: 2, Term: 1, State: &peer.State{Applied: 2}}
	require.NoError(t, folder.SaveSnapshot(snapshot, []*peer.Entry{entry(3, 3)}))
	require.NoError(t, folder.Append(nil, []*peer.Entry{entry(4, 3)}))
	require.NoError(t, folder.Sync())
	folder.Close()
	folder, err = Open(path)
	require.NoError(t, err)
	defer folder.Close()
	hard, entries, loaded := folder.LoadedState()
	require.Equal(t, uint64(3), hard.Term)
	require.True(t, proto.Equal(snapshot, loaded))
	require.Len(t, entries, 2)
}

// TestCrashBetweenSnapshotAndLog covers a crash after the new snapshot was saved
// and before the log was rewritten: the entries that the snapshot covers must be
// skipped.
func TestCrashBetweenSnapshotAndLog(t *testing.T) {
	path := newFilledFolder(t)
	data, err := appendRecord(nil, &peer.Snapshot{Index: 2, Term: 1, State: &peer.State{}})
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(filepath.Join(path, snapshotName), data, filePermissions))
	folder, err := Open(path)
	require.NoError(t, err)
	defer folder.Close()
	_, entries, _ := folder.LoadedState()
	require.Len(t, entries, 1)
	require.Equal(t, uint64(3), entries[0].Index)
}

func TestDamagedSnapshotIsRejected(t *testing.T) {
	path := t.TempDir()
	file := filepath.Join(path, snapshotName)
	require.NoError(t, os.WriteFile(file, []byte("not a snapshot at all"), filePermissions))
	_, err := Open(path)
	require.ErrorContains(t, err, file+": offset 0")
}

func TestSecondProcessIsRejected(t *testing.T) {
	path := t.TempDir()
	folder, err := Open(path)
	require.NoError(t, err)
	defer folder.Close()
	_, err = Open(path)
	require.ErrorContains(t, err, "in use by another process")
}

// TestNoOperationsAfterFailedWrite closes the open log file directly,
// so that writes fail as on a failing disk: no later call may report success.
func TestNoOperationsAfterFailedWrite(t *testing.T) {
	folder, err := Open(t.TempDir())
	require.NoError(t, err)
	defer folder.Close()
	folder.log.Close()
	require.Error(t, folder.Append(nil, []*peer.Entry{entry(1, 1)}))
	require.Error(t, folder.Sync())
	require.Error(t, folder.SaveSnapshot(&peer.Snapshot{Index: 1}, nil))
}

func FuzzDecodeRecord(f *testing.F) {
	good, err := appendRecord(nil, &peer.Record{Body: &peer.Record_Entry{Entry: entry(1, 1)}})
	require.NoError(f, err)
	f.Add(good)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		payload, n, err := decodeRecord(data)
		if err == nil {
			require.Equal(t, n, len(payload)+headerBytes)
		}
		folder := &Folder{path: "fuzz"}
		_, _ = folder.replay(data)
	})
}
