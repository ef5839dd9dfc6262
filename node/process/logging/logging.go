// Package logging writes the log of a process as JSON lines without blocking the process. Lines that do not fit into the
// output queue are dropped and counted, and the rate of each message is limited.
package logging

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// maxLinesPerSecond limits the lines with the same message per second. The next line with the message that is written
	// states how many were omitted.
	maxLinesPerSecond = 20
	// maxQueuedLines limits the lines that wait for the output.
	maxQueuedLines = 1024
)

// Logger writes lines that consist of a message and alternating keys and values. It is safe for concurrent use.
type Logger struct {
	lines chan []byte
	done  chan struct{}
	now   func() time.Time

	mu      sync.Mutex
	rates   map[any]*messageRate
	dropped int
	buffer  bytes.Buffer
	logger  *log.Logger
	closed  bool
}

// messageRate counts the lines with one message in the current second.
type messageRate struct {
	second int64
	lines  int
	// omitted is the number of lines left out since the last one that was written.
	omitted int
}

// New returns a Logger that writes to w.
func New(w io.Writer) *Logger {
	l := &Logger{
		lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), now: time.Now, rates: map[any]*messageRate{},
	}
	l.logger = log.NewWithOptions(&l.buffer, log.Options{
		ReportTimestamp: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00", Formatter: log.JSONFormatter,
	})
	go l.writeLines(w)
	return l
}

// Info logs a decision or a state change.
func (l *Logger) Info(message any, keyvals ...any) { l.log(log.InfoLevel, message, keyvals) }

// Warn logs an event that an operator should look at.
func (l *Logger) Warn(message any, keyvals ...any) { l.log(log.WarnLevel, message, keyvals) }

// Close writes the queued lines and stops the Logger. Lines that are logged later are discarded.
func (l *Logger) Close() {
	l.mu.Lock()
	l.closed = true
	close(l.lines)
	l.mu.Unlock()
	<-l.done
}

func (l *Logger) log(level log.Level, message any, keyvals []any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	omitted, allowed := l.allow(message)
	if !allowed || l.closed {
		return
	}
	if omitted+l.dropped > 0 {
		keyvals = append(keyvals, "omitted", omitted, "dropped", l.dropped)
		l.dropped = 0
	}
	l.buffer.Reset()
	l.logger.Log(level, message, keyvals...)
	select {
	case l.lines <- bytes.Clone(l.buffer.Bytes()):
	default:
		l.dropped++
	}
}

// allow reports whether another line with the message may be written, and how many were omitted before it.
func (l *Logger) allow(message any) (omitted int, allowed bool) {
	second := l.now().Unix()
	r := l.rates[message]
	if r == nil {
		r = &messageRate{}
		l.rates[message] = r
	}
	if r.second != second {
		r.second, r.lines = second, 0
	}
	if r.lines >= maxLinesPerSecond {
		r.omitted++
		return 0, false
	}
	r.lines++
	omitted, r.omitted = r.omitted, 0
	return omitted, true
}

func (l *Logger) writeLines(w io.Writer) {
	defer close(l.done)
	for line := range l.lines {
		_, _ = w.Write(line) // an error of the log output cannot be reported anywhere else
	}
}
