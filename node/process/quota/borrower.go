package quota

import (
	"context"
	"errors"
	"iter"
	"slices"
	"sync"
	"time"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/version/routing"
)

// Config configures a Borrower.
type Config struct {
	// Self is the address of this node. Owner handles the requests that this node sends to itself.
	Self  string
	Owner *Owner
	// Now returns the time of a clock that also counts while the host is suspended.
	Now func() time.Duration
	// Send sends a request to the node at an address. It must not block. The request may get lost.
	Send func(address string, r *linkpb.QuotaRequest)
	// Count increments the counter of an event.
	Count func(event string)
	Log   Log
}

// View is what a node knows about the other nodes.
type View struct {
	// Linked holds the other nodes to which this node has a link.
	Linked []Node
	// CPUMillis is the share of a core that this node has, in thousandths; 0 if unknown.
	CPUMillis int
	// Known is the number of other members, whether linked or not.
	Known int
	// MembersReadAt is the time at which the members were read from the store last, by the clock of the Borrower; 0 if never.
	MembersReadAt time.Duration
	// Restarted is set when the store had an entry of an earlier process of this node, so that the other nodes count it as a member.
	Restarted bool
}

// Borrower lends this node's share of each quota to the owner of the team, and asks the owner for the tokens of the requests that enter
// at this node. It is safe for concurrent use.
type Borrower struct {
	config Config
	// started is the time at which the process started.
	started time.Duration

	mu       sync.Mutex
	sequence uint64
	members  largestCount
	// nodes is the number of nodes by which the quotas are divided; 0 while this node does not lend.
	nodes    int
	lastTick time.Duration
	// resumedAt is the end of the latest pause longer than membersWindow; members that were read before it do not count.
	resumedAt time.Duration
	owners    map[string]*ownerLink
	teams     map[string]*teamState
	// questions holds the teams with a request for tokens in progress (a question), and releases the teams whose share is being taken back.
	// The keys are the sequences of the requests.
	questions map[uint64]*teamState
	releases  map[uint64][]*teamState
}

// teamState is the state of one team at an entry node.
type teamState struct {
	name    string
	limited bool
	// owner is the address of the node that is asked for tokens, and to which the share is lent when mayLend allows it.
	owner string
	// lentTo is the node to which the share was lent last, and lentUntil the time from which it may be lent to another node.
	lentTo    *ownerLink
	lentUntil time.Duration
	// release is the sequence of the request that takes the share back; 0 if there is none.
	release uint64

	tokens []*Token
	// waiting holds the requests without a decision, oldest first. The question in progress covers the first asked of them.
	waiting []*waiter
	asked   int
	// question is the sequence of the question in progress; 0 if there is none. questionAt is the time at which it was sent.
	question   uint64
	questionAt time.Duration
	// emptyUntil is the time until which the owner has no tokens, as its last answer stated.
	emptyUntil time.Duration
}

// waiter is a request that waits for a token.
type waiter struct {
	since time.Duration
	// done receives the decision.
	done chan decision
	// abandoned is set when the request no longer waits.
	abandoned bool
}

// decision is the token of a request, or the error with which it is refused.
type decision struct {
	token *Token
	err   error
}

// Token is the permission to send one request of a team to a server.
type Token struct {
	borrower *Borrower
	team     *teamState
	expires  time.Duration
}

// Return gives back the token of a request that has not run and never will. It must be called at most once. On a nil Token it does nothing.
func (t *Token) Return() {
	if t == nil {
		return
	}
	t.borrower.mu.Lock()
	defer t.borrower.mu.Unlock()
	t.borrower.keep(t)
}

// NewBorrower returns a Borrower of a process that has just started.
func NewBorrower(c Config) *Borrower {
	now := c.Now()
	return &Borrower{
		config: c, started: now, lastTick: now,
		// Start above the sequences of the previous process at this address, since owners ignore loans with lower ones.
		sequence: uint64(now.Microseconds()) + 1,
		owners:   map[string]*ownerLink{}, teams: map[string]*teamState{},
		questions: map[uint64]*teamState{}, releases: map[uint64][]*teamState{},
	}
}

// Take returns the token for a request of a team. The token is nil if the team has no quota. The error is an *ExceededError,
// ErrUnavailable, or that of ctx.
func (b *Borrower) Take(ctx context.Context, team *routing.Team) (*Token, error) {
	if !team.Quota.Limited() {
		return nil, nil
	}
	d, w := b.begin(team.Name)
	if w != nil {
		select {
		case d = <-w.done:
		case <-ctx.Done():
			b.abandon(w)
			return nil, ctx.Err()
		}
	}
	b.count(d)
	return d.token, d.err
}

