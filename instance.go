package gypsumyard

import (
	"context"
	"time"
)

// A Role is what an instance believes to be.
type Role string

// The roles of an instance.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// A Token identifies the sender of a fence. It is random, so that two hosts
// that choose the same term cannot both fence a majority.
type Token string

// An InstanceStatus is what an instance reports of itself in one answer. All
// fields were read at one moment.
type InstanceStatus struct {
	Role Role
	// Applied is the last record of the instance's log.
	Applied Position
	// Fence is the highest term for which the instance was fenced or
	// promoted. An instance accepts neither writes nor replication of a lower
	// term.
	Fence Term
	// FenceToken identifies the sender of the accepted fence.
	FenceToken Token
	History    History
	// StreamAge is how long ago a replica last heard from its primary. It is
	// zero on a primary.
	StreamAge time.Duration
	// Leaving indicates that the instance is about to be shut down.
	Leaving bool
	// Connections is how many connections the instance holds at the moment.
	Connections int
}

// Contains reports whether the instance's log holds the record at p.
func (s *InstanceStatus) Contains(p Position) bool {
	return s.History.Contains(s.Applied.Offset, p)
}

// Term returns the term of the last record in the instance's log.
func (s *InstanceStatus) Term() Term { return s.Applied.Term }

// Writable reports whether the instance accepts writes: it is the primary of
// the term in its log and no later term has fenced it.
func (s *InstanceStatus) Writable() bool {
	return s.Role == RolePrimary && s.Fence <= s.Applied.Term
}

// An Instance is the control side of one upstream. It is the only place that
// knows how terms and positions are read and how a promotion is ordered. Its
// methods return an error when no answer came; the order may have taken effect
// all the same, and repeating it with the same token is harmless.
type Instance interface {
	// Upstream returns the name and address of the instance.
	Upstream() Upstream
	// Status reads the instance's state.
	Status(ctx context.Context) (InstanceStatus, error)
	// Fence makes the instance refuse writes and replication of any lower
	// term. It fails with ErrFenced if the instance was fenced for a higher
	// term, or for the same term with another token. The returned status is
	// that after the order.
	Fence(ctx context.Context, term Term, token Token) (InstanceStatus, error)
	// Promote makes a fenced instance the primary of term. It fails with
	// ErrFenced unless the instance's fence has that term and token.
	Promote(ctx context.Context, term Term, token Token) (InstanceStatus, error)
	// Follow makes the instance replicate from the named primary of term.
	Follow(ctx context.Context, term Term, primary string) error
	// Close releases the control connection.
	Close() error
}
