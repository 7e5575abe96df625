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
	// infoLinesPerSecond and infoLineBurst limit the info lines of a process. At
	// the design load an instance serves 12 requests per second with one or two
	// lines each; the remainder allows for bursts.
	infoLinesPerSecond = 400
	infoLineBurst      = 2000
	// queueCapacity is the maximum number of lines in each of the two queues, which
	// fill up if the reader of the output is slow.
	queueCapacity = 4096
	// flushInterval is how long a line may wait to be written together with others.
	flushInterval = 50 * time.Millisecond
	// flushBytes is the size at which a write takes no further lines from the
	// queues.
	flushBytes = 32 << 10
)

// A Sink writes log lines without ever blocking the goroutines that log. Lines
// wait in bounded queues; a line is dropped and counted if its queue is full or it
// exceeds the rate limit. Warnings and errors have a queue of their own without a
// rate limit, so that a flood of info lines never causes the line about a refused
// or failed request to be dropped.
type Sink struct {
	out      io.Writer
	urgent   chan []byte
	info     chan []byte
	limiter  *rate.Limiter
	dropped  atomic.Int64
	stop     chan struct{}
	done     chan struct{}
	stopOnce sync.Once
}

// NewSink returns a sink that writes to out and starts its goroutine.
func NewSink(out io.Writer) *Sink {
	s := &Sink{
		out: out, urgent: make(chan []byte, queueCapacity), info: make(chan []byte, queueCapacity),
		limiter: rate.NewLimiter(infoLinesPerSecond, infoLineBurst), stop: make(chan struct{}), done: make(chan struct{}),
	}
	go s.run()
	return s
}

// Logger returns a logger that writes JSON lines to the sink.
func (s *Sink) Logger(fields ...zap.Field) *Logger {
	config := zap.NewProductionEncoderConfig()
	config.CallerKey = ""
	encoder := zapcore.NewJSONEncoder(config)
	info := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l == zapcore.InfoLevel })
	urgent := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= zapcore.WarnLevel })
	core := zapcore.NewTee(
		zapcore.NewCore(encoder, infoLines{s}, info),
		zapcore.NewCore(encoder.Clone(), urgentLines{s}, urgent),
	)
	return New(zap.New(core).With(fields...))
}

// Dropped returns the number of lines dropped so far.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes the queued lines and stops the sink. It returns after the timeout
// even if the writer has not accepted them.
func (s *Sink) Close(timeout time.Duration) {
	s.stopOnce.Do(func() { close(s.stop) })
	select {
	case <-s.done:
	case <-time.After(timeout):
	}
}

type urgentLines struct{ sink *Sink }

// Write queues a copy of the line, or drops it if the queue is full.
func (u urgentLines) Write(line []byte) (int, error) { return u.sink.queue(u.sink.urgent, line) }

// Sync does nothing: the sink's goroutine writes queued lines within
// flushInterval.
func (urgentLines) Sync() error { return nil }

type infoLines struct{ sink *Sink }

// Write queues a copy of the line if the rate limit allows, or else drops it.
func (i infoLines) Write(line []byte) (int, error) {
	if !i.sink.limiter.Allow() {
		i.sink.dropped.Add(1)
		return len(line), nil
	}
	return i.sink.queue(i.sink.info, line)
}

// Sync does nothing: the sink's goroutine writes queued lines within
// flushInterval.
func (infoLines) Sync() error { return nil }

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
		case line := <-s.info:
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
			buffer = append(buffer, droppedLinesLine(dropped)...)
			reported = dropped
		}
		s.write(buffer)
	}
}

// collect appends queued lines to buffer, urgent ones first, until both queues are
// empty or buffer has flushBytes.
func (s *Sink) collect(buffer []byte) []byte {
	for len(buffer) < flushBytes {
		select {
		case line := <-s.urgent:
			buffer = append(buffer, line...)
			continue
		default:
		}
		select {
		case line := <-s.info:
			buffer = append(buffer, line...)
		default:
			return buffer
		}
	}
	return buffer
}

// write writes buffer to the output. Write errors are ignored, since there is no
// other output on which to report them.
func (s *Sink) write(buffer []byte) {
	if len(buffer) > 0 {
		_, _ = s.out.Write(buffer)
	}
}

// droppedLinesLine encodes the LogLinesDropped event directly, since a line from
// the logger would have to pass through the queue that was full.
func droppedLinesLine(total int64) []byte {
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	entry := zapcore.Entry{Level: LogLinesDropped.level, Time: time.Now(), Message: LogLinesDropped.name}
	line, err := encoder.EncodeEntry(entry, []zapcore.Field{zap.Int("event", LogLinesDropped.number), zap.Int64("total", total)})
	if err != nil {
		return nil
	}
	defer line.Free()
	return append([]byte(nil), line.Bytes()...)
}
