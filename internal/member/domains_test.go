package member

import (
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/matryer/is"
)

// fleetSize is the number of hosts of a large deployment, in four failure domains.
const fleetSize = 192

// Pattern: a large fleet without any change of membership.
//
// Guards against control traffic between failure domains, which is billed, of about
// the share that random targets would give (three quarters).
func TestHeartbeatsPreferTheOwnDomain(t *testing.T) {
	is := is.New(t)
	w := newNetwork(fleetSize)
	w.startAll()
	w.run(5 * time.Second)
	w.bytes, w.bytesBetweenDomains = 0, 0
	w.run(5 * time.Second)
	share := float64(w.bytesBetweenDomains) / float64(w.bytes)
	t.Logf("%.2f of the bytes are between domains, %d a second and host in all", share, w.bytes/fleetSize/5)
	is.True(share < 0.5)
}

// Pattern: a failure domain of a large fleet loses power.
//
// Guards against hosts of a lost domain that stay in the view because most of those
// that watched them are lost too.
func TestLostDomainIsNoticed(t *testing.T) {
	w := newNetwork(fleetSize)
	w.startAll()
	w.run(5 * time.Second)
	lost := w.nodes[0].host.FailureDomain
	for _, d := range w.nodes {
		d.dead = d.host.FailureDomain == lost
	}
	took := w.waitForAll(t, 2*time.Second, "lost domain is noticed", func(d *node) bool {
		for _, h := range d.table.Hosts() {
			if h.FailureDomain == lost && h.State == gypsumyard.HostLive {
				return false
			}
		}
		return true
	})
	t.Logf("noticed after %v", took)
}
