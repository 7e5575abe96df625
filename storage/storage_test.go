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

// filled returns the path of a folder with a hard state and three entries.
func filled(t *testing.T) string {
	path := t.TempDir()
	folder, err := Open(path)
	require.NoError(t, err)
	require.NoError(t, folder.Append(&peer.Hard{Term: 3, Vote: 2}, []*peer.Entry{entry(1, 1), entry(2, 1), entry(3, 3)}))
	require.NoError(t, folder.Sync())
	folder.Close()
	return path
}

func TestReopen(t *testing.T) {
	folder, err := Open(filled(t))
	require.NoError(t, err)
	defer folder.Close()
	hard, entries, snapshot := folder.LoadedState()
	require.True(t, proto.Equal(&peer.Hard{Term: 3, Vote: 2}, hard))
	require.Len(t, entries, 3)
	require.Nil(t, snapshot)
}

func TestLaterEntryReplacesTail(t *testing.T) {
	path := filled(t)
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

// TestEveryTornTailIsCut cuts the log at every length. What is left must be a
// prefix of what was stored, and the folder must take new entries.
func TestEveryTornTailIsCut(t *testing.T) {
	whole, err := os.ReadFile(filepath.Join(filled(t), logName))
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

// TestDamagedMiddleIsRefused flips one bit in each byte but the last record's.
func TestDamagedMiddleIsRefused(t *testing.T) {
	path := filled(t)
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
	path := filled(t)
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

// TestCrashBetweenSnapshotAndLog leaves the old log beside a new snapshot.
func TestCrashBetweenSnapshotAndLog(t *testing.T) {
	path := filled(t)
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

func TestDamagedSnapshotIsRefused(t *testing.T) {
	path := t.TempDir()
	file := filepath.Join(path, snapshotName)
	require.NoError(t, os.WriteFile(file, []byte("not a snapshot at all"), filePermissions))
	_, err := Open(path)
	require.ErrorContains(t, err, file+": offset 0")
}

func TestSecondProcessIsRefused(t *testing.T) {
	path := t.TempDir()
	folder, err := Open(path)
	require.NoError(t, err)
	defer folder.Close()
	_, err = Open(path)
	require.ErrorContains(t, err, "in use by another process")
}

// TestNothingAfterAFailedWrite closes the file under the folder, as a failing
// disk would: no later call may report success.
func TestNothingAfterAFailedWrite(t *testing.T) {
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
