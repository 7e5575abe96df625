package serve

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"

	"auburnscale/catalog"
	"auburnscale/peer"
	"auburnscale/platform"
)

const (
	// packFrom is the size in bytes from which a document travels and is stored
	// compressed. Large ones have routes that are much alike, and go to every
	// instance over links that carry requests.
	compressThreshold = 4 << 10
	// maxDocument bounds what a packed document grows to, in bytes.
	maxDocumentBytes = 64 << 20
)

var errDocumentTooLarge = errors.New("the document is too large")

// packDocument returns the document as it travels.
func compressDocument(version uint64, body []byte) *peer.ReplaceDocument {
	document := &peer.ReplaceDocument{Version: version, Body: body}
	if len(body) < compressThreshold {
		return document
	}
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	// A buffer takes every write.
	_, _ = w.Write(body)
	_ = w.Close()
	document.Body, document.Packed = compressed.Bytes(), true
	return document
}

// unpackDocument returns the document as the operator sent it.
func decompressDocument(document *peer.ReplaceDocument) ([]byte, error) {
	if !document.Packed {
		return document.Body, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(document.Body))
	if err != nil {
		return nil, fmt.Errorf("unpack version %d: %w", document.Version, err)
	}
	body, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes+1))
	if err != nil {
		return nil, fmt.Errorf("unpack version %d: %w", document.Version, err)
	}
	if len(body) > maxDocumentBytes {
		return nil, fmt.Errorf("unpack version %d: %w", document.Version, errDocumentTooLarge)
	}
	return body, nil
}

// decodeDocument decodes and checks a configuration document. With an error, the
// version is what could be read of it.
func decodeDocument(document *peer.ReplaceDocument) (*catalog.Snapshot, uint64, error) {
	body, err := decompressDocument(document)
	if err != nil {
		return nil, document.Version, err
	}
	return decodeBody(body)
}

func decodeBody(body []byte) (*catalog.Snapshot, uint64, error) {
	configuration, err := platform.DecodeConfiguration(body)
	if err != nil {
		return nil, configuration.Version, err
	}
	snapshot, findings := catalog.New(configuration)
	return snapshot, configuration.Version, findings.Err()
}
