// Package storage persists a voter's log and snapshot in one data folder.
//
// It owns the files and their format. Appended data is durable only once Sync has
// returned nil. After any failed write or sync, Append, Sync and SaveSnapshot
// return an error, because the content of the disk is then unknown. The package
// must not import quorum or control: it stores their messages and does not
// interpret them.
//
// Files: "lock" (locked for the life of the process), "identity" (one record),
// "log" (records), "snapshot" (one record) and "leaves" (one record). A record is a header of three
// little-endian 32-bit words (payload length, payload checksum, checksum of the
// first two words) and the payload, a protobuf message. Checksums are CRC-32C.
//
// # Usage
//
//	folder, err := storage.Open("/var/lib/auburnscale")
//	hard, entries, snapshot := folder.LoadedState()
//	err = folder.Append(hard, entries)
//	err = folder.Sync()
package storage

import (
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"

	"google.golang.org/protobuf/proto"

	"auburnscale/peer"
)

const (
	lockName     = "lock"
	logName      = "log"
	snapshotName = "snapshot"
	identityName = "identity"
	probeName    = "probe"
	// probeBytes is the amount of data that a disk must accept before it counts as
	// writable again after a failure.
	probeBytes = 64 << 10

	filePermissions   = 0o600
	folderPermissions = 0o700
)

// A Folder represents an open data folder. It is not safe for concurrent use,
// except for LogSize; its single owner is the voter's run loop.
type Folder struct {
	path     string
	lock     *os.File
	log      *os.File
	logSize  atomic.Int64
	failure  error
	hard     *peer.Hard
	entries  []*peer.Entry
	snapshot *peer.Snapshot
	identity *peer.Identity
}

// Open locks the folder at path, creating it if it is missing, and reads its
// content. It returns an error if another process holds the lock. A torn tail of
// the log, as a crash during a write leaves it, is truncated. A damaged log record
// that intact records follow, and a damaged snapshot or identity, are errors that
// name the file and the offset.
func Open(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderPermissions); err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	f := &Folder{path: path}
	if err := f.acquireLock(); err != nil {
		return nil, err
	}
	if err := f.load(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Writable reports whether the disk of the folder at path accepts durable writes.
// It writes, syncs and removes a probe file.
func Writable(path string) bool {
	name := filepath.Join(path, probeName)
	file, err := os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, filePermissions)
	if err != nil {
		return false
	}
	defer os.Remove(name)
	defer file.Close()
	if _, err := file.Write(make([]byte, probeBytes)); err != nil {
		return false
	}
	return file.Sync() == nil
}

// LoadedState returns the state that Open read: the hard state (nil if none), the
// log entries after the snapshot, and the snapshot (nil if none).
func (f *Folder) LoadedState() (*peer.Hard, []*peer.Entry, *peer.Snapshot) {
	return f.hard, f.entries, f.snapshot
}

// Close releases the folder. It does not sync.
func (f *Folder) Close() {
	if f.log != nil {
		f.log.Close()
	}
	f.lock.Close()
}

// Append writes the hard state, if not nil, and the entries to the log. An entry
// replaces every stored entry with the same or a higher index. The data is durable
// only after the next Sync.
func (f *Folder) Append(hard *peer.Hard, entries []*peer.Entry) error {
	if f.failure != nil {
		return f.failure
	}
	var buffer []byte
	var err error
	if hard != nil {
		f.hard = hard
		buffer, err = appendRecord(buffer, &peer.Record{Body: &peer.Record_Hard{Hard: hard}})
		if err != nil {
			return err
		}
	}
	for _, e := range entries {
		buffer, err = appendRecord(buffer, &peer.Record{Body: &peer.Record_Entry{Entry: e}})
		if err != nil {
			return err
		}
	}
	return f.appendToLog(buffer)
}

// Sync makes everything appended so far durable.
func (f *Folder) Sync() error {
	if f.failure != nil {
		return f.failure
	}
	if err := f.log.Sync(); err != nil {
		return f.recordFailure(fmt.Errorf("sync %s: %w", f.filePath(logName), err))
	}
	return nil
}

