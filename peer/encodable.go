package peer

import (
	"fmt"
	"strings"
	"sync"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Unencodable returns the paths of the string fields of m that are not valid UTF-8, such as
// "rows[3].id". A message with such a field cannot be encoded at all.
func Unencodable(m proto.Message) []string {
	var w textWalker
	w.walk(m.ProtoReflect(), "")
	return w.paths
}

// Encodable returns m if it can be encoded. Otherwise it returns a copy that can, and the paths of
// what it lacks: a list element with text that is not valid UTF-8 is left out as a whole, and such a
// text elsewhere is reduced to its valid part. m itself is not changed.
func Encodable(m proto.Message) (proto.Message, []string) {
	paths := Unencodable(m)
	if len(paths) == 0 {
		return m, nil
	}
	repaired := proto.Clone(m)
	w := textWalker{repair: true}
	w.walk(repaired.ProtoReflect(), "")
	return repaired, paths
}

// A textWalker visits the string fields of a message and collects the paths of those that are not
// valid UTF-8. With repair it changes the message so that it has none.
type textWalker struct {
	repair bool
	paths  []string
}

// textFields lists the fields of a message type that are strings or may contain strings.
type textFields []protoreflect.FieldDescriptor

// textFieldsByType caches textFieldsOf by message type.
var textFieldsByType sync.Map

func textFieldsOf(d protoreflect.MessageDescriptor) textFields {
	if known, ok := textFieldsByType.Load(d.FullName()); ok {
		return known.(textFields)
	}
	var fields textFields
	all := d.Fields()
	for i := range all.Len() {
		if f := all.Get(i); hasText(f, map[protoreflect.FullName]bool{}) {
			fields = append(fields, f)
		}
	}
	textFieldsByType.Store(d.FullName(), fields)
	return fields
}

// hasText reports whether the field is a string or a message that may contain one. visited holds the
// message types on the way to the field.
func hasText(f protoreflect.FieldDescriptor, visited map[protoreflect.FullName]bool) bool {
	if f.Kind() == protoreflect.StringKind {
		return true
	}
	d := f.Message()
	if d == nil || visited[d.FullName()] {
		return false
	}
	visited[d.FullName()] = true
	fields := d.Fields()
	for i := range fields.Len() {
		if hasText(fields.Get(i), visited) {
			return true
		}
	}
	return false
}

// walk visits the fields of m. prefix is the path of m with a final dot, or empty.
func (w *textWalker) walk(m protoreflect.Message, prefix string) {
	for _, f := range textFieldsOf(m.Descriptor()) {
		if !m.Has(f) {
			continue
		}
		name := prefix + string(f.Name())
		switch {
		case f.IsList():
			w.walkList(m.Get(f).List(), f, name)
		case f.Kind() == protoreflect.StringKind:
			if text := m.Get(f).String(); !utf8.ValidString(text) {
				w.paths = append(w.paths, name)
				if w.repair {
					m.Set(f, protoreflect.ValueOfString(strings.ToValidUTF8(text, "")))
				}
			}
		default:
			w.walk(m.Get(f).Message(), name+".")
		}
	}
}

// walkList visits the elements of a list. With repair it removes those that are not valid.
func (w *textWalker) walkList(list protoreflect.List, f protoreflect.FieldDescriptor, name string) {
	kept := 0
	for i := range list.Len() {
		element := list.Get(i)
		before := len(w.paths)
		if f.Kind() == protoreflect.StringKind {
			if !utf8.ValidString(element.String()) {
				w.paths = append(w.paths, fmt.Sprintf("%s[%d]", name, i))
			}
		} else {
			w.walkElement(element.Message(), name, i)
		}
		if w.repair && len(w.paths) == before {
			list.Set(kept, element)
			kept++
		}
	}
	if w.repair {
		list.Truncate(kept)
	}
}

// walkElement visits a message in a list. Its path is only formatted if it has text that is not valid.
func (w *textWalker) walkElement(m protoreflect.Message, name string, index int) {
	if row, ok := m.Interface().(*TargetRow); ok && row.hasValidText() {
		return
	}
	before := len(w.paths)
	w.walk(m, "")
	for i := before; i < len(w.paths); i++ {
		w.paths[i] = fmt.Sprintf("%s[%d].%s", name, index, w.paths[i])
	}
}

// hasValidText reports whether all strings of the row are valid. Rows are by far the most frequent
// messages, and reflection would cost more than encoding them.
func (r *TargetRow) hasValidText() bool {
	return utf8.ValidString(r.Id) && utf8.ValidString(r.Service) && utf8.ValidString(r.Address) && utf8.ValidString(r.Domain) && utf8.ValidString(r.SoftwareVersion)
}
