// Package quota limits the requests of each team over all nodes together.
//
// Each of n nodes has the right to 1/n of the rate and burst of each team. It lends this share to one node, the owner of the team,
// whose token bucket has the sum of the shares that are lent to it. Entry nodes ask the owner for tokens. A share is lent to
// another owner only when the previous loan has certainly ended, so that no share counts twice, whatever the nodes know of each other.
//
// All times are read from one clock of the host that counts suspension (internal/boottime). The package sends nothing itself.
package quota

import (
	"errors"
	"fmt"
	"time"
)

const (
	// TickInterval is the time between two calls of Borrower.Tick.
	TickInterval = 50 * time.Millisecond
	// loanTime is the time from the sending of a loan to its end at the owner.
	loanTime = time.Second
	// loanMargin is added to loanTime before a share is lent again. It covers clocks of hosts that run at different rates.
	loanMargin = 20 * time.Millisecond
	// renewAfter is the age from which a loan is renewed together with the next request for tokens, and renewLatest the age at which it is
	// renewed in any case.
	renewAfter  = 350 * time.Millisecond
	renewLatest = 700 * time.Millisecond
	// tokenLife is the time from the request for tokens to the expiry of the tokens that are granted for it. It is a tenth of the window of
	// 5 s, which is the part that the requirement allows above the quota.
	tokenLife = 500 * time.Millisecond
	// answerTimeout is the time without an answer after which requests stop waiting and the owner gets no further loans.
	answerTimeout = 250 * time.Millisecond
	// ownerTimeout is the time without an answer after which a node is not chosen as an owner. A single slow answer must not move
	// the share: the other owner has too small a part of the quota to grant calls of a small team.
	ownerTimeout = 2 * answerTimeout
	// lowerQuotaDelay is the time from which a lower quota applies at an owner that has seen it. It is shorter than the window of 5 s after
	// which it must be in force, since versions take up to a second to arrive.
	lowerQuotaDelay = 4 * time.Second
	// minUptime is the time after the start before a process lends its whole share. The loans of the previous process have ended by then.
	minUptime = loanTime + loanMargin
	// startDivisor divides the share that a restarted process lends before that. If all nodes restart and the loans before are still used, half of the
	// quota is granted twice for minUptime: a tenth of what a window of 5 s allows, which the requirement permits above the quota. After
	// a loss of power of all hosts nothing could be granted otherwise.
	startDivisor = 2
	// membersWindow is the time for which the largest number of members counts.
	membersWindow = 60 * time.Second
	// ownerCount is the number of nodes among which the owners of the teams are chosen. Each adds a renewal per node and renewLatest.
	ownerCount = 2
	// minWholeShare is the part of the quota from which a bucket holds at least one whole token. It bounds to 1/minWholeShare
	// the tokens that are held beyond the burst.
	minWholeShare = 1.0 / 8
	// otherProcess is the difference between the expected and the stated clock of an owner from which the owner is taken for a restarted
	// process.
	otherProcess = 5 * time.Second
	// unavailableRetryAfter is the Retry-After time of requests for which no owner decided.
	unavailableRetryAfter = 300 * time.Millisecond
	// minRetryAfter is the lower bound of the Retry-After time of requests above the quota, before jitter.
	minRetryAfter = 250 * time.Millisecond
	// noShareRetryAfter is stated by an owner whose share is too small to grant any call of the team.
	noShareRetryAfter = time.Second
	// roundingError is the part of a token that sums of shares may lack.
	roundingError = 1e-6
)

// ErrUnavailable means that no owner decided about a request, which may be below the quota.
var ErrUnavailable = errors.New("no quota owner")

// StartingError is the ErrUnavailable of a process that does not lend its whole share yet, since loans of the previous process may not have
// ended.
type StartingError struct {
	// Wait is the time until the whole share is lent.
	Wait time.Duration
}

func (e *StartingError) Error() string {
	return fmt.Sprintf("%v: this process lends its whole share in %s", ErrUnavailable, e.Wait)
}

// Unwrap returns ErrUnavailable.
func (e *StartingError) Unwrap() error { return ErrUnavailable }

// ExceededError means that a request is above the quota of its team.
type ExceededError struct {
	// Wait is the time until the next request of the team can be granted.
	Wait time.Duration
}

func (e *ExceededError) Error() string {
	return fmt.Sprintf("quota exceeded, next token in %s", e.Wait)
}

// RetryAfter returns the bounds between which the Retry-After time for an error of Take is drawn.
func RetryAfter(err error) (lowest, highest time.Duration) {
	var exceeded *ExceededError
	var starting *StartingError
	switch {
	case errors.As(err, &starting):
		lowest = max(starting.Wait, unavailableRetryAfter)
		return lowest, lowest + unavailableRetryAfter
	case !errors.As(err, &exceeded):
		return unavailableRetryAfter, 2 * unavailableRetryAfter
	}
	lowest = max(exceeded.Wait, minRetryAfter)
	return lowest, 2 * lowest
}

// Log is a structured logger; keyvals are alternating keys and values.
type Log interface {
	Info(message any, keyvals ...any)
}