func (b *Borrower) count(d decision) {
	switch {
	case d.err == nil:
		b.config.Count("quota.granted")
	case errors.Is(d.err, ErrUnavailable):
		b.config.Count("quota.unavailable")
	default:
		b.config.Count("quota.exceeded")
	}
}

// begin decides about a request, or returns the waiter that receives the decision.
func (b *Borrower) begin(name string) (decision, *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.config.Now()
	t := b.teams[name]
	switch b.immediateDecision(t, now) {
	case NoOwner, OwnerSilent:
		return decision{err: b.unavailable(now)}, nil
	case TokenHeld:
		return decision{token: t.held(now)}, nil
	case OwnerEmpty:
		return decision{err: &ExceededError{Wait: t.emptyUntil - now}}, nil
	}
	w := &waiter{since: now, done: make(chan decision, 1)}
	t.waiting = append(t.waiting, w)
	if t.question == 0 {
		b.ask(t, now)
	}
	return decision{}, w
}

// divisor returns the number by which the quotas are divided, or 0 while nothing may be lent: other nodes do not count a new member yet.
func (b *Borrower) divisor(members int, restarted bool, now time.Duration) int {
	switch {
	case now-b.started >= minUptime:
		return members
	case restarted:
		return members * startDivisor
	}
	return 0
}

// unavailable returns the error for a request about which no owner decides.
func (b *Borrower) unavailable(now time.Duration) error {
	if wait := b.started + minUptime - now; wait > 0 {
		return &StartingError{Wait: wait}
	}
	return ErrUnavailable
}

// abandon records that a request no longer waits. A token that was already granted for it is kept for the next request.
func (b *Borrower) abandon(w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w.abandoned = true
	select {
	case d := <-w.done:
		if d.token != nil {
			b.keep(d.token)
		}
	default:
	}
}

// keep holds a token for the next request of its team until it expires.
func (b *Borrower) keep(token *Token) {
	if b.config.Now() < token.expires {
		token.team.tokens = append(token.team.tokens, token)
	}
}

// held removes and returns a token that has not expired; nil if there is none.
func (t *teamState) held(now time.Duration) *Token {
	for len(t.tokens) > 0 {
		token := t.tokens[0]
		t.tokens = t.tokens[1:]
		if now < token.expires {
			return token
		}
	}
	return nil
}

// ask asks the owner of a team for one token per waiting request.
func (b *Borrower) ask(t *teamState, now time.Duration) {
	t.asked = len(t.waiting)
	r := b.newRequest()
	r.Asks = append(r.Asks, &linkpb.QuotaAsk{Team: t.name, Count: uint32(t.asked)})
	t.question, t.questionAt = r.Sequence, now
	b.questions[r.Sequence] = t
	b.addLoans(t, r, now)
	b.config.Count("quota.questions")
	b.send(t.owner, r, now)
}

// HandleReply handles a reply of the node at an address.
func (b *Borrower) HandleReply(from string, r *linkpb.QuotaReply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handleReply(from, r, b.config.Now())
}

func (b *Borrower) handleReply(from string, r *linkpb.QuotaReply, now time.Duration) {
	o := b.owners[from]
	if o == nil {
		return
	}
	b.observeClock(o, r.OwnerClockMs, now)
	for _, t := range b.releases[r.Sequence] {
		if t.release == r.Sequence && t.lentTo == o {
			t.release, t.lentTo = 0, nil
		}
	}
	if b.releases[r.Sequence] != nil {
		delete(b.releases, r.Sequence)
		b.renew(now)
	}
	if t := b.questions[r.Sequence]; t != nil {
		b.handleAnswer(t, r, now)
	}
}

// endQuestion records that a team has no question in progress. Later answers to it are ignored.
func (b *Borrower) endQuestion(t *teamState) {
	delete(b.questions, t.question)
	t.question = 0
}

// handleAnswer applies the answer to the question of a team, and asks again for the requests that have arrived since it was sent. An
// answer without a grant means that the owner has no share of the quota, or knows no quota of the team.
func (b *Borrower) handleAnswer(t *teamState, r *linkpb.QuotaReply, now time.Duration) {
	i := slices.IndexFunc(r.Grants, func(g *linkpb.QuotaGrant) bool { return g.Team == t.name })
	b.endQuestion(t)
	if i < 0 {
		b.decide(t, t.asked, now, func() decision { return decision{err: b.unavailable(now)} })
	} else {
		b.applyGrant(t, r.Grants[i], now)
	}
	if len(t.waiting) > 0 && t.question == 0 {
		b.ask(t, now)
	}
}

