// Package diagnostic collects the errors in an input, each with its position, so that
// one validation pass reports all of them.
//
// It owns the List type. It must not import any other package of this module.
//
// # Usage
//
//	var list diagnostic.List
//	list.Add("inventory.toml", "targets[3].address", "host name instead of an IP address")
//	return list.Err()
package diagnostic

import (
	"fmt"
	"strings"
)

// A Finding is one error in an input.
type Finding struct {
	file   string
	key    string
	detail string
}

// String returns "file: key: detail".
func (f Finding) String() string {
	if f.key == "" {
		return fmt.Sprintf("%s: %s", f.file, f.detail)
	}
	return fmt.Sprintf("%s: %s: %s", f.file, f.key, f.detail)
}

// Key returns the place of the finding in its input.
func (f Finding) Key() string { return f.key }

// Detail returns what is wrong there.
func (f Finding) Detail() string { return f.detail }

// A List holds the findings of one check in the order in which they were added.
// The zero value is an empty list.
type List struct {
	findings []Finding
}

// Add appends a finding about key in file. The detail is formatted as by
// fmt.Sprintf.
func (l *List) Add(file, key, detail string, args ...any) {
	l.findings = append(l.findings, Finding{file: file, key: key, detail: fmt.Sprintf(detail, args...)})
}

// Findings returns the findings. The caller must not change them.
func (l *List) Findings() []Finding { return l.findings }

// Merge appends the findings of other.
func (l *List) Merge(other *List) {
	l.findings = append(l.findings, other.findings...)
}

// Len returns the number of findings.
func (l *List) Len() int { return len(l.findings) }

// Lines returns one line per finding.
func (l *List) Lines() []string {
	lines := make([]string, 0, len(l.findings))
	for _, f := range l.findings {
		lines = append(lines, f.String())
	}
	return lines
}

// Err returns nil for an empty list, and otherwise one error that contains all
// lines.
func (l *List) Err() error {
	if len(l.findings) == 0 {
		return nil
	}
	return fmt.Errorf("%d findings:\n%s", len(l.findings), strings.Join(l.Lines(), "\n"))
}
