package proposal

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"auburnscale/catalog"
)

// A Difference is one thing that the proposal adds, removes or changes.
type Difference struct {
	// Change is "added", "removed" or "changed".
	Change string `json:"change"`
	// Subject names what differs, as in "route r-1".
	Subject string `json:"subject"`
	Detail  string `json:"detail,omitempty"`
	// Connected is true if the change acts on callers that are connected: a key that is taken away, or a quota that is
	// lowered.
	Connected bool `json:"connected,omitempty"`
}

// String returns the difference as one line of text.
func (d Difference) String() string {
	text := d.Change + " " + d.Subject
	if d.Detail != "" {
		text += ": " + d.Detail
	}
	if d.Connected {
		text += " (acts on connected callers)"
	}
	return text
}

// differences returns what differs between two configurations, what acts on connected callers first.
func differences(current, proposed *catalog.Configuration) []Difference {
	var list []Difference
	list = append(list, compareNamed("route", byName(current.Routes, routeName), byName(proposed.Routes, routeName))...)
	list = append(list, compareNamed("service", byName(current.Services, serviceName), byName(proposed.Services, serviceName))...)
	list = append(list, compareWorkspaces(byName(current.Workspaces, workspaceName), byName(proposed.Workspaces, workspaceName))...)
	if detail := changedFields(current.Limits, proposed.Limits); detail != "" {
		list = append(list, Difference{Change: "changed", Subject: "limits", Detail: detail})
	}
	slices.SortStableFunc(list, func(a, b Difference) int { return cmp.Compare(rank(a), rank(b)) })
	return list
}

func rank(d Difference) int {
	if d.Connected {
		return 0
	}
	return 1
}

func routeName(r *catalog.Route) string         { return r.Name }
func serviceName(s *catalog.Service) string     { return s.Name }
func workspaceName(w *catalog.Workspace) string { return w.Name }

func byName[T any](list []T, name func(*T) string) map[string]T {
	named := make(map[string]T, len(list))
	for i := range list {
		named[name(&list[i])] = list[i]
	}
	return named
}

// compareNamed returns the differences between things of a kind, in the order of their names.
func compareNamed[T any](kind string, current, proposed map[string]T) (list []Difference) {
	for _, name := range allNames(current, proposed) {
		before, was := current[name]
		after, is := proposed[name]
		subject := fmt.Sprintf("%s %q", kind, name)
		switch {
		case !was:
			list = append(list, Difference{Change: "added", Subject: subject})
		case !is:
			list = append(list, Difference{Change: "removed", Subject: subject})
		default:
			if detail := changedFields(before, after); detail != "" {
				list = append(list, Difference{Change: "changed", Subject: subject, Detail: detail})
			}
		}
	}
	return list
}

func allNames[T any](a, b map[string]T) []string {
	names := maps.Clone(a)
	maps.Copy(names, b)
	return slices.Sorted(maps.Keys(names))
}

// changedFields returns the fields of two structures that differ, with both values, or "".
func changedFields(before, after any) string {
	text := ""
	b, a := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range b.NumField() {
		was, is := b.Field(i).Interface(), a.Field(i).Interface()
		if reflect.DeepEqual(was, is) {
			continue
		}
		if text != "" {
			text += ", "
		}
		text += fmt.Sprintf("%s from %s to %s", b.Type().Field(i).Name, valueText(was), valueText(is))
	}
	return text
}

// valueText returns the value as text; of a pointer, the value that it points to.
func valueText(v any) string {
	r := reflect.ValueOf(v)
	if r.Kind() != reflect.Pointer {
		return fmt.Sprint(v)
	}
	if r.IsNil() {
		return "none"
	}
	return fmt.Sprintf("%+v", r.Elem().Interface())
}

// compareWorkspaces returns the differences between workspaces. Keys are shown by their first characters only.
func compareWorkspaces(current, proposed map[string]catalog.Workspace) (list []Difference) {
	for _, name := range allNames(current, proposed) {
		before, was := current[name]
		after, is := proposed[name]
		subject := fmt.Sprintf("workspace %q", name)
		switch {
		case !was:
			list = append(list, Difference{Change: "added", Subject: subject, Detail: fmt.Sprintf("%d keys", len(after.Keys))})
			continue
		case !is:
			list = append(list, Difference{Change: "removed", Subject: subject, Detail: fmt.Sprintf("%d keys are taken away", len(before.Keys)), Connected: len(before.Keys) > 0})
			continue
		}
		list = append(list, compareKeys(subject, before.Keys, after.Keys)...)
		lowered := isLowered(before, after)
		before.Keys, after.Keys = nil, nil
		if detail := changedFields(before, after); detail != "" {
			list = append(list, Difference{Change: "changed", Subject: subject, Detail: detail, Connected: lowered})
		}
	}
	return list
}

func compareKeys(subject string, before, after []string) (list []Difference) {
	for _, key := range before {
		if !slices.Contains(after, key) {
			list = append(list, Difference{Change: "removed", Subject: "key of " + subject, Detail: maskKey(key), Connected: true})
		}
	}
	for _, key := range after {
		if !slices.Contains(before, key) {
			list = append(list, Difference{Change: "added", Subject: "key of " + subject, Detail: maskKey(key)})
		}
	}
	return list
}

// maskKey returns enough of a key to recognize it: a quarter of it, four characters at most.
func maskKey(key string) string { return key[:min(4, len(key)/4)] + "..." }

// isLowered reports whether the workspace gets a quota, or a lower one, or one in another unit.
func isLowered(before, after catalog.Workspace) bool {
	b, a := before.Quota, after.Quota
	if !a.Limited() {
		return false
	}
	return !b.Limited() || b.InTokens != a.InTokens || a.PerSecond < b.PerSecond || a.Burst < b.Burst || a.PlainTokens > b.PlainTokens
}
