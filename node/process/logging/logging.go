// Package logging writes a process's log as JSON lines without ever blocking it: lines that the output does not take in
// time are dropped and counted, and each message has a limited rate.
package logging

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// linesPerSecond is the number of lines of one message in a second; what is beyond it is counted in the next line.
	linesPerSecond = 20
	// queued is the number of lines that wait for the output.
	queued = 1024
)

// Logger writes lines of alternating keys and values. It is safe for concurrent use.
type Logger struct {
	lines chan []byte
	done  chan struct{}
	now   func() time.Time

	mu      sync.Mutex
	rates   map[any]*rate
	dropped int
	buffer  bytes.Buffer
	logger  *log.Logger
	closed  bool
}

// rate counts the lines of one message in a second.
type rate struct {
	second  int64
	lines   int
	omitted int
}

// New returns a Logger that writes to w.
func New(w io.Writer) *Logger {
	l := &Logger{lines: make(chan []byte, queued), done: make(chan struct{}), now: time.Now, rates: map[any]*rate{}}
	l.logger = log.NewWithOptions(&l.buffer, log.Options{
		ReportTimestamp: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00", Formatter: log.JSONFormatter,
	})
	go l.write(w)
	return l
}

// Info logs a decision or a change of state.
func (l *Logger) Info(message any, keyvals ...any) { l.log(log.InfoLevel, message, keyvals) }

// Warn logs what an operator should look at.
func (l *Logger) Warn(message any, keyvals ...any) { l.log(log.WarnLevel, message, keyvals) }

// Close writes what waits and ends.
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

// allow reports whether a line of a message may be written, and how many were left out before it.
func (l *Logger) allow(message any) (omitted int, allowed bool) {
	second := l.now().Unix()
	r := l.rates[message]
	if r == nil {
		r = &rate{}
		l.rates[message] = r
	}
	if r.second != second {
		r.second, r.lines = second, 0
	}
	if r.lines >= linesPerSecond {
		r.omitted++
		return 0, false
	}
	r.lines++
	omitted, r.omitted = r.omitted, 0
	return omitted, true
}

func (l *Logger) write(w io.Writer) {
	defer close(l.done)
	for line := range l.lines {
		_, _ = w.Write(line) // there is nowhere else to report it
	}
}