// applyGrant passes granted tokens to the requests that have waited longest. It refuses the others if the owner granted fewer tokens than
// it was asked for.
func (b *Borrower) applyGrant(t *teamState, g *linkpb.QuotaGrant, now time.Duration) {
	granted, asked := int(g.Count), t.asked
	expires := t.questionAt + tokenLife
	for ; granted > 0 && len(t.waiting) > 0; granted-- {
		token := &Token{borrower: b, team: t, expires: expires}
		b.decide(t, 1, now, func() decision { return decision{token: token} })
	}
	for ; granted > 0; granted-- {
		b.keep(&Token{borrower: b, team: t, expires: expires})
	}
	if int(g.Count) < asked {
		wait := max(time.Duration(g.RetryAfterMs)*time.Millisecond, time.Millisecond)
		t.emptyUntil = now + wait
		b.decide(t, len(t.waiting), now, func() decision { return decision{err: &ExceededError{Wait: wait}} })
	}
}

// decide passes the decisions that next returns to the count requests that have waited longest. A token for an abandoned request is kept.
func (b *Borrower) decide(t *teamState, count int, now time.Duration, next func() decision) {
	count = min(count, len(t.waiting))
	for _, w := range t.waiting[:count] {
		d := next()
		switch {
		case !w.abandoned:
			w.done <- d
		case d.token != nil:
			b.keep(d.token)
		}
	}
	t.waiting = t.waiting[count:]
	t.asked = max(t.asked-count, 0)
}

// expireWaiting refuses the requests that have waited for answerTimeout, and asks again if the question is that old.
func (b *Borrower) expireWaiting(t *teamState, now time.Duration) {
	overdue := 0
	for overdue < len(t.waiting) && now-t.waiting[overdue].since >= answerTimeout {
		overdue++
	}
	b.decide(t, overdue, now, func() decision { return decision{err: b.unavailable(now)} })
	if t.question != 0 && now-t.questionAt >= answerTimeout {
		b.endQuestion(t)
		if len(t.waiting) > 0 && t.owner != "" {
			b.ask(t, now)
		}
	}
}

// Tick applies the current members, links and quotas, and renews and releases loans. It must be called every TickInterval.
func (b *Borrower) Tick(v View, teams iter.Seq[*routing.Team]) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.config.Now()
	members := b.members.observe(v.Known+1, now)
	b.config.Owner.setMembers(members)
	if now-b.lastTick > membersWindow {
		b.resumedAt = now
	}
	b.nodes = 0
	if v.MembersReadAt > b.resumedAt {
		b.nodes = b.divisor(members, v.Restarted, now)
	}
	candidates := b.updateOwners(v, now)
	b.updateTeams(teams, candidates, now)
	for _, t := range b.teams {
		b.expireWaiting(t, now)
	}
	b.releaseMoved(now)
	b.renew(now)
	b.lastTick = now
}

// Resume must be called when Tick is called again after a pause in which no version had quotas.
func (b *Borrower) Resume() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastTick = b.config.Now()
	for _, o := range b.owners {
		o.unansweredSince = 0
	}
}

// updateTeams applies the current teams with a quota and chooses their owners. The state of a team without a quota is removed when its
// loan has ended.
func (b *Borrower) updateTeams(teams iter.Seq[*routing.Team], candidates []string, now time.Duration) {
	for _, t := range b.teams {
		t.limited = false
	}
	for team := range teams {
		if !team.Quota.Limited() {
			continue
		}
		t := b.teams[team.Name]
		if t == nil {
			t = &teamState{name: team.Name}
			b.teams[team.Name] = t
		}
		t.limited = true
		if owner := ownerOf(t.name, candidates); owner != t.owner {
			t.owner, t.emptyUntil = owner, 0
		}
	}
	for name, t := range b.teams {
		if !t.limited {
			b.decide(t, len(t.waiting), now, func() decision { return decision{err: b.unavailable(now)} })
			t.owner = ""
			b.endQuestion(t)
			if now >= t.lentUntil {
				delete(b.teams, name)
			}
		}
	}
}

// Status describes the loans for the dump of the process's state.
type Status struct {
	// Teams is the number of teams with a quota, Lent that of those whose share is lent, and Nodes the number of nodes by which quotas
	// are divided (0 while the node does not lend).
	Teams, Lent, Nodes int
	// Owners holds the number of teams by owner.
	Owners map[string]int
}

// Status returns the current status.
func (b *Borrower) Status() Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Status{Nodes: b.nodes, Owners: map[string]int{}}
	now := b.config.Now()
	for _, t := range b.teams {
		if !t.limited {
			continue
		}
		s.Teams++
		s.Owners[t.owner]++
		if t.lentTo != nil && now < t.lentUntil {
			s.Lent++
		}
	}
	return s
}
