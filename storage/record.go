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
	// cannot ask for the machine's memory.
	maxRecordBytes = 256 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var errIncomplete = errors.New("record is incomplete or its checksum does not match")

func appendRecord(buffer []byte, m proto.Message) ([]byte, error) {
	payload, err := marshal(m)
	if err != nil {
		return nil, err
	}
	if len(payload) > maxRecordBytes {
		return nil, fmt.Errorf("record of %d bytes is over the limit of %d", len(payload), maxRecordBytes)
	}
	var header [headerBytes]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(header[:8], castagnoli))
	buffer = append(buffer, header[:]...)
	return append(buffer, payload...), nil
}

// decodeRecord returns the payload of the record at the start of data and the
// number of bytes the record takes.
func decodeRecord(data []byte) ([]byte, int, error) {
	if len(data) < headerBytes {
		return nil, 0, errIncomplete
	}
	if crc32.Checksum(data[:8], castagnoli) != binary.LittleEndian.Uint32(data[8:]) {
		return nil, 0, errIncomplete
	}
	length := int(binary.LittleEndian.Uint32(data))
	if length > maxRecordBytes || headerBytes+length > len(data) {
		return nil, 0, errIncomplete
	}
	payload := data[headerBytes : headerBytes+length]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, 0, errIncomplete
	}
	return payload, headerBytes + length, nil
}

// intactRecordAfter reports whether any intact, non-empty record starts behind
// the damage at the start of data. The header checksum keeps the search linear.
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
	data, err := os.ReadFile(f.file(logName))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("read log: %w", err)
	}
	good, err := f.replay(data)
	if err != nil {
		return err
	}
	if err := f.openLog(); err != nil {
		return err
	}
	// The log may have been created just now; its name must be as durable as
	// what will be synced into it.
	if err := f.syncFolder(); err != nil {
		return f.fail(err)
	}
	if good == len(data) {
		return nil
	}
	return f.cutTail(int64(good))
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

// loadRecord reads a file of one record. It returns false if there is none.
func (f *Folder) loadRecord(name string, into proto.Message) (bool, error) {
	data, err := os.ReadFile(f.file(name))
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("read %s: %w", name, err)
	}
	payload, _, err := decodeRecord(data)
	if err != nil {
		return false, fmt.Errorf("%s: offset 0: %w", f.file(name), err)
	}
	if err := proto.Unmarshal(payload, into); err != nil {
		return false, fmt.Errorf("%s: offset 0: %w", f.file(name), err)
	}
	return true, nil
}

// replay applies the records of data and returns the length of the intact part.
func (f *Folder) replay(data []byte) (int, error) {
	offset := 0
	for offset < len(data) {
		payload, n, err := decodeRecord(data[offset:])
		if err != nil {
			if intactRecordAfter(data[offset:]) {
				return 0, fmt.Errorf("%s: offset %d: %w, and intact records follow it", f.file(logName), offset, err)
			}
			return offset, nil
		}
		if err := f.replayRecord(payload); err != nil {
			return 0, fmt.Errorf("%s: offset %d: %w", f.file(logName), offset, err)
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
		return errors.New("record holds neither hard state nor an entry")
	}
	return f.replayEntry(entry)
}

func (f *Folder) replayEntry(entry *peer.Entry) error {
	first := f.snapshot.GetIndex() + 1
	if entry.Index < first {
		return nil
	}
	position := int(entry.Index - first)
	if position > len(f.entries) {
		return fmt.Errorf("entry %d leaves a gap after entry %d", entry.Index, first+uint64(len(f.entries))-1)
	}
	f.entries = append(f.entries[:position], entry)
	return nil
}

func (f *Folder) cutTail(size int64) error {
	if err := f.log.Truncate(size); err != nil {
		return f.fail(fmt.Errorf("cut torn tail: %w", err))
	}
	f.size.Store(size)
	return f.Sync()
}
