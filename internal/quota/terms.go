package quota

import (
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

// Terms describe how limits are checked: in any Window a customer may run
// (rate x Window + burst) x (1 + Overage) + Slack operations.
type Terms struct {
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

// Bound returns how many operations may run in one window.
func (t Terms) Bound(l Limit) float64 {
	return (l.Rate*t.Window.Seconds()+max(l.Burst, 1))*(1+t.Overage) + t.Slack
}

// A part is one share's part of a limit.
type part struct {
	// rate is the refill in tokens a second, capacity the number of tokens at which it
	// stops.
	rate, capacity float64
}

// partOf returns the part of a limit for one of n groups, at an owner that reaches the
// given fraction of the hosts.
func (t Terms) partOf(l Limit, groups int, fraction float64) part {
	n := float64(max(groups, 1))
	burst := max(l.Burst, 1)
	transfer := transferFraction*t.Overage*l.Rate*t.Window.Seconds() + t.Slack/slackParts
	p := part{rate: l.Rate * fraction / n, capacity: (burst + transfer) * fraction / n}
	p.capacity = max(p.capacity, min(wholeOperation, 2*t.Slack/slackParts/n))
	if groups <= 1 {
		p.capacity = burst * fraction // There is nobody to transfer to.
	}
	return p
}

// seconds returns a duration of up to an hour.
func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, 3600) * float64(time.Second))
}
