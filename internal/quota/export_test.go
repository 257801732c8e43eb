package quota

// Buckets returns the number of customers with a record.
func (a *Allocation) Buckets() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.buckets)
}
