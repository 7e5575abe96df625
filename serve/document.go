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
	// compressThreshold is the size in bytes from which a document is sent and
	// stored compressed. Large documents compress well, since their routes are
	// similar, and are sent to every instance over links that also carry requests.
	compressThreshold = 4 << 10
	// maxDocumentBytes bounds the decompressed size of a document.
	maxDocumentBytes = 16 << 20
)

var errDocumentTooLarge = errors.New("decompressed document exceeds 16 MiB")

// compressDocument returns the document in the form in which it is sent and
// stored: gzip-compressed if body has at least compressThreshold bytes.
func compressDocument(version uint64, body []byte) *peer.ReplaceDocument {
	document := &peer.ReplaceDocument{Version: version, Body: body}
	if len(body) < compressThreshold {
		return document
	}
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	// Writes to a bytes.Buffer do not fail.
	_, _ = w.Write(body)
	_ = w.Close()
	document.Body, document.Packed = compressed.Bytes(), true
	return document
}

// decompressDocument returns the document as the operator sent it. It returns an
// error if the compressed data is damaged or exceeds maxDocumentBytes when
// decompressed.
func decompressDocument(document *peer.ReplaceDocument) ([]byte, error) {
	if !document.Packed {
		return document.Body, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(document.Body))
	if err != nil {
		return nil, fmt.Errorf("decompress configuration version %d: %w", document.Version, err)
	}
	body, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress configuration version %d: %w", document.Version, err)
	}
	if len(body) > maxDocumentBytes {
		return nil, fmt.Errorf("decompress configuration version %d: %w", document.Version, errDocumentTooLarge)
	}
	return body, nil
}

// decodeDocument decodes and validates a configuration document and returns it
// with its version. If it returns an error, the version is the one that could
// be read, or 0.
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
