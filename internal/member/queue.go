package member

import (
	"math/bits"
	"slices"
)

// maxTransmissions bounds how often an update is sent, for any number of hosts.
const maxTransmissions = 64

// A queue holds the names of the hosts whose records are to be spread. Those
// that were sent least go first, so that news passes by a long queue of updates
// that most hosts know.
type queue struct {
	// levels holds the names by how often they were sent. An entry whose level
	// is not that in sent is void.
	levels [maxTransmissions + 1][]string
	sent   map[string]int
}

// add queues the name with all its transmissions to come.
func (q *queue) add(name string) { q.put(name, 0) }

func (q *queue) put(name string, level int) {
	if level >= maxTransmissions {
		delete(q.sent, name)
		return
	}
	q.sent[name] = level
	q.levels[level] = append(q.levels[level], name)
}

// seen counts an update that came from another host as sent: the more often it
// comes, the more hosts know it.
func (q *queue) seen(name string) {
	if n, ok := q.sent[name]; ok {
		q.put(name, n+1)
	}
}

// take returns up to n names for one message. Each name is returned limit times
// in all, less the times that it was seen.
func (q *queue) take(n, limit int) (taken []string) {
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

// transmissions is how often an update is sent by each host: about 3 log2(n),
// after which it has reached all hosts with high probability.
func transmissions(hosts int) int { return min(3*bits.Len(uint(hosts)), maxTransmissions) }
