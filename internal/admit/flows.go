package admit

import (
	"math/bits"
	"slices"
)

// A class is a precedence level in the order of service.
type class int

// The classes, highest precedence first.
const (
	classTransaction class = iota
	classPriority
	classFair
	classes
)

// A kind groups waiters that are interchangeable for scheduling: they have the
// same class, possible instances and length.
type kind struct {
	class class
	// mask has a bit for each instance that may serve the waiters.
	mask uint64
	long bool
}

// A flow holds one customer's waiters of one kind in the order of arrival. They
// are served in this order while the queue is short, and newest first while it is
// long (see fairQueue.nextWaiter).
type flow struct {
	customer    *customer
	kind        kind
	first, last *waiter
	// work is the expected slot time of the waiters, in seconds.
	work  float64
	count int
	// virtualTime is the customer's virtual time when the flow was last placed
	// in the heap. It is a copy because a customer may have several flows in one
	// heap, and their positions are fixed one at a time.
	virtualTime float64
	// heap is nil while the flow is empty or held back by the customer's limit.
	heap  *flowHeap
	index int
}

func (fl *flow) push(w *waiter) {
	w.fair.flow = fl
	w.fair.previous = fl.last
	if fl.last == nil {
		fl.first = w
	} else {
		fl.last.fair.next = w
	}
	fl.last = w
	fl.updateTotals(w, 1)
}

// updateTotals adds the waiter to the totals of the flow and of its heap (sign 1),
// or subtracts it (sign -1).
func (fl *flow) updateTotals(w *waiter, sign int) {
	work := float64(sign) * w.fair.expected.Seconds()
	fl.work += work
	fl.count += sign
	if fl.count == 0 {
		fl.work = 0 // do not accumulate rounding errors
	}
	if fl.heap != nil {
		fl.heap.updateTotals(work, sign)
	}
}

func (fl *flow) remove(w *waiter) {
	previous, next := w.fair.previous, w.fair.next
	if previous == nil {
		fl.first = next
	} else {
		previous.fair.next = next
	}
	if next == nil {
		fl.last = previous
	} else {
		next.fair.previous = previous
	}
	w.fair.flow, w.fair.previous, w.fair.next = nil, nil, nil
	fl.updateTotals(w, -1)
}

// A flowHeap holds the flows of one kind of all customers in a binary heap, so
// that the next flow for a slot is found in a few comparisons. The kind's class is
// the effective class: priority work beyond the customer's share is in heaps of
// classFair.
type flowHeap struct {
	kind  kind
	flows []*flow
	// work is the expected slot time of the waiters, in seconds.
	work  float64
	count int
}

// before reports whether fl is served before o, which is in the same heap.
func (fl *flow) before(o *flow) bool {
	if fl.virtualTime != o.virtualTime {
		return fl.virtualTime < o.virtualTime
	}
	return fl.first.fair.sequence < o.first.fair.sequence
}

// before reports whether the first flow of h is served before the first flow of o
// at an instance that both may use. At equal virtual time the one with fewer
// possible instances goes first, so that work that can run anywhere does not
// starve work that needs this instance.
func (h *flowHeap) before(o *flowHeap) bool {
	if h.kind.class != o.kind.class {
		return h.kind.class < o.kind.class
	}
	x, y := h.flows[0], o.flows[0]
	if x.virtualTime != y.virtualTime {
		return x.virtualTime < y.virtualTime
	}
	if n, m := bits.OnesCount64(h.kind.mask), bits.OnesCount64(o.kind.mask); n != m {
		return n < m
	}
	return x.first.fair.sequence < y.first.fair.sequence
}

func (h *flowHeap) insert(fl *flow) {
	fl.heap = h
	fl.virtualTime = fl.customer.virtualTime
	fl.index = len(h.flows)
	h.updateTotals(fl.work, fl.count)
	h.flows = append(h.flows, fl)
	h.siftUp(fl.index)
}

func (h *flowHeap) remove(fl *flow) {
	i, last := fl.index, len(h.flows)-1
	h.swap(i, last)
	h.flows[last] = nil
	h.flows = h.flows[:last]
	fl.heap = nil
	h.updateTotals(-fl.work, -fl.count)
	if i < last {
		h.fix(h.flows[i])
	}
}

// fix restores the heap order after the customer's virtual time or the flow's
// first waiter has changed.
func (h *flowHeap) fix(fl *flow) {
	fl.virtualTime = fl.customer.virtualTime
	if !h.siftUp(fl.index) {
		h.siftDown(fl.index)
	}
}

func (h *flowHeap) swap(i, j int) {
	h.flows[i], h.flows[j] = h.flows[j], h.flows[i]
	h.flows[i].index, h.flows[j].index = i, j
}

func (h *flowHeap) siftUp(i int) (moved bool) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.flows[i].before(h.flows[parent]) {
			return moved
		}
		h.swap(i, parent)
		i, moved = parent, true
	}
	return moved
}

func (h *flowHeap) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.flows) {
			return
		}
		if child+1 < len(h.flows) && h.flows[child+1].before(h.flows[child]) {
			child++
		}
		if !h.flows[child].before(h.flows[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}

// placeFlow moves the flow to the heap in which it is served at present, or
// removes it from its heap if it is not served.
func (f *fairQueue) placeFlow(fl *flow) {
	k, served := fl.servedKind()
	if fl.heap != nil && (!served || fl.heap.kind != k) {
		fl.heap.remove(fl)
	}
	if !served {
		return
	}
	if fl.heap == nil {
		f.heapFor(k).insert(fl)
		return
	}
	fl.heap.fix(fl)
}

// servedKind returns the kind of the heap in which the flow is served, or false
// if it is not served at present.
func (fl *flow) servedKind() (k kind, ok bool) {
	c := fl.customer
	k = fl.kind
	k.class = c.effectiveClass(fl.kind.class)
	if fl.first == nil {
		return k, false
	}
	// An open transaction holds locks and a connection. It may continue until
	// the customer's debt is as large as the depth of its limit bucket.
	if fl.kind.class == classTransaction {
		return k, !c.blocked
	}
	return k, !c.throttled
}

// effectiveClass returns the class in which the customer's work of the requested
// class is served at present.
func (c *customer) effectiveClass(requested class) class {
	if requested == classPriority && c.demoted || requested == classTransaction && c.overShare {
		return classFair
	}
	return requested
}

func (h *flowHeap) updateTotals(work float64, count int) {
	h.work += work
	h.count += count
	if h.count == 0 {
		h.work = 0
	}
}

// heapFor returns the heap of the kind and creates it if necessary.
func (f *fairQueue) heapFor(k kind) *flowHeap {
	for _, h := range f.heaps {
		if h.kind == k {
			return h
		}
	}
	h := &flowHeap{kind: k}
	f.heaps = append(f.heaps, h)
	return h
}

// flowFor returns the customer's flow of the kind and creates it if necessary.
func (c *customer) flowFor(k kind) *flow {
	i := slices.IndexFunc(c.flows, func(fl *flow) bool { return fl.kind == k })
	if i >= 0 {
		return c.flows[i]
	}
	fl := &flow{customer: c, kind: k}
	c.flows = append(c.flows, fl)
	return fl
}
