package routing

import (
	"fmt"
	"math/rand/v2"
	"sync"
)

// maxInitialTurns bounds the random number of turns by which a new split is advanced. It exceeds the length of the cycle of usual
// weights.
const maxInitialTurns = 100

// Part is a service and its weight in a split.
type Part struct {
	Service string
	Weight  float64
}

// Split distributes calls over services in proportion to their weights by smooth weighted round robin: the shares of any
// sequence of calls follow the weights, whether or not a service has capacity left.
type Split struct {
	parts []Part

	mu      *sync.Mutex
	credits []float64
	total   float64
}

// NewSplit returns a split. The weights must not be negative and at least one must be positive.
func NewSplit(parts ...Part) (Split, error) {
	s := Split{parts: parts, mu: &sync.Mutex{}, credits: make([]float64, len(parts))}
	for _, p := range parts {
		if p.Weight < 0 {
			return Split{}, fmt.Errorf("service %q: weight %g is negative", p.Service, p.Weight)
		}
		s.total += p.Weight
	}
	if s.total == 0 {
		return Split{}, fmt.Errorf("split has no service with a positive weight")
	}
	// If all nodes started at the same turn, they would all send their first calls to the service with the highest weight.
	for range rand.IntN(maxInitialTurns) {
		s.Next()
	}
	return s, nil
}

// Parts returns the services and their weights.
func (s *Split) Parts() []Part { return s.parts }

// Next returns the service of the next call.
func (s *Split) Next() string {
	if len(s.parts) == 1 {
		return s.parts[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	best := s.nextIndex()
	for i, p := range s.parts {
		s.credits[i] += p.Weight
	}
	s.credits[best] -= s.total
	return s.parts[best].Service
}

// Peek returns the service that Next would return, and changes nothing.
func (s *Split) Peek() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.parts[s.nextIndex()].Service
}

// nextIndex returns the index of the part whose service gets the next call. s.mu must be held.
func (s *Split) nextIndex() int {
	best := 0
	for i, p := range s.parts {
		if s.credits[i]+p.Weight > s.credits[best]+s.parts[best].Weight {
			best = i
		}
	}
	return best
}
