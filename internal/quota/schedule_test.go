package quota

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
)

var schedules = flag.Int("schedules", 10_000, "number of random schedules that TestBoundInRandomSchedules runs")

const (
	// suspectAfter to suspectAfter+suspectJitter is when a host learns that another one is
	// out of reach, and deadAfter later it takes over the groups of that host.
	suspectAfter  = 500 * time.Millisecond
	suspectJitter = 200 * time.Millisecond
	deadAfter     = 250 * time.Millisecond
	// viewDelay is the longest time after which a host learns that another one is in reach
	// again, or leaves.
	viewDelay = 300 * time.Millisecond
	// scheduleTime is the time of one schedule.
	scheduleTime = 15 * time.Second
)

// A schedule is a model with faults. Each host has a view of which hosts are in reach.
type schedule struct {
	*model
	// cut[i] is the side of the network on which host i is.
	cut []int
	// down is when a host stops running for others.
	down []bool
	// sees[i][j] indicates that j is alive in the view of i, and lost[i][j] that i counts j
	// as lost without having left.
	sees, lost [][]bool
	// assigned is the second owner of a group, for a time.
	assigned map[int]*modelHost
}

func newSchedule(seed uint64) *schedule {
	m := newModel(seed, Limit{}, 1, 1)
	r := m.random
	m.limit = Limit{Rate: []float64{1, 10, 100, 400}[r.IntN(4)]}
	m.limit.Burst = m.limit.Rate * r.Float64() * 2
	hosts, groups := 1+r.IntN(5), []int{1, 2, 3, 5, 8, 24}[r.IntN(6)]
	n := newModel(seed, m.limit, groups, hosts)
	n.random = r
	s := &schedule{model: n, cut: make([]int, hosts), down: make([]bool, hosts), assigned: map[int]*modelHost{}}
	for range hosts {
		s.sees = append(s.sees, make([]bool, hosts))
		s.lost = append(s.lost, make([]bool, hosts))
	}
	for i := range hosts {
		for j := range hosts {
			s.sees[i][j] = true
		}
	}
	loss := 0.3 * r.Float64() * float64(r.IntN(2))
	slow := time.Duration(r.IntN(300)) * time.Millisecond * time.Duration(r.IntN(2))
	n.delay = func(from, to *modelHost) (time.Duration, bool) {
		ok := s.reaches(from.index, to.index) && r.Float64() >= loss
		return time.Millisecond + time.Duration(r.Float64()*r.Float64()*float64(slow)), ok
	}
	n.ownerOf = func(h *modelHost, g int) *modelHost { return s.hosts[s.ownerIn(h.index, g)] }
	return s
}

func (s *schedule) reaches(i, j int) bool { return s.cut[i] == s.cut[j] && !s.down[i] && !s.down[j] }

// ownerIn returns the owner of the group in the view of the host.
func (s *schedule) ownerIn(view, g int) int {
	for k := range s.hosts {
		if j := (g + k) % len(s.hosts); s.sees[view][j] {
			return j
		}
	}
	return view
}

// update applies the view of the host to its allocations.
func (s *schedule) update(i int) {
	h := s.hosts[i]
	if s.down[i] || !s.running(h) {
		return
	}
	present, lost := 0, 0
	for j := range s.hosts {
		if s.lost[i][j] {
			lost++
		} else if s.sees[i][j] {
			present++
		}
	}
	fraction := float64(present) / float64(present+lost)
	for g := range s.groups {
		owns := s.ownerIn(i, g) == i || s.assigned[g] == h
		switch {
		case owns && h.allocations[g] == nil:
			h.allocations[g] = NewAllocation(s.tolerance, s.clock)
			h.allocations[g].Configure(g, s.groups, fraction)
		case owns:
			h.allocations[g].Configure(g, s.groups, fraction)
		default:
			delete(h.allocations, g)
		}
	}
}

// change sets how host i sees host j, after a delay.
func (s *schedule) change(i, j int, d time.Duration, sees, lost bool) {
	s.at(d, func() {
		if i == j || s.reaches(i, j) != (sees || !lost) && !s.down[j] && s.running(s.hosts[j]) {
			return // It was overtaken by another change.
		}
		s.sees[i][j], s.lost[i][j] = sees, lost
		s.update(i)
	})
}

// fail lets the others notice that host j is out of reach of host i.
func (s *schedule) fail(i, j int) {
	d := suspectAfter + time.Duration(s.random.Int64N(int64(suspectJitter)))
	s.at(d, func() {
		if s.reaches(i, j) && s.running(s.hosts[j]) || !s.running(s.hosts[i]) {
			return
		}
		s.lost[i][j] = true
		s.update(i)
		s.change(i, j, deadAfter, false, true)
	})
}

