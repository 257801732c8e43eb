package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
)

// firstPort and portRange define the port range. It lies below the ephemeral
// range of Linux: an outgoing connection could otherwise occupy a port between
// its allocation and its use, or while an emulated instance is down.
const (
	firstPort = 12000
	portRange = 20000
	// blockSize is the number of ports of a block, and maxBlocks how many blocks one
	// process takes before it uses its ports again.
	blockSize = 100
	maxBlocks = 10
)

var errNoPort = errors.New("no free port")

// blocks are those of this process.
var blocks allocator

// An allocator hands out ports in blocks that one process owns: while an emulated instance
// is down, no other process that uses this package takes its port.
type allocator struct {
	mu sync.Mutex
	// guards listen on the first port of each block, which tells other processes that the
	// block is taken.
	guards []*net.TCPListener
	// used counts the ports that were handed out.
	used int
}

// Listen listens on a free loopback port.
func Listen() (*net.TCPListener, error) { return blocks.listen() }

func (a *allocator) listen() (*net.TCPListener, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	const perBlock = blockSize - 1 // The guard has one.
	if a.used >= len(a.guards)*perBlock && len(a.guards) < maxBlocks {
		a.takeBlock()
	}
	for {
		for range len(a.guards) * perBlock {
			n := a.used % (len(a.guards) * perBlock)
			a.used++
			base := a.guards[n/perBlock].Addr().(*net.TCPAddr).Port
			if l, err := listenAt(base + 1 + n%perBlock); err == nil {
				return l, nil
			}
		}
		// All ports of the process are in use.
		if !a.takeBlock() {
			return nil, errNoPort
		}
		a.used = (len(a.guards) - 1) * perBlock
	}
}

// takeBlock takes one more free block. It reports false if there is none. The caller must
// hold a.mu.
func (a *allocator) takeBlock() bool {
	const count = portRange / blockSize
	first := rand.IntN(count)
	for n := range count {
		if l, err := listenAt(firstPort + (first+n)%count*blockSize); err == nil {
			a.guards = append(a.guards, l)
			return true
		}
	}
	return false
}

func listenAt(port int) (*net.TCPListener, error) {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
	return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(a))
}

// FreeAddress returns a loopback address that is not in use at the time of the
// call.
func FreeAddress() (a netip.AddrPort, err error) {
	l, err := Listen()
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("free address: %w", err)
	}
	return l.Addr().(*net.TCPAddr).AddrPort(), l.Close()
}
