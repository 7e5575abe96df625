package diagnostic

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Index returns "key[i]", the position of an element of an array.
func Index(key string, i int) string { return fmt.Sprintf("%s[%d]", key, i) }

// DecodeTOML decodes data into target. It adds a finding, with line and column,
// for a syntax error, for a value of the wrong type and for every unknown key. It
// reports whether target was decoded, which unknown keys do not prevent.
func DecodeTOML(path string, data []byte, target any, list *List) bool {
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	err := decoder.Decode(target)
	if err == nil {
		return true
	}
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		for _, e := range unknown.Errors {
			row, column := e.Position()
			list.Add(fmt.Sprintf("%s:%d:%d", path, row, column), strings.Join(e.Key(), "."), "unknown key")
		}
		return true
	}
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		row, column := decodeError.Position()
		list.Add(fmt.Sprintf("%s:%d:%d", path, row, column), strings.Join(decodeError.Key(), "."), "%v", decodeError)
		return false
	}
	list.Add(path, "", "%v", err)
	return false
}
