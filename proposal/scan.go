package proposal

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"

	"auburnscale/diagnostic"
	"auburnscale/platform"
)

// maxScanDepth bounds the nesting of a document that is scanned. A valid one has five levels.
const maxScanDepth = 64

var errTooDeep = errors.New("the document is nested too deeply")

// scan records where each value of the document begins, and adds findings for names that occur twice or are unknown. It
// returns false if the document is not JSON.
func (c *checker) scan() bool {
	c.offsets = map[string]int64{}
	s := &scanner{checker: c, decoder: json.NewDecoder(bytes.NewReader(c.document)), fields: platform.DocumentFields()}
	s.decoder.UseNumber()
	err := s.value("", 0)
	if err == nil {
		if _, more := s.decoder.Token(); !errors.Is(more, io.EOF) {
			err = errors.New("there is more after the end of the document")
		}
	}
	if err == nil {
		return true
	}
	offset := s.decoder.InputOffset()
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = min(syntax.Offset, int64(len(c.document)))
	}
	c.report.Findings = append(c.report.Findings, Finding{Kind: Invalid, Line: c.lineAt(offset), Detail: fmt.Sprintf("the document cannot be read: %v", err)})
	return false
}

// A scanner walks through the values of a document.
type scanner struct {
	checker *checker
	decoder *json.Decoder
	// fields holds the known names by the path of their object, without indices.
	fields map[string][]string
}

// value reads the value at the path.
func (s *scanner) value(path string, depth int) error {
	if depth > maxScanDepth {
		return errTooDeep
	}
	token, err := s.decoder.Token()
	if err != nil {
		return err
	}
	if _, known := s.checker.offsets[path]; !known {
		s.checker.offsets[path] = s.decoder.InputOffset()
	}
	switch token {
	case json.Delim('{'):
		return s.object(path, depth)
	case json.Delim('['):
		for i := 0; s.decoder.More(); i++ {
			if err := s.value(diagnostic.Index(path, i), depth+1); err != nil {
				return err
			}
		}
		_, err = s.decoder.Token()
	}
	return err
}

func (s *scanner) object(path string, depth int) error {
	seen := map[string]bool{}
	for s.decoder.More() {
		token, err := s.decoder.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		child := strings.TrimPrefix(path+"."+name, ".")
		line := s.checker.lineAt(s.decoder.InputOffset())
		if seen[name] {
			s.add(child, line, "the name occurs twice in its object; only the last value counts")
		}
		seen[name] = true
		if known := s.fields[withoutIndices(path)]; known != nil && !slices.Contains(known, name) {
			s.add(child, line, "unknown name; the nearest known one is %q", nearest(name, known))
		}
		if err := s.value(child, depth+1); err != nil {
			return err
		}
	}
	_, err := s.decoder.Token()
	return err
}

func (s *scanner) add(path string, line int, detail string, args ...any) {
	c := s.checker
	c.report.Findings = append(c.report.Findings, Finding{Kind: Invalid, Path: path, Line: line, Detail: fmt.Sprintf(detail, args...)})
}

var index = regexp.MustCompile(`\[\d+\]`)

func withoutIndices(path string) string { return index.ReplaceAllString(path, "") }

// parentPath returns the path of the object or list that holds the value of the path, or "".
func parentPath(path string) string { return path[:max(0, strings.LastIndexAny(path, ".["))] }

// nearest returns the known name with the least edit distance from the name.
func nearest(name string, known []string) string {
	return slices.MinFunc(known, func(a, b string) int { return distance(name, a) - distance(name, b) })
}

// distance returns the edit distance (Levenshtein) between two names, ignoring case.
func distance(a, b string) int {
	a, b = strings.ToLower(a), strings.ToLower(b)
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			change := diagonal
			if a[i-1] != b[j-1] {
				change++
			}
			diagonal = row[j]
			row[j] = min(change, row[j]+1, row[j-1]+1)
		}
	}
	return row[len(b)]
}
