package admit

import (
	"container/heap"
	"time"
)

// An event is a scheduled action for either a waiter or a customer.
type event struct {
	at       time.Time
	waiter   *waiter
	customer *customer
	// index is the event's index in the heap plus one, zero if the event is not
	// in the heap.
	index int
}

// events is a min-heap of events, ordered by time.
type events []*event

func (e *events) Len() int           { return len(*e) }
func (e *events) Less(i, j int) bool { return (*e)[i].at.Before((*e)[j].at) }

func (e *events) Swap(i, j int) {
	h := *e
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i+1, j+1
}

// Push implements heap.Interface.
func (e *events) Push(x any) {
	v := x.(*event)
	v.index = len(*e) + 1
	*e = append(*e, v)
}

// Pop implements heap.Interface.
func (e *events) Pop() any {
	h := *e
	v := h[len(h)-1]
	h[len(h)-1] = nil
	*e = h[:len(h)-1]
	v.index = 0
	return v
}

// set schedules or reschedules the event.
func (e *events) set(v *event, at time.Time) {
	v.at = at
	if v.index == 0 {
		heap.Push(e, v)
		return
	}
	heap.Fix(e, v.index-1)
}

func (e *events) remove(v *event) {
	if v.index > 0 {
		heap.Remove(e, v.index-1)
	}
}

// popDue removes and returns the earliest event if its time has come.
func (e *events) popDue(now time.Time) (v *event, ok bool) {
	if len(*e) == 0 || (*e)[0].at.After(now) {
		return nil, false
	}
	return heap.Pop(e).(*event), true
}
