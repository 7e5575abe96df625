package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"auburnscale/platform/standin"
)

var framings = []standin.Framing{standin.FramedByLength, standin.FramedByChunks, standin.FramedByClose}

// TestStreamInEveryFraming checks that a whole stream reaches the caller unchanged, however its
// end is marked and whichever line ends it has.
func TestStreamInEveryFraming(t *testing.T) {
	for _, framing := range framings {
		for name, body := range map[string]string{"lf": threeEvents, "crlf": strings.ReplaceAll(threeEvents, "\n", "\r\n")} {
			t.Run(string(framing)+" "+name, func(t *testing.T) {
				f := newFixture(t, 1)
				f.targets[0].Script(standin.StreamOf(body, framing))
				response, _ := f.send(http.MethodPost, "/streams/1", streamHeaders...)
				require.NoError(t, response.err)
				require.Equal(t, http.StatusOK, response.status)
				require.Equal(t, body, response.body)
			})
		}
	}
}

// TestStreamThatEndsInsideAnEvent checks that a stream whose last event is not complete counts as
// broken off in every framing: it must not look complete to the caller, it proves no prompt block
// sound, and it is resumed at another target where the route allows that.
func TestStreamThatEndsInsideAnEvent(t *testing.T) {
	const broken = "id: 1\ndata: piece 1\n\nid: 2\ndata: pie"
	for _, framing := range framings {
		t.Run(string(framing), func(t *testing.T) {
			f := newFixture(t, 1)
			f.targets[0].Script(standin.StreamOf(broken, framing))
			response, id := f.send(http.MethodPost, "/streams/1", badHeaders...)
			require.Error(t, response.err)
			require.Equal(t, 1, f.runs(id))
			report, _ := f.blocks.Report("")
			require.Len(t, report.GetCrashed(), 1)
			require.Empty(t, report.GetSound())
		})
		t.Run(string(framing)+", resumable", func(t *testing.T) {
			f := newFixture(t, 2)
			once := onlyFirst(standin.StreamOf(broken, framing))
			f.targets[0].Script(once)
			f.targets[1].Script(once)
			response, _ := f.send(http.MethodPost, "/resumable/1", streamHeaders...)
			require.NoError(t, response.err)
			require.Equal(t, threeEvents, response.body)
		})
	}
}
