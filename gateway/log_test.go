package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"auburnscale/event"
	"auburnscale/peer"
	"auburnscale/platform/standin"
)

// TestTextsOfCallersAreLoggedBounded sends a request id that is long and not UTF-8: the target gets it unchanged, and
// the log its start.
func TestTextsOfCallersAreLoggedBounded(t *testing.T) {
	core, lines := observer.New(zapcore.InfoLevel)
	f := newFixtureWith(t, 1, fixtureOptions{logger: event.New(zap.New(core))})
	id := "r-\xff" + strings.Repeat("é", 10_000)
	response, _ := f.send(http.MethodPost, "/orders/1", "X-Request-Id", id)
	require.Equal(t, http.StatusOK, response.status)
	require.Equal(t, 1, f.runs(id))
	// The line is written after the response.
	f.waitFor("the request is logged", func() bool { return lines.FilterMessage("request_served").Len() == 1 })
	line := lines.FilterMessage("request_served").All()[0].ContextMap()["request"].(string)
	require.True(t, utf8.ValidString(line))
	require.LessOrEqual(t, len(line), peer.MaxNameBytes)
	require.True(t, strings.HasPrefix(line, "r-éé"))
}

// TestFailedTargetIsLoggedWithPromptBlocks checks that the lines about a target that failed
// and about a request that was served name the prompt blocks, so that logs alone tell which
// block crashes targets and which is sound.
func TestFailedTargetIsLoggedWithPromptBlocks(t *testing.T) {
	core, lines := observer.New(zapcore.InfoLevel)
	f := newFixtureWith(t, 1, fixtureOptions{logger: event.New(zap.New(core))})
	f.targets[0].Script(standin.Reset)
	f.send(http.MethodPost, "/streams/a", "X-Model", "m", "X-Token-Count", "1000,10", "X-Prefix-Hash", "a1:900,b2:50,c3:50")
	f.send(http.MethodPost, "/streams/b", "X-Model", "m", "X-Token-Count", "1000,10", "X-Prefix-Hash", "a1:900,c3:50")

	failed := lines.FilterMessage("target_broke").All()
	require.Len(t, failed, 1)
	fields := failed[0].ContextMap()
	require.Equal(t, []any{"a1", "b2"}, fields["blocks"])
	require.Equal(t, "e0", fields["target"])
	require.EqualValues(t, 1, fields["incarnation"])
	require.Equal(t, false, fields["not_sent"])
	require.EqualValues(t, 0, fields["streamed_ms"])

	f.waitFor("the request is logged", func() bool { return lines.FilterMessage("request_served").Len() > 0 })
	served := lines.FilterMessage("request_served").All()
	require.Len(t, served, 1)
	require.Equal(t, []any{"a1"}, served[0].ContextMap()["blocks"])
	require.NotEqual(t, fields["fingerprint"], served[0].ContextMap()["fingerprint"])
}
