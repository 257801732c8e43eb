package gypsumyard

import (
	"context"
	"time"
)

// A Role is the replication role that an instance reports for itself.
type Role string

// The roles of an instance.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// A Token identifies the sender of a fence order. It is random, so that of two
// hosts that choose the same term at most one can fence a majority.
type Token string

// An InstanceStatus is one status report of an instance. All fields were read
// atomically.
type InstanceStatus struct {
	Role Role
	// Applied is the position of the last record in the instance's log.
	Applied Position
	// Fence is the highest term for which the instance was fenced or promoted.
	// The instance rejects writes and replication of lower terms.
	Fence Term
	// FenceToken identifies the sender of the fence order that the instance
	// accepted.
	FenceToken Token
	History    History
	// StreamAge is the time since a replica last received data from its primary.
	// It is zero on a primary.
	StreamAge time.Duration
	// Leaving indicates that the instance is about to be shut down.
	Leaving bool
	// Connections is the number of connections open at the instance.
	Connections int
}

// Contains reports whether the instance's log holds the record at p.
func (s *InstanceStatus) Contains(p Position) bool {
	return s.History.Contains(s.Applied.Offset, p)
}

// Term returns the term of the last record in the instance's log.
func (s *InstanceStatus) Term() Term { return s.Applied.Term }

// Writable reports whether the instance accepts writes: it is the primary of
// the term of its last log record and has not been fenced for a later term.
func (s *InstanceStatus) Writable() bool {
	return s.Role == RolePrimary && s.Fence <= s.Applied.Term
}

// An Instance is the control connection to one upstream. It encapsulates how
// terms and positions are read and how promotions are ordered. A method that
// receives no response returns an error although the order may have taken
// effect. Orders are idempotent: it is safe to repeat one with the same token.
type Instance interface {
	// Upstream returns the name and address of the instance.
	Upstream() Upstream
	// Status reads the instance's current status.
	Status(ctx context.Context) (InstanceStatus, error)
	// Fence makes the instance reject writes and replication of any lower term.
	// It fails with ErrFenced if the instance was fenced for a higher term, or
	// for the same term with another token. The returned status was read after
	// the order took effect.
	Fence(ctx context.Context, term Term, token Token) (InstanceStatus, error)
	// Promote makes a fenced instance the primary of term. It fails with
	// ErrFenced unless the instance was fenced for this term with this token.
	Promote(ctx context.Context, term Term, token Token) (InstanceStatus, error)
	// Follow makes the instance replicate from the primary with the given name,
	// in term.
	Follow(ctx context.Context, term Term, primary string) error
	// Close releases the control connection.
	Close() error
}
