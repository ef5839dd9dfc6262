package quota

import (
	"time"

	"github.com/radishstand/radishstand/node/version/routing"
)

// Decisions about the next request of a team that a Borrower can make, or the need to ask the owner.
const (
	// NoOwner means that no owner is known, and OwnerSilent that it does not answer: the request is refused with ErrUnavailable.
	NoOwner     = "no owner"
	OwnerSilent = "owner does not answer"
	// TokenHeld means that this node holds a token for the request.
	TokenHeld = "token held"
	// OwnerEmpty means that the owner has stated a time before which it has no tokens: the request is refused with an ExceededError.
	OwnerEmpty = "no tokens until the stated time"
	// AskOwner means that the owner decides.
	AskOwner = "owner decides"
)

// Outlook is what a node knows about the next request of a team.
type Outlook struct {
	Decision string
	// Err is the error with which Take would refuse the request; nil if it would not do so at once.
	Err    error
	Owner  string
	Tokens int
	// EmptyFor is the time for which the owner has stated that it has no tokens.
	EmptyFor time.Duration
}

// Outlook returns what Take would decide about a request of a team without asking the owner. It takes nothing. The team must have a quota.
func (b *Borrower) Outlook(team *routing.Team) Outlook {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, t := b.config.Now(), b.teams[team.Name]
	o := Outlook{Decision: b.immediateDecision(t, now)}
	if t == nil {
		o.Err = b.unavailable(now)
		return o
	}
	o.Owner, o.EmptyFor = t.owner, max(t.emptyUntil-now, 0)
	for _, token := range t.tokens {
		if now < token.expires {
			o.Tokens++
		}
	}
	switch o.Decision {
	case NoOwner, OwnerSilent:
		o.Err = b.unavailable(now)
	case OwnerEmpty:
		o.Err = &ExceededError{Wait: o.EmptyFor}
	}
	return o
}

// immediateDecision returns the decision about the next request of a team that is possible without asking the owner, or AskOwner. It
// changes nothing.
func (b *Borrower) immediateDecision(t *teamState, now time.Duration) string {
	switch {
	case t == nil || !t.limited || t.owner == "":
		return NoOwner
	case t.holds(now):
		return TokenHeld
	case b.owners[t.owner].silentFor(now) >= answerTimeout:
		return OwnerSilent
	case now < t.emptyUntil:
		return OwnerEmpty
	}
	return AskOwner
}

// holds reports whether there is a token that has not expired.
func (t *teamState) holds(now time.Duration) bool {
	for _, token := range t.tokens {
		if now < token.expires {
			return true
		}
	}
	return false
}
