package lineowner

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/linegroup"
	"github.com/matryer/is"
)

// logged reports whether the host has logged the message for the instance.
func (h *hostFixture) logged(message, instance string) bool {
	for _, e := range h.logHook.AllEntries() {
		if e.Message == message && e.Data["instance"] == instance {
			return true
		}
	}
	return false
}

// Guards against an overload of the primary that no log line explains: reads go to
// the primary because a replica lags.
func TestTrailingReplicaIsLogged(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	h := f.addHost("host-1", nil)
	deaf := f.group.Instances()[2]
	writeUntil := func(message string) bool {
		for n := 0; n < 400 && !h.logged(message, deaf.ID()); n++ {
			if _, err := f.write(h, fmt.Sprintf("WRITE a %d", n)); err != nil {
				t.Log(err)
			}
			time.Sleep(10 * time.Millisecond)
		}
		return h.logged(message, deaf.ID())
	}
	_, _, err := f.run(h, statement{text: "WRITE a first", class: gypsumyard.StatementWrite})
	is.NoErr(err)
	deaf.SetIsolated(true)
	is.True(writeUntil("replica trails too far for reads"))
	is.True(!h.logged("replica can serve reads again", deaf.ID()))
	deaf.SetIsolated(false)
	is.True(writeUntil("replica can serve reads again"))
}

// Guards against a log line for every status of a replica in a group whose reads
// all go to the primary.
func TestReplicaThatServesNoReadsIsNotLogged(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3, linegroup.WithLag(100*time.Millisecond))
	f.staleness = 0
	h := f.addHost("host-1", nil)
	for n := range 50 {
		_, err := f.write(h, fmt.Sprintf("WRITE a %d", n))
		is.NoErr(err)
		time.Sleep(10 * time.Millisecond)
	}
	for _, i := range f.group.Instances() {
		is.True(!h.logged("replica trails too far for reads", i.ID()))
	}
}
