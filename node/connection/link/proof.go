package link

import (
	"sync"
	"time"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/version/freshness"
)

// maxQuestions bounds the pings without an answer on a link.
const maxQuestions = 16

// questions holds the times at which the pings were sent that are not answered yet. Pings are answered in their order, so that an
// answer belongs to the first one or, if answers were lost, to a later one. It is safe for concurrent use.
type questions struct {
	mu   sync.Mutex
	sent []time.Duration
}

// push adds a ping that is about to be sent. It reports false when too many have no answer.
func (q *questions) push(now time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.sent) >= maxQuestions {
		return false
	}
	q.sent = append(q.sent, now)
	return true
}

// pop removes the first ping and returns a time before it was sent.
func (q *questions) pop() (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.sent) == 0 {
		return 0, false
	}
	sent := q.sent[0]
	q.sent = q.sent[1:]
	return sent, true
}

// answersQuestion reports whether a frame answers a frame of the other node, so that it may hold a proof.
func answersQuestion(f *linkpb.Frame) bool {
	switch f.Body.(type) {
	case *linkpb.Frame_Answer, *linkpb.Frame_Refusal, *linkpb.Frame_Pong:
		return true
	}
	return false
}

// handleProof passes on the proof in a frame that answers a frame which was sent at a time. The age counts from then, so that
// the time in the network and in queues is part of it.
func (e *Events) handleProof(f *linkpb.Frame, asked time.Duration) {
	if at, ok := freshness.DecodeAge(f.ProofAgeMs, asked); ok && f.Version != 0 && answersQuestion(f) {
		e.Proof(f.Version, at)
	}
}
