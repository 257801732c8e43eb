package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
)

// firstPort and portRange define the port range. It lies below the ephemeral
// range of Linux: an outgoing connection could otherwise occupy a port between
// its allocation and its use, or while an emulated instance is down.
const (
	firstPort = 12000
	portRange = 20000
)

// portCounter starts at a random value, so that concurrent processes rarely
// choose the same ports. A process reuses a port only after it has tried all
// others.
var portCounter atomic.Uint32

func init() { portCounter.Store(rand.Uint32N(portRange)) }

// Listen listens on a free loopback port.
func Listen() (l *net.TCPListener, err error) {
	for range portRange {
		port := firstPort + portCounter.Add(1)%portRange
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		if l, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(a)); err == nil {
			return l, nil
		}
	}
	return nil, fmt.Errorf("no free port: %w", err)
}

// FreeAddress returns a loopback address that is not in use at the time of the
// call.
func FreeAddress() (netip.AddrPort, error) {
	l, err := Listen()
	if err != nil {
		return netip.AddrPort{}, err
	}
	return l.Addr().(*net.TCPAddr).AddrPort(), l.Close()
}
