package peer

import (
	"fmt"
	"math"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// MaxNameBytes bounds the names that come from outside: ids, services, failure domains, versions.
const MaxNameBytes = 256

// CheckName returns an error if the text cannot be a name in a message, a header, a metric or a log
// line: it is empty, longer than MaxNameBytes, not UTF-8, or holds spaces or control characters.
func CheckName(text string) error {
	switch {
	case text == "":
		return fmt.Errorf("is empty")
	case len(text) > MaxNameBytes:
		return fmt.Errorf("has %d bytes, at most %d are accepted", len(text), MaxNameBytes)
	case !utf8.ValidString(text):
		return fmt.Errorf("%q is not UTF-8", text)
	case strings.ContainsFunc(text, func(r rune) bool { return !unicode.IsGraphic(r) || unicode.IsSpace(r) }):
		return fmt.Errorf("%q holds a space or a control character", text)
	}
	return nil
}

// Clip returns the start of the text, at most limit bytes long, as valid UTF-8: it is cut before a
// character rather than inside it, and bytes that are no UTF-8 are left out.
func Clip(text string, limit int) string {
	if len(text) > limit {
		for limit > 0 && !utf8.RuneStart(text[limit]) {
			limit--
		}
		text = text[:limit]
	}
	return strings.ToValidUTF8(text, "")
}

// MaxMilliseconds bounds the times and ages that other instances state. Sums of two larger ones overflow a
// duration.
const MaxMilliseconds = math.MaxInt64 / 2 / int64(time.Millisecond)

// Age returns an age in milliseconds that another instance states as a duration, within 0 and
// MaxMilliseconds.
func Age(ms int64) time.Duration {
	return time.Duration(min(max(0, ms), MaxMilliseconds)) * time.Millisecond
}
