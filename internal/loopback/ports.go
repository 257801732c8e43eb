package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
)

// firstPort and portRange bound the ports. They lie below those that Linux gives
// to outgoing connections, which could take a port between its choice and its
// use, or while an emulated instance is down.
const (
	firstPort = 12000
	portRange = 20000
)

// nextPort begins at random, so that processes which run at the same time
// rarely choose the same ports. A process comes back to a port only after all
// others.
var nextPort atomic.Uint32

func init() { nextPort.Store(rand.Uint32N(portRange)) }

// Listen listens on a loopback port that was free.
func Listen() (l *net.TCPListener, err error) {
	for range portRange {
		port := firstPort + nextPort.Add(1)%portRange
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		if l, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(a)); err == nil {
			return l, nil
		}
	}
	return nil, fmt.Errorf("no free port: %w", err)
}

// FreeAddress returns a loopback address on which nothing listens.
func FreeAddress() (netip.AddrPort, error) {
	l, err := Listen()
	if err != nil {
		return netip.AddrPort{}, err
	}
	return l.Addr().(*net.TCPAddr).AddrPort(), l.Close()
}
