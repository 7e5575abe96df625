package peer

import (
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/require"
)

func TestCheckName(t *testing.T) {
	for _, valid := range []string{"i-7f3a91c2", "huvo11a", "é", "a.b_c~d", strings.Repeat("x", MaxNameBytes)} {
		require.NoError(t, CheckName(valid), valid)
	}
	for _, invalid := range []string{"", "i-\xff", "a b", "a\r\nX: 1", "a\x00", "\u200b", "\u2028", "a\u00a0b", "\xed\xa0\x80", strings.Repeat("x", MaxNameBytes+1)} {
		require.Error(t, CheckName(invalid), "%q", invalid)
	}
}

func FuzzClip(f *testing.F) {
	f.Add(strings.Repeat("é", 100), 7)
	f.Add("\xff\xfe", 1)
	f.Fuzz(func(t *testing.T, text string, limit int) {
		limit = max(0, limit)
		got := Clip(text, limit)
		require.True(t, utf8.ValidString(got))
		require.LessOrEqual(t, len(got), limit)
		if utf8.ValidString(text) {
			require.True(t, strings.HasPrefix(text, got))
			require.True(t, len(got) == len(text) || len(got) > limit-utf8.UTFMax)
		}
	})
}
