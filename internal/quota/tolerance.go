package quota

import (
	"hash/fnv"
	"math"
	"time"
)

const (
	// transferFraction is the fraction of the overage that enlarges the buckets, so that
	// tokens in transfer take up no room of a customer's burst. The rest is for groups
	// that two hosts own at once.
	transferFraction = 0.75
	// slackParts: a quarter of the slack enlarges the buckets as well, half of it makes
	// room for at least one whole operation in each, and a quarter is for the first
	// token of new owners.
	slackParts = 4
	// wholeOperation is the least capacity, as far as the slack allows it. With exactly one
	// token, the refill between two operations of a small customer is lost.
	wholeOperation = 1.25
)

// Tolerance describes how limits are checked: in any Window a customer may run
// (rate x Window + burst) x (1 + Overage) + Slack operations.
type Tolerance struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// A Limit is the limit of one customer on all hosts together.
type Limit struct {
	// Rate is in operations a second. It is positive.
	Rate float64
	// Burst is in operations. One below one counts as one.
	Burst float64
}

// Bound returns how many operations may run in one window. It is used to verify runs.
func (t Tolerance) Bound(l Limit) float64 {
	return (l.Rate*t.Window.Seconds()+max(l.Burst, 1))*(1+t.Overage) + t.Slack
}

// A part is one allocation's part of a limit.
type part struct {
	// rate is the refill in tokens a second, capacity the number of tokens at which it
	// stops.
	rate, capacity float64
	// others is how many other allocations have a part.
	others int
}

// A place is the place of an allocation among those of all groups.
type place struct {
	// index is that of the group in the order of the names of all groups.
	index, groups int
	// fraction is that of the limits which belongs to the hosts that the owner reaches.
	fraction float64
}

// partOf returns the part of a customer's limit for a place.
func (t Tolerance) partOf(customer string, l Limit, at place) part {
	burst := max(l.Burst, 1)
	if at.index == NoIndex {
		return part{others: t.holders(l, at.groups)}
	}
	if at.groups <= 1 {
		// There is nobody to transfer to.
		return part{rate: l.Rate * at.fraction, capacity: burst * at.fraction}
	}
	n := t.holders(l, at.groups)
	if !isHolder(customer, at.index, n, at.groups) {
		return part{others: n}
	}
	p := part{rate: l.Rate * at.fraction / float64(n), capacity: (burst + t.transferRoom(l)) * at.fraction / float64(n), others: n - 1}
	p.capacity = max(p.capacity, min(wholeOperation, t.operationRoom()/float64(n)))
	return p
}

// transferRoom returns by how much the buckets of all groups together are larger than the
// burst, so that tokens in transfer take up no room of it.
func (t Tolerance) transferRoom(l Limit) float64 {
	return transferFraction*t.Overage*l.Rate*t.Window.Seconds() + t.Slack/slackParts
}

// operationRoom returns the part of the slack that makes room for at least one whole
// operation in each bucket.
func (t Tolerance) operationRoom() float64 { return 2 * t.Slack / slackParts }

// holders returns among how many groups the limit is divided: all, unless their buckets
// would be too small for one operation.
func (t Tolerance) holders(l Limit, groups int) int {
	most := max(max(l.Burst, 1)+t.transferRoom(l), t.operationRoom()) / wholeOperation
	return int(min(max(most, 1), float64(groups)))
}

// isHolder reports whether the group with the index is one of the n holders of the
// customer's limit.
func isHolder(customer string, index, n, groups int) bool {
	return n >= groups || (index+groups-firstHolder(customer, groups))%groups < n
}

// firstHolder returns the index of the first holder of the customer's limit. The others
// follow it.
func firstHolder(customer string, groups int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(customer)) // It never fails.
	return int(h.Sum32() % uint32(groups))
}

// seconds returns a duration of up to an hour.
func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, 3600) * float64(time.Second))
}
