package soak

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// A mode determines what a proxy does with the data it forwards.
type mode string

const (
	modePass mode = "pass"
	// modeSilent discards the data of both directions. Connections that carry
	// data in this mode stay silent until they are closed.
	modeSilent mode = "silent"
	// modeOneWay discards the data from the server.
	modeOneWay mode = "one-way"
	// modeSlow delays the data of both directions.
	modeSlow mode = "slow"
)

// slowDelay is the delay of each chunk in modeSlow.
const slowDelay = 60 * time.Millisecond

// A proxy forwards TCP connections to one address.
type proxy struct {
	listener net.Listener
	mu       sync.Mutex
	to       netip.AddrPort
	mode     mode
	conns    map[net.Conn]bool
}

func newProxy(to netip.AddrPort) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to, mode: modePass, conns: map[net.Conn]bool{}}
	go p.accept(l)
	return p, nil
}

func (p *proxy) addr() netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener.Addr().(*net.TCPAddr).AddrPort()
}

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) get() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	p.mu.Lock()
	l := p.listener
	p.mu.Unlock()
	_ = l.Close()
	p.reset()
}

// refuse makes the proxy refuse connections, as the address of a process that has ended
// does.
func (p *proxy) refuse() { p.close() }

// forwardAgain ends refuse. The proxy forwards to the given address.
func (p *proxy) forwardAgain(to netip.AddrPort) error {
	l, err := net.Listen("tcp", p.addr().String())
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.to, p.mode, p.listener = to, modePass, l
	p.mu.Unlock()
	go p.accept(l)
	return nil
}

func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	s, err := net.Dial("tcp", p.to.String())
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[s] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(s, c, false) })
	wg.Go(func() { p.copy(c, s, true) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, s)
	p.mu.Unlock()
}

// copy forwards data in one direction. Once silenced, a connection stays silent.
func (p *proxy) copy(to, from net.Conn, fromServer bool) {
	defer to.Close()
	buffer := make([]byte, 16<<10)
	silent := false
	for {
		n, err := from.Read(buffer)
		m := p.get()
		silent = silent || m == modeSilent || m == modeOneWay && fromServer
		if m == modeSlow {
			time.Sleep(slowDelay)
		}
		if n > 0 && !silent {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF || !silent {
				return
			}
			return
		}
	}
}
