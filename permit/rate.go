package permit

import (
	"math"
	"strconv"
	"strings"
)

// ParseRate decodes a decimal number of requests a second. It returns false for anything else,
// and for numbers that are negative or too large to be one.
func ParseRate(text string) (perSecond float64, ok bool) {
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 || strings.ContainsAny(text, "xX_") {
		return 0, false
	}
	return perSecond, true
}
