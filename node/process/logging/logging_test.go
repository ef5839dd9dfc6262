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

// lines returns the lines of an output as JSON objects.
func lines(t *testing.T, out *bytes.Buffer) []map[string]any {
	t.Helper()
	var all []map[string]any
	for line := range bytes.Lines(out.Bytes()) {
		var object map[string]any
		require.NoError(t, json.Unmarshal(line, &object))
		all = append(all, object)
	}
	return all
}

// Guards against a log whose volume grows with the load, and against lines that are left out without a trace.
func TestRateOfAMessageIsLimitedAndTheRestCounted(t *testing.T) {
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
		written := lines(t, &out)
		assert.Len(t, written, 22)
		assert.EqualValues(t, 80, written[21]["omitted"])
	})
}

// blocked is an output that takes nothing until it is released.
type blocked struct{ release chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against requests that wait for the reader of the log.
func TestLoggerDoesNotWaitForItsOutput(t *testing.T) {
	b := blocked{make(chan struct{})}
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
		t.Fatal("the logger waits for its output")
	}
	close(b.release)
	l.Close()
	l.Info("after the end") // must not panic
}
