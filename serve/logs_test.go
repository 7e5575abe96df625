package serve

import (
	"sync"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"auburnscale/event"
)

// maxKeptLines bounds the log lines that are kept of one instance.
const maxKeptLines = 400

// A lineKeeper keeps the last log lines of an instance.
type lineKeeper struct {
	mutex sync.Mutex
	lines []string
}

// Write keeps one line.
func (k *lineKeeper) Write(line []byte) (int, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if len(k.lines) == maxKeptLines {
		k.lines = k.lines[1:]
	}
	k.lines = append(k.lines, string(line))
	return len(line), nil
}

// newTestLogger returns the logger of an instance of the test. The last lines are shown if the
// test fails, so that a failure that comes once can be traced.
func newTestLogger(t *testing.T, instance string) *event.Logger {
	keeper := &lineKeeper{}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.AddSync(keeper), zapcore.InfoLevel)
	t.Cleanup(func() {
		if !t.Failed() {
			return
		}
		keeper.mutex.Lock()
		defer keeper.mutex.Unlock()
		for _, line := range keeper.lines {
			t.Logf("%s %s", instance, line)
		}
	})
	return event.New(zap.New(core))
}
