package serve

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/standin"
)

// chatWithDocument requests a completion whose messages share the document with other requests.
func (s *testCluster) chatWithDocument(name, document, question string) callerResponse {
	return s.post(name, guildKey, "/v1/chat/completions", fmt.Sprintf(
		`{"model":"rider","max_tokens":3,"messages":[{"role":"system","content":"You know the members' riders."},{"role":"user","content":%q},{"role":"user","content":%q}]}`, document, question))
}

// TestCrashingMessageIsQuarantined guards against the cause of incident inc1 on the OpenAI-style
// path: requests that share a message, no two alike, crash one engine after the other at all
// instances. Requests with the other messages are served all the time.
func TestCrashingMessageIsQuarantined(t *testing.T) {
	const engineCount = 14
	s := newTestCluster(t, engines(engineCount, standin.Faults{CrashMarker: "poison"}), nil)
	s.start()
	instances := []string{"a1", "a2", "b1", "b2"}
	const rounds = 24
	soundServed := 0
	for n := range rounds {
		name := instances[n%len(instances)]
		if sound := s.chatWithDocument(name, "the rider of the band", fmt.Sprint("question ", n)); sound.status == 200 {
			soundServed++
		} else {
			t.Logf("sound request %d at %s: %d %s", n, name, sound.status, sound.body)
		}
		require.NotEqual(t, 200, s.chatWithDocument(name, "a poison rider", fmt.Sprint("question ", n)).status)
		// Crashes at the same moment count as one.
		time.Sleep(300 * time.Millisecond)
	}
	crashed := 0
	for _, e := range s.engines {
		if e.Crashed() {
			crashed++
		}
	}
	t.Logf("%d engines crashed, %d of %d sound requests served", crashed, soundServed, rounds)
	require.LessOrEqual(t, crashed, fifthCrash+maxLateRequests)
	require.Equal(t, rounds, soundServed)
	last := s.chatWithDocument("b2", "a poison rider", "the last question")
	require.Equal(t, "quarantined not_run", last.code(), last.body)
}
