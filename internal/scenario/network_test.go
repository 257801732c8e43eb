package scenario

import (
	"context"
	"net"
	"net/netip"
	"sync"
)

// A network carries the connections between hosts of this process. It can be
// partitioned: data between the two sides is then held back, and new connections
// wait.
type network struct {
	mu       sync.Mutex
	names    map[netip.AddrPort]string
	isolated map[string]bool
	changed  chan struct{}
}

func newNetwork() *network {
	return &network{names: map[netip.AddrPort]string{}, isolated: map[string]bool{}, changed: make(chan struct{})}
}

// cut partitions the hosts from all others. Without hosts it heals the
// partition.
func (n *network) cut(hosts []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated = map[string]bool{}
	for _, h := range hosts {
		n.isolated[h] = true
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *network) name(addr netip.AddrPort, host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[addr] = host
}

// waitConnected returns true once no partition separates the hosts, or false
// when closed is closed.
func (n *network) waitConnected(from string, to netip.AddrPort, closed <-chan struct{}) bool {
	for {
		n.mu.Lock()
		cut := n.isolated[from] != n.isolated[n.names[to]]
		changed := n.changed
		n.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-closed:
			return false
		}
	}
}

func (n *network) dial(ctx context.Context, from string, to netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if !n.waitConnected(from, to, ctx.Done()) {
		return nil, context.Cause(ctx)
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	return &peerConn{Conn: conn, network: n, from: from, to: to, closed: make(chan struct{})}, nil
}

// A peerConn is the dialing side of a connection between two hosts.
type peerConn struct {
	net.Conn
	network *network
	from    string
	to      netip.AddrPort
	once    sync.Once
	closed  chan struct{}
}

func (c *peerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.network.waitConnected(c.from, c.to, c.closed) {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *peerConn) Write(b []byte) (int, error) {
	if !c.network.waitConnected(c.from, c.to, c.closed) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

func (c *peerConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
