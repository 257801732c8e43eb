package quota

import "testing"

// Guards against a charge that costs a noticeable part of a statement's CPU time.
func BenchmarkCharge(b *testing.B) {
	allocations, pass := newAllocations(8)
	l := Limit{Rate: 1e9, Burst: 1e9}
	pass(step)
	for b.Loop() {
		c, _ := allocations[0].Take("c", l)
		if c == nil {
			b.Fatal("over the limit")
		}
		c.Send()
	}
}
