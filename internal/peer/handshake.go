package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
)

const (
	nonceBytes = 16
	// handshakeTimeout bounds the dialling of a stream and the time that a
	// connection may stay unauthenticated.
	handshakeTimeout = time.Second
)

// A kind names one of the streams of a host.
type kind string

const (
	kindShort  kind = "short"
	kindBulk   kind = "bulk"
	kindGossip kind = "gossip"
)

var errAuth = errors.New("peer is not authenticated")

// A greeting is what both sides of a handshake agree on.
type greeting struct {
	kind                kind
	client, server      string
	link                string
	clientNonce, answer []byte
}

// mac proves knowledge of the secret for one role in one handshake. Each field
// is preceded by its length, so that no two greetings give the same input.
func (g *greeting) mac(secret []byte, role string) []byte {
	h := hmac.New(sha256.New, secret)
	for _, f := range [][]byte{
		[]byte(role), []byte(g.kind), []byte(g.client), []byte(g.server),
		[]byte(g.link), g.clientNonce, g.answer,
	} {
		_ = binary.Write(h, binary.BigEndian, uint32(len(f)))
		h.Write(f)
	}
	return h.Sum(nil)
}

func newNonce() []byte {
	b := make([]byte, nonceBytes)
	_, _ = rand.Read(b) // It never fails; see crypto/rand.
	return b
}

func sendNow(w wire, f *peerpb.Frame) error {
	if err := w.Send(f); err != nil {
		return err
	}
	return flush(w)
}

// greet is the client's side of the handshake. It returns the server's name,
// which must be want unless want is empty.
func (s *Service) greet(w wire, conn net.Conn, k kind, link, want string) (server string, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("handshake: %w", err)
		}
	}()
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	g := greeting{kind: k, client: s.self.Name, link: link, clientNonce: newNonce()}
	hello := &peerpb.Hello{Host: g.client, Link: []byte(link), Nonce: g.clientNonce}
	if err := sendNow(w, &peerpb.Frame{Body: &peerpb.Frame_Hello{Hello: hello}}); err != nil {
		return "", err
	}
	f, err := w.Recv()
	if err != nil {
		return "", err
	}
	c := f.GetChallenge()
	if c == nil {
		return "", errMalformed
	}
	g.server, g.answer = c.Host, c.Nonce
	if !hmac.Equal(c.Mac, g.mac(s.secret, "server")) {
		return "", errAuth
	}
	if want != "" && g.server != want {
		return "", fmt.Errorf("host is %q, want %q", g.server, want)
	}
	proof := &peerpb.Proof{Mac: g.mac(s.secret, "client")}
	if err := sendNow(w, &peerpb.Frame{Body: &peerpb.Frame_Proof{Proof: proof}}); err != nil {
		return "", err
	}
	f, err = w.Recv()
	if err != nil {
		return "", err
	}
	if f.GetReady() == nil {
		return "", errMalformed
	}
	return g.server, conn.SetDeadline(time.Time{})
}

// admit is the server's side of the handshake up to the Ready message, which
// the server sends once it serves the stream.
func (s *Service) admit(w wire, conn net.Conn, k kind) (g *greeting, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("handshake: %w", err)
		}
	}()
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	f, err := w.Recv()
	if err != nil {
		return nil, err
	}
	h := f.GetHello()
	if h == nil || len(h.Nonce) != nonceBytes || len(h.Link) > 2*nonceBytes || len(h.Host) > maxNameBytes {
		return nil, errMalformed
	}
	g = &greeting{kind: k, client: h.Host, server: s.self.Name, link: string(h.Link), clientNonce: h.Nonce, answer: newNonce()}
	c := &peerpb.Challenge{Host: g.server, Nonce: g.answer, Mac: g.mac(s.secret, "server")}
	if err := sendNow(w, &peerpb.Frame{Body: &peerpb.Frame_Challenge{Challenge: c}}); err != nil {
		return nil, err
	}
	f, err = w.Recv()
	if err != nil {
		return nil, err
	}
	if !hmac.Equal(f.GetProof().GetMac(), g.mac(s.secret, "client")) {
		return nil, errAuth
	}
	return g, conn.SetDeadline(time.Time{})
}

func sendReady(w wire) error {
	return sendNow(w, &peerpb.Frame{Body: &peerpb.Frame_Ready{Ready: &peerpb.Ready{}}})
}
