package link

import (
	"sync"
	"time"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/version/freshness"
)

// maxPendingPings bounds the pings on a link that are not answered yet.
const maxPendingPings = 16

// pendingPings holds the times at which the pings were sent that are not answered yet. Pings are answered in their order, so an
// answer belongs to the oldest one or, if answers were lost, to a later one. It is safe for concurrent use.
type pendingPings struct {
	mu   sync.Mutex
	sent []time.Duration
}

// push adds a ping that is about to be sent. It reports false when too many have no answer.
func (p *pendingPings) push(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.sent) >= maxPendingPings {
		return false
	}
	p.sent = append(p.sent, now)
	return true
}

// pop removes the oldest ping and returns a time before it was sent; false if there is none.
func (p *pendingPings) pop() (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.sent) == 0 {
		return 0, false
	}
	sent := p.sent[0]
	p.sent = p.sent[1:]
	return sent, true
}

// isReply reports whether a frame replies to a frame of the other node. Only replies may hold a proof.
func isReply(f *linkpb.Frame) bool {
	switch f.Body.(type) {
	case *linkpb.Frame_Answer, *linkpb.Frame_Refusal, *linkpb.Frame_Pong:
		return true
	}
	return false
}

// handleProof passes the proof in a reply to Events.Proof. The age counts from the time at which the replied-to frame was sent, so it
// includes the time in the network and in queues.
func (e *Events) handleProof(f *linkpb.Frame, sentAt time.Duration) {
	if at, ok := freshness.DecodeAge(f.ProofAgeMs, sentAt); ok && f.Version != 0 && isReply(f) {
		e.Proof(f.Version, at)
	}
}
