package admit

import (
	"math/bits"
	"slices"
)

// A class is a rank in the order of service.
type class int

// The classes, first served first.
const (
	classTransaction class = iota
	classPriority
	classFair
	classes
)

// A kind tells which waiters can replace each other in the order of service.
type kind struct {
	class class
	// mask has a bit for each instance that may serve the waiters.
	mask uint64
	long bool
}

// A line holds one customer's waiters of one kind in the order of arrival. They
// are served in this order while the queue is short, and the newest first while
// it is long (see fair.head).
type line struct {
	customer    *customer
	kind        kind
	first, last *waiter
	// work is the expected slot time of the waiters, in seconds.
	work  float64
	count int
	// virtual is the customer's virtual time as the lane's order knows it. A
	// customer may have several lines in one lane; their ranks change one by
	// one.
	virtual float64
	// lane is nil while the line is empty or its customer throttled.
	lane  *lane
	index int
}

func (l *line) push(w *waiter) {
	w.fair.line = l
	w.fair.previous = l.last
	if l.last == nil {
		l.first = w
	} else {
		l.last.fair.next = w
	}
	l.last = w
	l.add(w, 1)
}

// add adds the waiter to the sums of the line and of its lane, or subtracts it.
func (l *line) add(w *waiter, sign int) {
	work := float64(sign) * w.fair.expected.Seconds()
	l.work += work
	l.count += sign
	if l.count == 0 {
		l.work = 0 // no rounding errors are carried on
	}
	if l.lane != nil {
		l.lane.add(work, sign)
	}
}

func (l *line) remove(w *waiter) {
	previous, next := w.fair.previous, w.fair.next
	if previous == nil {
		l.first = next
	} else {
		previous.fair.next = next
	}
	if next == nil {
		l.last = previous
	} else {
		next.fair.previous = previous
	}
	w.fair.line, w.fair.previous, w.fair.next = nil, nil, nil
	l.add(w, -1)
}

// A lane holds the lines of one kind of all customers in a heap, so that the
// next line for a slot is found in a few comparisons. The class is that in
// force: priority work beyond the customer's share is in lanes of classFair.
type lane struct {
	kind  kind
	lines []*line
	// work is the expected slot time of the waiters, in seconds.
	work  float64
	count int
}

// before reports whether l is served before m in one lane.
func (l *line) before(m *line) bool {
	if l.virtual != m.virtual {
		return l.virtual < m.virtual
	}
	return l.first.fair.sequence < m.first.fair.sequence
}

// before reports whether the head of a is served before the head of b at an
// instance that both may use. At equal virtual time the one with fewer
// instances to choose from goes first, so that work that can run anywhere does
// not starve work that needs this instance.
func (a *lane) before(b *lane) bool {
	if a.kind.class != b.kind.class {
		return a.kind.class < b.kind.class
	}
	x, y := a.lines[0], b.lines[0]
	if x.virtual != y.virtual {
		return x.virtual < y.virtual
	}
	if n, m := bits.OnesCount64(a.kind.mask), bits.OnesCount64(b.kind.mask); n != m {
		return n < m
	}
	return x.first.fair.sequence < y.first.fair.sequence
}

func (a *lane) insert(l *line) {
	l.lane = a
	l.virtual = l.customer.virtual
	l.index = len(a.lines)
	a.add(l.work, l.count)
	a.lines = append(a.lines, l)
	a.up(l.index)
}

func (a *lane) remove(l *line) {
	i, last := l.index, len(a.lines)-1
	a.swap(i, last)
	a.lines[last] = nil
	a.lines = a.lines[:last]
	l.lane = nil
	a.add(-l.work, -l.count)
	if i < last {
		a.fix(a.lines[i])
	}
}

// fix restores the order after the rank of l has changed.
func (a *lane) fix(l *line) {
	l.virtual = l.customer.virtual
	if !a.up(l.index) {
		a.down(l.index)
	}
}

func (a *lane) swap(i, j int) {
	a.lines[i], a.lines[j] = a.lines[j], a.lines[i]
	a.lines[i].index, a.lines[j].index = i, j
}

func (a *lane) up(i int) (moved bool) {
	for i > 0 {
		parent := (i - 1) / 2
		if !a.lines[i].before(a.lines[parent]) {
			return moved
		}
		a.swap(i, parent)
		i, moved = parent, true
	}
	return moved
}

func (a *lane) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(a.lines) {
			return
		}
		if child+1 < len(a.lines) && a.lines[child+1].before(a.lines[child]) {
			child++
		}
		if !a.lines[child].before(a.lines[i]) {
			return
		}
		a.swap(i, child)
		i = child
	}
}

// place puts the line into the lane in which it is served now.
func (f *fair) place(l *line) {
	k, wanted := l.served()
	if l.lane != nil && (!wanted || l.lane.kind != k) {
		l.lane.remove(l)
	}
	if !wanted {
		return
	}
	if l.lane == nil {
		f.lane(k).insert(l)
		return
	}
	l.lane.fix(l)
}

// served returns the kind under which the line is served, or false if it is
// not served at present.
func (l *line) served() (k kind, ok bool) {
	c := l.customer
	k = l.kind
	k.class = c.classOf(l.kind.class)
	if l.first == nil {
		return k, false
	}
	// An open transaction holds locks and a connection. It may go on until
	// the customer's debt is as large as its burst.
	if l.kind.class == classTransaction {
		return k, !c.blocked
	}
	return k, !c.throttled
}

// classOf returns the class in which the customer's work is served at present.
func (c *customer) classOf(asked class) class {
	if asked == classPriority && c.demoted || asked == classTransaction && c.ahead {
		return classFair
	}
	return asked
}

func (a *lane) add(work float64, count int) {
	a.work += work
	a.count += count
	if a.count == 0 {
		a.work = 0
	}
}

// lane returns the lane of the kind.
func (f *fair) lane(k kind) *lane {
	for _, a := range f.lanes {
		if a.kind == k {
			return a
		}
	}
	a := &lane{kind: k}
	f.lanes = append(f.lanes, a)
	return a
}

// line returns the customer's line of the kind.
func (c *customer) line(k kind) *line {
	i := slices.IndexFunc(c.lines, func(l *line) bool { return l.kind == k })
	if i >= 0 {
		return c.lines[i]
	}
	l := &line{customer: c, kind: k}
	c.lines = append(c.lines, l)
	return l
}
