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
	// callMargin is what a caller may wait beyond its deadline on a busy machine.
	callMargin = 4 * time.Second
	// callerCount callers pause for 20 to 80 ms between calls; every other one sends keyed work, up to triesPerKey times.
	callerCount = 12
	triesPerKey = 5
)

// answerBytes is the size of the answers of a service; those of quotes are fetched on a stream of their own.
var answerBytes = map[string]int{"crews": 600, "quotes": 40 << 10}

// callers open a connection for each call, since net/http sends keyed requests again when a reused one breaks. They
// reset it in the end, since otherwise the kernel's table grows by thousands of connections in TIME_WAIT.
var callers = &http.Client{Transport: &http.Transport{
	DisableKeepAlives: true,
	DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		if err == nil {
			err = c.(*net.TCPConn).SetLinger(0)
		}
		return c, err
	},
}}

// call is one request and what its caller got.
type call struct {
	token, key, method, service string
	node                        *node
	sent                        time.Time
	// ranBefore tells whether the work of the key had run when the call was sent.
	ranBefore bool
	// done is set once the fields below are final.
	done     atomic.Bool
	took     time.Duration
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
		c.token, c.node, c.ranBefore, c.status, c.outcome, c.replayed, c.err, c.body, c.took)
}

// do sends a request and checks its answer.
func (f *fleet) do(n *node, method, service, key string) *call {
	c := &call{key: key, method: method, service: service, node: n, ranBefore: f.keyRuns(key) > 0, sent: time.Now()}
	f.mu.Lock()
	c.token = fmt.Sprintf("token-%d", len(f.calls))
	f.calls = append(f.calls, c)
	if key != "" {
		f.keys[key] = append(f.keys[key], c)
	}
	f.mu.Unlock()
	disturbed, patience := n.disturbed.Load(), callTimeout+callMargin
	if !n.running() {
		patience = callTimeout
	}
	c.send(patience)
	// Answers are smaller than call.holdBytes, so a node that is well never breaks one off.
	if calm := n.running() && n.disturbed.Load() == disturbed; calm && c.err != nil {
		f.violated(c, "the caller waited too long or its connection broke")
	}
	f.check(c)
	return c
}

func (c *call) send(patience time.Duration) {
	defer c.done.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, c.method, "http://"+c.node.callers+"/work", strings.NewReader("body of "+c.key))
	r.Host = c.service + ".example"
	r.Header.Set(backendtest.HeaderToken, c.token)
	r.Header.Set(contract.HeaderTimeout, fmt.Sprint(callTimeout.Milliseconds()))
	if c.key != "" {
		r.Header.Set(contract.HeaderIdempotencyKey, c.key)
	}
	answer, err := callers.Do(r)
	if c.err = err; err == nil {
		var body []byte
		body, c.err = io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		c.status, c.outcome, c.body = answer.StatusCode, contract.Outcome(answer.Header.Get(contract.HeaderOutcome)), string(body)
		c.replayed = answer.Header.Get(contract.HeaderReplayed) != ""
	}
	c.took = time.Since(c.sent)
}

// load sends work from several callers, each with its own seed, until the returned function is called.
func (f *fleet) load(seed uint64) (stop func()) {
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
					f.keyed(random, fmt.Sprintf("key-%d-%d-0123456789", i, n))
				case n%2 == 0:
					f.do(f.any(random), http.MethodPost, "crews", "")
				default:
					f.do(f.any(random), http.MethodGet, "quotes", "")
				}
			}
		})
	}
	return func() {
		close(done)
		running.Wait()
	}
}

func (f *fleet) any(random *rand.Rand) *node { return f.nodes[random.IntN(len(f.nodes))] }

// keyed sends keyed work, sometimes twice at once, and again at other nodes until it is known to have run.
func (f *fleet) keyed(random *rand.Rand, key string) {
	var second sync.WaitGroup
	defer second.Wait()
	if other := f.any(random); random.IntN(4) == 0 {
		second.Go(func() { f.do(other, http.MethodPost, "crews", key) })
	}
	for range triesPerKey {
		if f.do(f.any(random), http.MethodPost, "crews", key).outcome == contract.OutcomeRun {
			return
		}
		time.Sleep(time.Duration(50+random.IntN(200)) * time.Millisecond)
	}
}
