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
	// handshakeTimeout bounds the dialing of a connection and the time that it
	// may stay unauthenticated.
	handshakeTimeout = time.Second
)

// A streamKind is the kind of a stream between two hosts.
type streamKind string

const (
	kindShort  streamKind = "short"
	kindBulk   streamKind = "bulk"
	kindGossip streamKind = "gossip"
)

var errAuth = errors.New("peer is not authenticated")

// A handshake holds the parameters that both sides of a handshake authenticate.
type handshake struct {
	kind                     streamKind
	client, server           string
	link                     string
	clientNonce, serverNonce []byte
}

// mac returns the MAC that proves knowledge of the secret for one role in one
// handshake. Each field is preceded by its length, so that no two handshakes have
// the same input.
func (g *handshake) mac(secret []byte, role string) []byte {
	h := hmac.New(sha256.New, secret)
	for _, f := range [][]byte{
		[]byte(role), []byte(g.kind), []byte(g.client), []byte(g.server),
		[]byte(g.link), g.clientNonce, g.serverNonce,
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

func sendAndFlush(w frameStream, f *peerpb.Frame) error {
	if err := w.Send(f); err != nil {
		return err
	}
	return flush(w)
}

// clientHandshake performs the client's side of the handshake. It returns the
// server's name, which must equal want unless want is empty.
func (s *Service) clientHandshake(w frameStream, conn net.Conn, k streamKind, link, want string) (server string, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("handshake: %w", err)
		}
	}()
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	g := handshake{kind: k, client: s.self.Name, link: link, clientNonce: newNonce()}
	hello := &peerpb.Hello{Host: g.client, Link: []byte(link), Nonce: g.clientNonce}
	if err := sendAndFlush(w, &peerpb.Frame{Body: &peerpb.Frame_Hello{Hello: hello}}); err != nil {
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
	g.server, g.serverNonce = c.Host, c.Nonce
	if !hmac.Equal(c.Mac, g.mac(s.secret, "server")) {
		return "", errAuth
	}
	if want != "" && g.server != want {
		return "", fmt.Errorf("host is %q, want %q", g.server, want)
	}
	proof := &peerpb.Proof{Mac: g.mac(s.secret, "client")}
	if err := sendAndFlush(w, &peerpb.Frame{Body: &peerpb.Frame_Proof{Proof: proof}}); err != nil {
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

// serverHandshake performs the server's side of the handshake, except for the
// Ready message, which is sent when the server is ready to serve the stream.
func (s *Service) serverHandshake(w frameStream, conn net.Conn, k streamKind) (g *handshake, err error) {
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
	g = &handshake{kind: k, client: h.Host, server: s.self.Name, link: string(h.Link), clientNonce: h.Nonce, serverNonce: newNonce()}
	c := &peerpb.Challenge{Host: g.server, Nonce: g.serverNonce, Mac: g.mac(s.secret, "server")}
	if err := sendAndFlush(w, &peerpb.Frame{Body: &peerpb.Frame_Challenge{Challenge: c}}); err != nil {
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

func sendReady(w frameStream) error {
	return sendAndFlush(w, &peerpb.Frame{Body: &peerpb.Frame_Ready{Ready: &peerpb.Ready{}}})
}
