package logging_test

import (
	"bytes"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/node/process/logging"
)

// decodeLines returns the lines of an output as JSON objects.
func decodeLines(t *testing.T, out *bytes.Buffer) []map[string]any {
	t.Helper()
	var all []map[string]any
	for line := range bytes.Lines(out.Bytes()) {
		var object map[string]any
		require.NoError(t, json.Unmarshal(line, &object))
		all = append(all, object)
	}
	return all
}

// Guards against a log whose volume grows with the load, and against omitted lines that are not counted.
func TestMessageRateIsLimitedAndOmittedLinesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := logging.New(&out)
		for i := range 100 {
			l.Info("call failed", "n", i)
		}
		l.Info("another message")
		time.Sleep(time.Second)
		l.Info("call failed", "n", 100)
		l.Close()
		written := decodeLines(t, &out)
		assert.Len(t, written, 22)
		assert.EqualValues(t, 80, written[21]["omitted"])
	})
}

// blockingWriter blocks writes until release is closed.
type blockingWriter struct{ release chan struct{} }

func (b blockingWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against requests that block because the log output is not read.
func TestLoggerDoesNotBlockOnItsOutput(t *testing.T) {
	b := blockingWriter{make(chan struct{})}
	l := logging.New(b)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 5000 {
			l.Info(string(rune('a' + i%1000)))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the logger blocks on its output")
	}
	close(b.release)
	l.Close()
	l.Info("after the end") // must not panic
}
