package site

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
)

// firstPort and portRange bound the ports of hosts. They lie below those that
// Linux gives to outgoing connections, which could take a port between the
// choice and its use.
const (
	firstPort = 12000
	portRange = 20000
)

var nextPort atomic.Uint32

func init() { nextPort.Store(rand.Uint32N(portRange)) }

// FreeAddress returns a loopback address on which nothing listens.
func FreeAddress() (netip.AddrPort, error) {
	for range portRange {
		port := firstPort + nextPort.Add(1)%portRange
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(a))
		if err == nil {
			return a, l.Close()
		}
	}
	return netip.AddrPort{}, errors.New("no free port")
}