// recover lets host i notice that host j is in reach.
func (s *schedule) recover(i, j int) {
	s.at(time.Duration(s.random.Int64N(int64(viewDelay))), func() {
		if s.reaches(i, j) && s.running(s.hosts[j]) {
			s.sees[i][j], s.lost[i][j] = true, false
			s.update(i)
		}
	})
}

func (s *schedule) eachPair(f func(i, j int)) {
	for i := range s.hosts {
		for j := range s.hosts {
			if i != j {
				f(i, j)
			}
		}
	}
}

// fault begins a random fault, and returns how long it lasts.
func (s *schedule) fault() time.Duration {
	d := time.Duration(1+s.random.IntN(5000)) * time.Millisecond
	i := s.random.IntN(len(s.hosts))
	h := s.hosts[i]
	switch s.random.IntN(5) {
	case 0: // A partition.
		for k := range s.cut {
			s.cut[k] = s.random.IntN(2)
		}
		s.eachPair(func(i, j int) {
			if !s.reaches(i, j) {
				s.fail(i, j)
			}
		})
		s.at(d, func() {
			clear(s.cut)
			s.eachPair(s.recover)
		})
	case 1: // A crash.
		s.down[i] = true
		clear(h.allocations)
		s.eachPair(func(a, b int) {
			if b == i {
				s.fail(a, b)
			}
		})
		s.at(d, func() {
			s.down[i] = false
			s.eachPair(func(a, b int) {
				if a == i || b == i {
					s.recover(a, b)
				}
			})
			s.update(i)
		})
	case 2: // A suspension.
		h.resumes = s.clock.Now().Add(d)
		s.eachPair(func(a, b int) {
			if b == i {
				s.fail(a, b)
			}
		})
		s.at(d+time.Millisecond, func() {
			s.eachPair(func(a, b int) {
				if a == i || b == i {
					s.recover(a, b)
				}
			})
		})
	case 3: // A host leaves and comes back.
		for a := range s.hosts {
			if a != i {
				s.at(time.Duration(s.random.Int64N(int64(viewDelay))), func() { s.sees[a][i] = false; s.update(a) })
			}
		}
		s.at(time.Duration(s.random.Int64N(int64(viewDelay))), func() { s.sees[i][i] = len(s.hosts) == 1; s.update(i) })
		s.at(d+viewDelay, func() { s.sees[i][i] = true; s.update(i) })
		s.at(d+viewDelay, func() { s.eachPair(s.recover) })
	case 4: // A second owner of a group.
		g := s.random.IntN(s.groups)
		d = min(d, 200*time.Millisecond+time.Duration(s.groups)*100*time.Millisecond)
		s.assigned[g] = h
		s.update(i)
		s.at(d, func() { delete(s.assigned, g); s.update(i) })
	}
	return d
}

// run runs the schedule with bursts of demand over the limit.
func (s *schedule) run() {
	r := s.random
	hot, load := 0, 0.0
	var nextFault, nextDemand time.Duration
	backlog := 0.0
	for at := time.Duration(0); at < scheduleTime; at += step {
		s.advance()
		if at >= nextFault {
			nextFault = at + s.fault() + viewDelay + time.Duration(r.IntN(2000))*time.Millisecond
		}
		if at >= nextDemand {
			hot, load = r.IntN(s.groups), []float64{0, 0, 1.5, 3}[r.IntN(4)]
			nextDemand = at + time.Duration(r.IntN(8000))*time.Millisecond
		}
		for backlog += load * s.limit.Rate * step.Seconds(); backlog >= 1; backlog-- {
			g := hot
			if r.IntN(2) == 0 {
				g = r.IntN(s.groups)
			}
			s.operate(g, time.Duration(r.IntN(3)*r.IntN(400))*time.Millisecond)
		}
	}
}

// Guards against a sum over all owners that exceeds the bound in any window, with lost and
// late messages, partitions, crashes, suspended hosts, hosts that leave, and groups with
// two owners at once.
func TestBoundInRandomSchedules(t *testing.T) {
	is := is.New(t)
	sent, over, closest := 0, 0, 0.0
	for seed := range uint64(*schedules) {
		s := newSchedule(seed)
		s.run()
		sent += len(s.sent)
		n, bound := s.worst(), s.tolerance.Bound(s.limit)
		closest = max(closest, float64(n)/bound)
		if float64(n) > bound {
			over++
			t.Logf("schedule %d: %d in a window of at most %.1f, limit %v, %d groups, %d hosts", seed, n, bound, s.limit, s.groups, len(s.hosts))
		}
	}
	t.Logf("%d schedules, %d operations sent, the fullest window at %.2f of its bound", *schedules, sent, closest)
	is.Equal(over, 0)
}
