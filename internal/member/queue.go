package member

import (
	"math/bits"
	"slices"
)

// maxTransmissions bounds how often a host sends one update, whatever the number
// of hosts.
const maxTransmissions = 64

// An updateQueue holds the names of the hosts whose records are to be gossiped.
// Records that were sent least often go first, so that a new update overtakes a
// long queue of updates that most hosts already know.
type updateQueue struct {
	// levels holds the names by the number of times they were sent. An entry whose
	// level differs from that in sent is stale and skipped.
	levels [maxTransmissions + 1][]string
	// sent holds the number of transmissions of each queued name.
	sent map[string]int
}

// add queues the name with a transmission count of zero.
func (q *updateQueue) add(name string) { q.put(name, 0) }

func (q *updateQueue) put(name string, level int) {
	if level >= maxTransmissions {
		delete(q.sent, name)
		return
	}
	q.sent[name] = level
	q.levels[level] = append(q.levels[level], name)
}

// seen counts the receipt of the same update from another host as a transmission:
// the more often it arrives, the more hosts know it.
func (q *updateQueue) seen(name string) {
	if n, ok := q.sent[name]; ok {
		q.put(name, n+1)
	}
}

// take returns up to n names for one message. It returns each name limit times in
// total, less the number of times that the name was seen.
func (q *updateQueue) take(n, limit int) (taken []string) {
	if len(q.sent) == 0 {
		return nil
	}
	for level := range q.levels {
		for len(q.levels[level]) > 0 && (len(taken) < n || level >= limit) {
			name := q.levels[level][0]
			q.levels[level] = q.levels[level][1:]
			at, ok := q.sent[name]
			switch {
			case !ok || at != level || slices.Contains(taken, name):
			case level >= limit:
				delete(q.sent, name)
			default:
				taken = append(taken, name)
			}
		}
	}
	for _, name := range taken {
		q.put(name, q.sent[name]+1)
	}
	return taken
}

// transmitLimit returns how often each host sends an update: about 3 log2(n)
// times, after which it has reached all n hosts with high probability.
func transmitLimit(hosts int) int { return min(3*bits.Len(uint(hosts)), maxTransmissions) }
