//go:build linux

package faulttest

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/node/backendtest"
)

const (
	callTimeout = time.Second
	// callMargin is the extra time after its timeout for which a caller waits, for busy machines.
	callMargin = 4 * time.Second
	// callerCount is the number of concurrent callers. Each pauses for 20 to 80 ms between calls; every other one sends
	// keyed work, up to attemptsPerKey times.
	callerCount    = 12
	attemptsPerKey = 5
)

// answerBytes is the size of the answers of each service. Those of quotes are large enough to be fetched on a separate
// stream.
var answerBytes = map[string]int{"crews": 600, "quotes": 40 << 10}

// callerClient opens a new connection for each call, since net/http resends keyed requests when a reused connection
// breaks. Connections are closed with a reset; otherwise thousands of them stay in TIME_WAIT in the kernel's table.
var callerClient = &http.Client{Transport: &http.Transport{
	DisableKeepAlives: true,
	DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		if err == nil {
			err = c.(*net.TCPConn).SetLinger(0)
		}
		return c, err
	},
}}

// call is one request and the result that its caller received.
type call struct {
	token, key, method, service string
	node                        *node
	sent                        time.Time
	// ranBefore is set if work with the same key had run before the call was sent.
	ranBefore bool
	// done is set once the fields below are final.
	done     atomic.Bool
	elapsed  time.Duration
	status   int
	outcome  contract.Outcome
	replayed bool
	body     string
	err      error
}

func (c *call) String() string {
	if !c.done.Load() {
		return fmt.Sprintf("%s %s at %s: no answer yet", c.sent.Format("05.000"), c.token, c.node)
	}
	return fmt.Sprintf("%s %s %s at %s, ran before %t: %d %s, replayed %t, %v, %.200q, after %s", c.sent.Format("05.000"), c.method,
		c.token, c.node, c.ranBefore, c.status, c.outcome, c.replayed, c.err, c.body, c.elapsed)
}

// call sends a request and checks its answer.
func (f *fleet) call(n *node, method, service, key string) *call {
	c := &call{key: key, method: method, service: service, node: n, ranBefore: f.keyRuns(key) > 0, sent: time.Now()}
	f.mu.Lock()
	c.token = fmt.Sprintf("token-%d", len(f.calls))
	f.calls = append(f.calls, c)
	if key != "" {
		f.keys[key] = append(f.keys[key], c)
	}
	f.mu.Unlock()
	disturbed, timeout := n.disturbed.Load(), callTimeout+callMargin
	if !n.running() {
		timeout = callTimeout
	}
	c.send(timeout)
	// Answers are smaller than call.holdBytes, so an undisturbed node never truncates one.
	if undisturbed := n.running() && n.disturbed.Load() == disturbed; undisturbed && c.err != nil {
		f.reportViolation(c, "the call timed out or its connection broke")
	}
	f.checkAnswer(c)
	return c
}

// send sends the request once and records its result.
func (c *call) send(timeout time.Duration) {
	defer c.done.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, c.method, "http://"+c.node.callerAddr+"/work", strings.NewReader("body of "+c.key))
	r.Host = c.service + ".example"
	r.Header.Set(backendtest.HeaderToken, c.token)
	r.Header.Set(contract.HeaderTimeout, fmt.Sprint(callTimeout.Milliseconds()))
	if c.key != "" {
		r.Header.Set(contract.HeaderIdempotencyKey, c.key)
	}
	answer, err := callerClient.Do(r)
	if c.err = err; err == nil {
		var body []byte
		body, c.err = io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		c.status, c.outcome, c.body = answer.StatusCode, contract.Outcome(answer.Header.Get(contract.HeaderOutcome)), string(body)
		c.replayed = answer.Header.Get(contract.HeaderReplayed) != ""
	}
	c.elapsed = time.Since(c.sent)
}

// startLoad sends work from concurrent callers, each with its own random generator, until the returned function is called.
func (f *fleet) startLoad(seed uint64) (stop func()) {
	done, running := make(chan struct{}), sync.WaitGroup{}
	for i := range callerCount {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		running.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(time.Duration(20+random.IntN(60)) * time.Millisecond):
				}
				switch {
				case i%2 == 0:
					f.sendKeyed(random, fmt.Sprintf("key-%d-%d-0123456789", i, n))
				case n%2 == 0:
					f.call(f.randomNode(random), http.MethodPost, "crews", "")
				default:
					f.call(f.randomNode(random), http.MethodGet, "quotes", "")
				}
			}
		})
	}
	return func() {
		close(done)
		running.Wait()
	}
}

func (f *fleet) randomNode(random *rand.Rand) *node { return f.nodes[random.IntN(len(f.nodes))] }

// sendKeyed sends keyed work, sometimes two calls at once, and retries at random nodes until an answer says that it ran.
func (f *fleet) sendKeyed(random *rand.Rand, key string) {
	var second sync.WaitGroup
	defer second.Wait()
	if other := f.randomNode(random); random.IntN(4) == 0 {
		second.Go(func() { f.call(other, http.MethodPost, "crews", key) })
	}
	for range attemptsPerKey {
		if f.call(f.randomNode(random), http.MethodPost, "crews", key).outcome == contract.OutcomeRun {
			return
		}
		time.Sleep(time.Duration(50+random.IntN(200)) * time.Millisecond)
	}
}
