package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

const (
	// lineRate and lineBurst bound the ordinary lines of a process. At the size
	// to design for an instance serves 12 requests a second with a line or two
	// each; the rest is for bursts.
	lineRate  = 400
	lineBurst = 2000
	// queuedLines bounds the lines that wait for a slow reader, of each kind.
	queuedLines = 4096
	// flushInterval is how long a line may wait for others to share a write.
	flushInterval = 50 * time.Millisecond
	// flushBytes is the size of a write at which no more lines are waited for.
	flushBytes = 32 << 10
)

// A Sink writes log lines without ever blocking those who log. Lines wait in a
// bounded queue; what does not fit, or exceeds the rate, is left out and
// counted. Warnings and errors have a queue of their own that no rate bounds, so
// that a refused or failed request is never the line that is left out before an
// ordinary one.
type Sink struct {
	out      io.Writer
	urgent   chan []byte
	ordinary chan []byte
	limit    *rate.Limiter
	dropped  atomic.Int64
	stop     chan struct{}
	done     chan struct{}
	stopOnce sync.Once
}

// NewSink returns a sink over the writer and starts its loop.
func NewSink(out io.Writer) *Sink {
	s := &Sink{
		out: out, urgent: make(chan []byte, queuedLines), ordinary: make(chan []byte, queuedLines),
		limit: rate.NewLimiter(lineRate, lineBurst), stop: make(chan struct{}), done: make(chan struct{}),
	}
	go s.run()
	return s
}

// Logger returns a logger that writes JSON lines to the sink.
func (s *Sink) Logger(fields ...zap.Field) *Logger {
	config := zap.NewProductionEncoderConfig()
	config.CallerKey = ""
	encoder := zapcore.NewJSONEncoder(config)
	ordinary := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l == zapcore.InfoLevel })
	urgent := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= zapcore.WarnLevel })
	core := zapcore.NewTee(
		zapcore.NewCore(encoder, ordinaryLines{s}, ordinary),
		zapcore.NewCore(encoder.Clone(), urgentLines{s}, urgent),
	)
	return New(zap.New(core).With(fields...))
}

// Dropped returns the number of lines that were left out.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes what waits, if the writer takes it within the time.
func (s *Sink) Close(patience time.Duration) {
	s.stopOnce.Do(func() { close(s.stop) })
	select {
	case <-s.done:
	case <-time.After(patience):
	}
}

type urgentLines struct{ sink *Sink }

// Write queues a copy of the line.
func (u urgentLines) Write(line []byte) (int, error) { return u.sink.queue(u.sink.urgent, line) }

// Sync does nothing: the loop writes in time.
func (urgentLines) Sync() error { return nil }

type ordinaryLines struct{ sink *Sink }

// Write queues a copy of the line if the rate allows.
func (o ordinaryLines) Write(line []byte) (int, error) {
	if !o.sink.limit.Allow() {
		o.sink.dropped.Add(1)
		return len(line), nil
	}
	return o.sink.queue(o.sink.ordinary, line)
}

// Sync does nothing: the loop writes in time.
func (ordinaryLines) Sync() error { return nil }

func (s *Sink) queue(to chan []byte, line []byte) (int, error) {
	select {
	case to <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

func (s *Sink) run() {
	defer close(s.done)
	var reported int64
	for {
		var buffer []byte
		select {
		case line := <-s.urgent:
			buffer = line
		case line := <-s.ordinary:
			buffer = line
		case <-s.stop:
			s.write(s.collect(nil))
			return
		}
		select {
		case <-s.stop:
		case <-time.After(flushInterval):
		}
		buffer = s.collect(buffer)
		if dropped := s.dropped.Load(); dropped != reported {
			buffer = append(buffer, leftOutLine(dropped)...)
			reported = dropped
		}
		s.write(buffer)
	}
}

// collect appends the lines that wait, urgent ones first.
func (s *Sink) collect(buffer []byte) []byte {
	for len(buffer) < flushBytes {
		select {
		case line := <-s.urgent:
			buffer = append(buffer, line...)
			continue
		default:
		}
		select {
		case line := <-s.ordinary:
			buffer = append(buffer, line...)
		default:
			return buffer
		}
	}
	return buffer
}

// write hands the bytes on. A reader that has gone leaves nobody to tell.
func (s *Sink) write(buffer []byte) {
	if len(buffer) > 0 {
		_, _ = s.out.Write(buffer)
	}
}

// leftOutLine is a line of its own making, since the logger's own lines go
// through the queue that was full.
func leftOutLine(total int64) []byte {
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	entry := zapcore.Entry{Level: LogLinesDropped.level, Time: time.Now(), Message: LogLinesDropped.name}
	line, err := encoder.EncodeEntry(entry, []zapcore.Field{zap.Int("event", LogLinesDropped.number), zap.Int64("total", total)})
	if err != nil {
		return nil
	}
	defer line.Free()
	return append([]byte(nil), line.Bytes()...)
}
