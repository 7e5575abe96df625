// Package proposal checks a configuration document before an operator sends it to a routed deployment.
//
// It finds what a control instance would refuse, entries that can never match, limits that contradict each other, and
// what differs from the version in force. It decodes a document with the code of the control instances. It must not
// send anything.
//
// # Usage
//
//	report := proposal.Check(document, inForce)
//	for _, f := range report.Findings { fmt.Println(f) }
package proposal

import (
	"fmt"
	"slices"

	"auburnscale/catalog"
	"auburnscale/platform"
)

// A Kind groups findings by what they mean for the operator.
type Kind string

// The kinds of findings.
const (
	// Invalid is what a control instance would refuse, or read otherwise than it is written.
	Invalid Kind = "invalid"
	// Unmatched is an entry that can never match a request.
	Unmatched Kind = "unmatched"
	// Contradictory is a limit that another limit makes pointless.
	Contradictory Kind = "contradictory"
)

// A Finding is a place in the document that the operator should change.
type Finding struct {
	Kind Kind `json:"kind"`
	// Path is the place in the document, as in "routes[3].prefix"; Line is its line, from 1 on, or 0 if it has none.
	Path   string `json:"path"`
	Line   int    `json:"line,omitempty"`
	Detail string `json:"detail"`
}

// String returns the finding as one line of text.
func (f Finding) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s: %s", f.Kind, f.Path, f.Detail)
	}
	return fmt.Sprintf("%s: line %d: %s: %s", f.Kind, f.Line, f.Path, f.Detail)
}

// A Report is the result of a check.
type Report struct {
	Findings []Finding `json:"findings"`
	// Differences lists what differs from the version in force, those first that act on connected callers.
	Differences []Difference `json:"differences,omitempty"`
}

// Check checks the document. inForce is the document in force, or nil if it is not known.
func Check(document, inForce []byte) Report {
	c := &checker{document: document}
	for at, b := range document {
		if b == '\n' {
			c.newlines = append(c.newlines, int64(at))
		}
	}
	if !c.scan() {
		return c.report
	}
	configuration, err := platform.DecodeConfiguration(document)
	if err != nil {
		c.add(Invalid, "", "%v", err)
		return c.report
	}
	_, findings := catalog.New(configuration)
	for _, f := range findings.Findings() {
		c.add(Invalid, f.Key(), "%s", f.Detail())
	}
	c.checkMatches(&configuration)
	c.checkLimits(&configuration)
	c.compare(&configuration, inForce)
	c.sort()
	return c.report
}

// A checker holds the document and what was found in it.
type checker struct {
	document []byte
	// newlines holds where the lines of the document end.
	newlines []int64
	// offsets holds where the value of each path begins.
	offsets map[string]int64
	report  Report
}

// add adds a finding about the place, which is named as in a catalog.
func (c *checker) add(kind Kind, place, detail string, args ...any) {
	path := platform.DocumentPath(place)
	c.report.Findings = append(c.report.Findings, Finding{Kind: kind, Path: path, Line: c.line(path), Detail: fmt.Sprintf(detail, args...)})
}

// line returns the line of the path, or of the innermost object around it that the document has.
func (c *checker) line(path string) int {
	for ; path != ""; path = parentPath(path) {
		if offset, ok := c.offsets[path]; ok {
			return c.lineAt(offset)
		}
	}
	return 0
}

func (c *checker) lineAt(offset int64) int {
	before, _ := slices.BinarySearch(c.newlines, offset)
	return 1 + before
}

// sort orders the findings by their place in the document.
func (c *checker) sort() {
	slices.SortStableFunc(c.report.Findings, func(a, b Finding) int { return a.Line - b.Line })
}

// compare adds the differences from the document in force, and a finding if its version is not below that of the proposal.
func (c *checker) compare(proposed *catalog.Configuration, inForce []byte) {
	if inForce == nil {
		return
	}
	current, err := platform.DecodeConfiguration(inForce)
	if err != nil {
		c.add(Invalid, "", "the configuration in force cannot be read: %v", err)
		return
	}
	if proposed.Version <= current.Version {
		c.add(Invalid, "version", "%d is not above the version in force, %d: it would change nothing", proposed.Version, current.Version)
	}
	c.report.Differences = differences(&current, proposed)
}
