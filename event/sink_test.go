package event

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// TestBlockedOutput logs to a pipe that is not read. Logging must not block, and
// memory must stay bounded by the queues.
func TestBlockedOutput(t *testing.T) {
	reader, writer := io.Pipe()
	s := NewSink(writer)
	logger := s.Logger()
	const lines = 5 * queueCapacity
	for i := range lines {
		logger.Log(RequestServed, zap.Int("n", i))
		logger.Log(RequestRefused, zap.Int("n", i))
	}
	require.Positive(t, s.Dropped())
	require.LessOrEqual(t, len(s.info)+len(s.urgent), 2*queueCapacity)

	// Once the pipe is read, the refusals come before the info lines.
	scanner := bufio.NewScanner(reader)
	refused, droppedReported := 0, false
	for !droppedReported && scanner.Scan() {
		var line struct {
			Message string `json:"msg"`
		}
		require.NoError(t, json.Unmarshal(scanner.Bytes(), &line))
		if line.Message == RequestRefused.name {
			refused++
		}
		droppedReported = droppedReported || line.Message == LogLinesDropped.name
	}
	require.True(t, droppedReported)
	require.Positive(t, refused)
	_ = reader.Close()
	s.Close(10 * time.Second)
}

type safeBuffer struct {
	mutex sync.Mutex
	strings.Builder
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.Builder.Write(p)
}

// TestInfoLinesAreDroppedFirst exceeds the rate limit of info lines. Every refusal
// must still be written.
func TestInfoLinesAreDroppedFirst(t *testing.T) {
	var out safeBuffer
	s := NewSink(&out)
	logger := s.Logger(zap.String("instance", "a1"))
	for i := range 2 * infoLineBurst {
		logger.Log(RequestServed, zap.Int("n", i))
	}
	for i := range 100 {
		logger.Log(RequestRefused, zap.String("request", fmt.Sprint("r", i)))
	}
	s.Close(time.Minute)
	for i := range 100 {
		require.Contains(t, out.String(), fmt.Sprintf(`"request":"r%d"`, i))
	}
	require.Positive(t, s.Dropped())
}

func TestCatalogueNumbersAreUnique(t *testing.T) {
	seen := map[int]string{}
	names := map[string]bool{}
	for _, k := range catalogue {
		require.Empty(t, seen[k.number], "%d is %s and %s", k.number, seen[k.number], k.name)
		require.False(t, names[k.name], k.name)
		seen[k.number], names[k.name] = k.name, true
	}
}
