package serve

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"auburnscale/clock"
	"auburnscale/event"
	"auburnscale/transport"
)

// rowLogInterval is the least time between two log lines of a rowLog. Rows that are refused are sent
// again with every complete response.
const rowLogInterval = 10 * time.Second

// A rowLog logs and counts the rows of targets that another instance sent and that cannot be used. It
// is safe for concurrent use.
type rowLog struct {
	counter tally.Counter
	logger  *event.Logger

	mutex  sync.Mutex
	lastAt time.Duration
}

func newRowLog(metrics tally.Scope, logger *event.Logger) *rowLog {
	return &rowLog{counter: metrics.Counter("target_rows_refused"), logger: logger, lastAt: -rowLogInterval}
}

// log records the reasons for which rows were refused. It does nothing if there are none.
func (l *rowLog) log(refused []error) {
	if len(refused) == 0 {
		return
	}
	l.counter.Inc(int64(len(refused)))
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now := clock.Now(); now-l.lastAt >= rowLogInterval {
		l.lastAt = now
		l.logger.Log(event.RowsRefused, zap.Int("count", len(refused)), zap.Error(refused[0]))
	}
}

// maxLoggedFields bounds the fields of a message that are logged.
const maxLoggedFields = 8

// logUnencodable returns a function that logs and counts what is left out of a response to another
// instance, because it cannot be encoded.
func logUnencodable(metrics tally.Scope, logger *event.Logger) transport.TextReport {
	return func(method string, fields []string) {
		metrics.Tagged(map[string]string{"method": method}).Counter("unencodable_responses").Inc(1)
		logger.Log(event.TextUnencodable, zap.String("method", method), zap.Strings("fields", fields[:min(len(fields), maxLoggedFields)]), zap.Int("count", len(fields)))
	}
}
