package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"

	"google.golang.org/protobuf/proto"

	"auburnscale/peer"
)

const (
	headerBytes = 12
	// maxRecordBytes bounds a record's payload, so that a damaged length
	// cannot cause an excessive memory allocation.
	maxRecordBytes = 256 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var errInvalidRecord = errors.New("record is incomplete or its checksum does not match")

// appendRecord appends the record of m, header and payload, to buffer.
func appendRecord(buffer []byte, m proto.Message) ([]byte, error) {
	payload, err := marshal(m)
	if err != nil {
		return nil, err
	}
	if len(payload) > maxRecordBytes {
		return nil, fmt.Errorf("record of %d bytes exceeds the limit of %d bytes", len(payload), maxRecordBytes)
	}
	var header [headerBytes]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(header[:8], castagnoli))
	buffer = append(buffer, header[:]...)
	return append(buffer, payload...), nil
}

// decodeRecord returns the payload of the record at the start of data and the
// length of the record with its header, in bytes. It returns errInvalidRecord if
// data does not start with an intact record.
func decodeRecord(data []byte) ([]byte, int, error) {
	if len(data) < headerBytes {
		return nil, 0, errInvalidRecord
	}
	if crc32.Checksum(data[:8], castagnoli) != binary.LittleEndian.Uint32(data[8:]) {
		return nil, 0, errInvalidRecord
	}
	length := int(binary.LittleEndian.Uint32(data))
	if length > maxRecordBytes || headerBytes+length > len(data) {
		return nil, 0, errInvalidRecord
	}
	payload := data[headerBytes : headerBytes+length]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, 0, errInvalidRecord
	}
	return payload, headerBytes + length, nil
}

// intactRecordAfter reports whether an intact record with a payload starts
// anywhere after the first byte of data, which itself starts with a damaged record.
// The header checksum keeps the search linear, because payloads are only read
// where a valid header stands.
func intactRecordAfter(data []byte) bool {
	for i := 1; i+headerBytes < len(data); i++ {
		payload, _, err := decodeRecord(data[i:])
		if err == nil && len(payload) > 0 {
			return true
		}
	}
	return false
}

func (f *Folder) load() error {
	if err := f.loadSnapshot(); err != nil {
		return err
	}
	if err := f.loadIdentity(); err != nil {
		return err
	}
	data, err := os.ReadFile(f.filePath(logName))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("read log: %w", err)
	}
	intactBytes, err := f.replay(data)
	if err != nil {
		return err
	}
	if err := f.openLog(); err != nil {
		return err
	}
	// openLog may have created the log. Its directory entry must be as durable as
	// the data that will be synced to the file.
	if err := f.syncFolder(); err != nil {
		return f.recordFailure(err)
	}
	if intactBytes == len(data) {
		return nil
	}
	return f.truncateTail(int64(intactBytes))
}

func (f *Folder) loadSnapshot() error {
	snapshot := &peer.Snapshot{}
	found, err := f.loadRecord(snapshotName, snapshot)
	if found {
		f.snapshot = snapshot
	}
	return err
}

func (f *Folder) loadIdentity() error {
	identity := &peer.Identity{}
	found, err := f.loadRecord(identityName, identity)
	if found {
		f.identity = identity
	}
	return err
}

// loadRecord reads a file that consists of one record. It returns false if there
// is no such file.
func (f *Folder) loadRecord(name string, into proto.Message) (bool, error) {
	data, err := os.ReadFile(f.filePath(name))
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("read %s: %w", name, err)
	}
	payload, _, err := decodeRecord(data)
	if err != nil {
		return false, fmt.Errorf("%s: offset 0: %w", f.filePath(name), err)
	}
	if err := proto.Unmarshal(payload, into); err != nil {
		return false, fmt.Errorf("%s: offset 0: %w", f.filePath(name), err)
	}
	return true, nil
}

// replay applies the records in data, the content of the log file, and returns
// the length of the intact part in bytes. A damaged record that intact records
// follow is an error; a damaged tail is not, since an interrupted write leaves one.
func (f *Folder) replay(data []byte) (int, error) {
	offset := 0
	for offset < len(data) {
		payload, n, err := decodeRecord(data[offset:])
		if err != nil {
			if intactRecordAfter(data[offset:]) {
				return 0, fmt.Errorf("%s: offset %d: %w, and intact records follow it", f.filePath(logName), offset, err)
			}
			return offset, nil
		}
		if err := f.replayRecord(payload); err != nil {
			return 0, fmt.Errorf("%s: offset %d: %w", f.filePath(logName), offset, err)
		}
		offset += n
	}
	return offset, nil
}

func (f *Folder) replayRecord(payload []byte) error {
	record := &peer.Record{}
	if err := proto.Unmarshal(payload, record); err != nil {
		return fmt.Errorf("decode record: %w", err)
	}
	if hard := record.GetHard(); hard != nil {
		f.hard = hard
		return nil
	}
	entry := record.GetEntry()
	if entry == nil {
		return errors.New("record holds neither a hard state nor an entry")
	}
	return f.replayEntry(entry)
}

// replayEntry places the entry into the loaded entries and drops those with a
// higher index. It skips entries that the snapshot covers: a crash between saving
// a snapshot and rewriting the log leaves them.
func (f *Folder) replayEntry(entry *peer.Entry) error {
	first := f.snapshot.GetIndex() + 1
	if entry.Index < first {
		return nil
	}
	position := int(entry.Index - first)
	if position > len(f.entries) {
		return fmt.Errorf("log has a gap: entry %d follows entry %d", entry.Index, first+uint64(len(f.entries))-1)
	}
	f.entries = append(f.entries[:position], entry)
	return nil
}

func (f *Folder) truncateTail(size int64) error {
	if err := f.log.Truncate(size); err != nil {
		return f.recordFailure(fmt.Errorf("truncate torn tail of the log: %w", err))
	}
	f.logSize.Store(size)
	return f.Sync()
}
