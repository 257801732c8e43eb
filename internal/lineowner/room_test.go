package lineowner

import (
	"testing"

	"github.com/gypsumyard/gypsumyard"
	"github.com/matryer/is"
)

// Guards against room for a transaction that a request keeps for good although it did not
// open one, such as when its customer's limit is exceeded after a wait in the queue.
func TestUnusedTransactionRoomIsReleased(t *testing.T) {
	is := is.New(t)
	f, h := keyedFixture(t, 3, 30, customerNames(2))
	customer := f.customers[0].Name
	_, _, err := f.run(h, statement{customer: customer, text: "READ a", class: gypsumyard.StatementRead})
	is.NoErr(err)
	h.mu.Lock()
	g := h.groups[groupName]
	h.mu.Unlock()

	g.mu.Lock()
	i := g.instances[0]
	is.True(i.pool.beginTransaction(customer))
	i.openTransactions++
	g.mu.Unlock()
	j := &job{Request: &gypsumyard.Request{}, reserved: i}
	j.KeyHolder = customer
	g.releaseUnusedRoom(j)
	g.releaseUnusedRoom(j)

	g.mu.Lock()
	defer g.mu.Unlock()
	is.Equal(i.openTransactions, 0)
	is.Equal(j.reserved, nil)
}
