package storage

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"auburnscale/peer"
)

const leavesName = "leaves"

// Leaves stores the rows of targets that leave, in a file of its own beside the log. A target whose leave was
// acknowledged sends nothing more, so its row must outlive the end of all control instances. It is safe for
// concurrent use.
type Leaves struct {
	folder Folder

	// writing is held during a write, mutex while next is used.
	writing sync.Mutex
	mutex   sync.Mutex
	// next is the write that callers wait for and that has not begun, or nil.
	next *leavesWrite
}

// A leavesWrite is a write that several callers of Save wait for.
type leavesWrite struct {
	done chan struct{}
	err  error
}

// NewLeaves returns the store in the data folder at path, which must exist.
func NewLeaves(path string) *Leaves { return &Leaves{folder: Folder{path: path}} }

// Load returns the rows that were saved last, older by the time since then. It returns none if nothing was saved.
func (l *Leaves) Load() ([]*peer.TargetRow, error) {
	name := l.folder.filePath(leavesName)
	data, err := os.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read leaves: %w", err)
	}
	payload, _, err := decodeRecord(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", filepath.Base(name), err)
	}
	rows := &peer.TargetRows{}
	if err := proto.Unmarshal(payload, rows); err != nil {
		return nil, fmt.Errorf("decode %s: %w", name, err)
	}
	info, err := os.Stat(name)
	if err != nil {
		return nil, fmt.Errorf("stat leaves: %w", err)
	}
	age := max(0, time.Since(info.ModTime()).Milliseconds())
	for _, row := range rows.Rows {
		row.AgeMs += age
	}
	return rows.Rows, nil
}

// Save makes the rows that collect returns durable, in place of those that were saved before. It returns once a write
// that called collect after the call of Save has ended; callers share such a write.
func (l *Leaves) Save(collect func() []*peer.TargetRow) error {
	l.mutex.Lock()
	write, begins := l.next, false
	if write == nil {
		write, begins = &leavesWrite{done: make(chan struct{})}, true
		l.next = write
	}
	l.mutex.Unlock()
	if begins {
		l.writing.Lock()
		l.mutex.Lock()
		l.next = nil
		l.mutex.Unlock()
		write.err = l.write(collect())
		l.writing.Unlock()
		close(write.done)
	}
	<-write.done
	return write.err
}

func (l *Leaves) write(rows []*peer.TargetRow) error {
	data, err := appendRecord(nil, &peer.TargetRows{Rows: rows})
	if err != nil {
		return err
	}
	return l.folder.replaceFile(leavesName, data)
}