// SaveSnapshot stores the snapshot and rewrites the log so that it holds the
// hard state and rest, the entries after the snapshot. Both files are durable when
// SaveSnapshot returns nil.
func (f *Folder) SaveSnapshot(s *peer.Snapshot, rest []*peer.Entry) error {
	if f.failure != nil {
		return f.failure
	}
	data, err := appendRecord(nil, s)
	if err != nil {
		return err
	}
	if err := f.replaceFile(snapshotName, data); err != nil {
		return f.recordFailure(err)
	}
	return f.rewriteLog(rest)
}

func (f *Folder) rewriteLog(rest []*peer.Entry) error {
	var data []byte
	var err error
	if f.hard != nil {
		data, err = appendRecord(data, &peer.Record{Body: &peer.Record_Hard{Hard: f.hard}})
		if err != nil {
			return err
		}
	}
	for _, e := range rest {
		data, err = appendRecord(data, &peer.Record{Body: &peer.Record_Entry{Entry: e}})
		if err != nil {
			return err
		}
	}
	if err := f.replaceFile(logName, data); err != nil {
		return f.recordFailure(err)
	}
	f.log.Close()
	return f.openLog()
}

func (f *Folder) acquireLock() error {
	lock, err := os.OpenFile(f.filePath(lockName), os.O_CREATE|os.O_RDWR, filePermissions)
	if err != nil {
		return fmt.Errorf("open lock: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return fmt.Errorf("data folder %s is in use by another process: %w", f.path, err)
	}
	f.lock = lock
	return nil
}

func (f *Folder) appendToLog(buffer []byte) error {
	n, err := f.log.Write(buffer)
	f.logSize.Add(int64(n))
	if err != nil {
		return f.recordFailure(fmt.Errorf("write %s: %w", f.filePath(logName), err))
	}
	return nil
}

// replaceFile replaces the content of a file atomically: it writes and syncs a
// temporary file, renames it over the old one and syncs the folder, so that a
// crash leaves either the old or the new content.
func (f *Folder) replaceFile(name string, data []byte) error {
	temporary := f.filePath(name + ".new")
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, filePermissions)
	if err != nil {
		return fmt.Errorf("create %s: %w", temporary, err)
	}
	defer file.Close()
	if _, err := file.Write(data); err != nil {
		return fmt.Errorf("write %s: %w", temporary, err)
	}
	if err := file.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", temporary, err)
	}
	if err := os.Rename(temporary, f.filePath(name)); err != nil {
		return fmt.Errorf("rename %s: %w", temporary, err)
	}
	return f.syncFolder()
}

func (f *Folder) syncFolder() error {
	folder, err := os.Open(f.path)
	if err != nil {
		return fmt.Errorf("open data folder: %w", err)
	}
	defer folder.Close()
	if err := folder.Sync(); err != nil {
		return fmt.Errorf("sync data folder: %w", err)
	}
	return nil
}

func (f *Folder) openLog() error {
	log, err := os.OpenFile(f.filePath(logName), os.O_CREATE|os.O_RDWR|os.O_APPEND, filePermissions)
	if err != nil {
		return f.recordFailure(fmt.Errorf("open log: %w", err))
	}
	f.log = log
	info, err := log.Stat()
	if err != nil {
		return f.recordFailure(fmt.Errorf("stat log: %w", err))
	}
	f.logSize.Store(info.Size())
	return nil
}

// recordFailure makes every later Append, Sync and SaveSnapshot return err, and
// returns err.
func (f *Folder) recordFailure(err error) error {
	f.failure = err
	return err
}

func (f *Folder) filePath(name string) string { return filepath.Join(f.path, name) }

// LogSize returns the length of the log file in bytes. It is safe for concurrent
// use.
func (f *Folder) LogSize() int64 { return f.logSize.Load() }

func marshal(m proto.Message) ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return data, nil
}

// Identity returns the identity of the replica that owns the folder, or nil if the
// folder has never been used.
func (f *Folder) Identity() *peer.Identity { return f.identity }

// SaveIdentity durably stores the identity of the replica that owns the folder.
// The caller must call it before it stores anything else, so that a folder with
// content always has an identity.
func (f *Folder) SaveIdentity(identity *peer.Identity) error {
	data, err := appendRecord(nil, identity)
	if err != nil {
		return err
	}
	if err := f.replaceFile(identityName, data); err != nil {
		return f.recordFailure(err)
	}
	f.identity = identity
	return nil
}
