package gateway_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"auburnscale/event"
)

// TestLimitsOfTargetsAreLogged checks that the log shows when a target named a rate limit, when
// it changed or ended, and when it could not be understood.
func TestLimitsOfTargetsAreLogged(t *testing.T) {
	core, lines := observer.New(zapcore.InfoLevel)
	f := newFixtureWith(t, 1, fixtureOptions{logger: event.New(zap.New(core))})
	for _, limit := range []string{"", "1000", "1000", "500.5", "soon", ""} {
		f.targets[0].SetLimit(limit)
		response, _ := f.send(http.MethodGet, "/reads/1")
		require.Equal(t, http.StatusOK, response.status)
	}
	var rates []float64
	for _, line := range lines.FilterMessage("target_limited").All() {
		require.Equal(t, "e0", line.ContextMap()["target"])
		require.EqualValues(t, 1, line.ContextMap()["incarnation"])
		rates = append(rates, line.ContextMap()["per_second"].(float64))
	}
	require.Equal(t, []float64{1000, 500.5, 0}, rates)
	require.Len(t, lines.FilterMessage("target_limit_invalid").All(), 1)
}
