package slopes

import (
	"bytes"
	"context"
	"crypto/pbkdf2"
	"crypto/sha256"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

const (
	// workers is how many goroutines drive the clients.
	workers = 16
	// scramIterations is the SCRAM iteration count that [caller.Verifier] uses.
	scramIterations = 4096
)

// connectCallers opens n authenticated connections of one customer to a host.
func connectCallers(ctx context.Context, addr netip.AddrPort, database string, n int) (conns []net.Conn, err error) {
	url := fmt.Sprintf("postgres://%s%%40%s:%s@%s/%s?sslmode=disable", loginName, customerName, password, addr, database)
	return dialAll(n, func(int) (net.Conn, error) {
		c, err := pgconn.Connect(ctx, url)
		if err != nil {
			return nil, err
		}
		h, err := c.Hijack()
		if err != nil {
			return nil, err
		}
		return h.Conn, nil
	})
}

// dialAll calls dial n times from several goroutines.
func dialAll(n int, dial func(i int) (net.Conn, error)) ([]net.Conn, error) {
	conns := make([]net.Conn, n)
	errs := make([]error, workers)
	var wait sync.WaitGroup
	for w := range workers {
		wait.Go(func() {
			for i := w; i < n && errs[w] == nil; i += workers {
				conns[i], errs[w] = dial(i)
			}
		})
	}
	wait.Wait()
	if err := errors.Join(errs...); err != nil {
		closeAll(conns)
		return nil, err
	}
	return conns, nil
}

func closeAll(conns []net.Conn) {
	for _, c := range conns {
		if c != nil {
			_ = c.Close()
		}
	}
}

// A load sends statements at a fixed rate.
type load struct {
	query []byte
	// rate is the total number of statements per second.
	rate float64
	time time.Duration
}

// run sends the statements over the connections in turn. Without connections it
// only waits, to measure the cost of the pacing itself.
func (l load) run(conns []net.Conn) error {
	errs := make([]error, workers)
	var wait sync.WaitGroup
	for w := range workers {
		wait.Go(func() { errs[w] = l.work(w, conns) })
	}
	wait.Wait()
	return errors.Join(errs...)
}

func (l load) work(w int, conns []net.Conn) error {
	buf := make([]byte, 16<<10)
	begin := time.Now()
	total := int(l.rate * l.time.Seconds())
	for i := w; i < total; i += workers {
		due := begin.Add(time.Duration(float64(i) / l.rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		if conns == nil {
			continue
		}
		if err := roundTrip(conns[i%len(conns)], l.query, buf); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(begin.Add(l.time)))
	return nil
}

// roundTrip sends a query and reads the response up to ReadyForQuery.
func roundTrip(c net.Conn, query, buf []byte) error {
	if _, err := c.Write(query); err != nil {
		return err
	}
	n := 0
	for {
		m, err := c.Read(buf[n:])
		if err != nil {
			return err
		}
		n += m
		if n >= len(readyForQuery) && bytes.Equal(buf[n-len(readyForQuery):n], readyForQuery) {
			return nil
		}
		if n == len(buf) {
			return errors.New("response exceeds the read buffer")
		}
	}
}

// clientCPU measures the CPU time of a load's clients, in microseconds per
// second: the pacing and half of the exchange with an echo server, which responds
// immediately with as many bytes.
func (l load) clientCPU(conns int, answer []byte) (float64, error) {
	pacing, both, err := l.echoCost(conns, answer)
	return pacing + (both-pacing)/2, err
}

// echoCost measures the CPU time of a load without connections, and with
// connections to an echo server, in microseconds per second.
func (l load) echoCost(conns int, answer []byte) (pacing, both float64, err error) {
	s, err := startEchoServer(answer)
	if err != nil {
		return 0, 0, err
	}
	defer s.close()
	open, err := dialAll(conns, func(int) (net.Conn, error) { return net.Dial("tcp", s.addr()) })
	if err != nil {
		return 0, 0, err
	}
	defer closeAll(open)
	if pacing, err = cpuPerSecond(func() error { return l.run(nil) }); err != nil {
		return 0, 0, err
	}
	both, err = cpuPerSecond(func() error { return l.run(open) })
	return pacing, both, err
}

// An echoServer responds to each read with the same bytes.
type echoServer struct {
	listener net.Listener
	answer   []byte
	wait     sync.WaitGroup
}

func startEchoServer(answer []byte) (*echoServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &echoServer{listener: l, answer: answer}
	e.wait.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.wait.Go(func() { e.serve(c) })
		}
	})
	return e, nil
}

func (e *echoServer) addr() string { return e.listener.Addr().String() }

func (e *echoServer) serve(c net.Conn) {
	defer c.Close()
	buf := make([]byte, 4<<10)
	for {
		if _, err := c.Read(buf); err != nil {
			return
		}
		if _, err := c.Write(e.answer); err != nil {
			return
		}
	}
}

// close closes the listener. The goroutines end when the clients have closed
// their connections.
func (e *echoServer) close() { _ = e.listener.Close() }

// socketMemory returns the heap memory of one end of n connections.
func socketMemory(n int) (float64, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	before := readMemory()
	held := make([]net.Conn, 0, n)
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		for len(held) < n {
			c, err := l.Accept()
			if err != nil {
				return
			}
			held = append(held, c)
		}
	}()
	conns, err := dialAll(n, func(int) (net.Conn, error) { return net.Dial("tcp", l.Addr().String()) })
	if err != nil {
		return 0, err
	}
	<-accepted
	used := readMemory().since(before)
	closeAll(conns)
	closeAll(held)
	return used.heap / 2, nil
}

// loginClientTime returns the CPU time that SCRAM authentication takes a client.
func loginClientTime() (time.Duration, error) {
	const rounds = 100
	begin := cpuTime()
	for i := range rounds {
		if _, err := pbkdf2.Key(sha256.New, password, []byte{byte(i)}, scramIterations, sha256.Size); err != nil {
			return 0, err
		}
	}
	return (cpuTime() - begin) / rounds, nil
}
