package upstream

import (
	"bytes"
	"context"
	"crypto/md5"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/tcp"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

// dialTimeout limits each of these: opening a connection including its login, a
// cancel request, and a control call.
const dialTimeout = time.Second

// An Address holds the network address and the credentials for one database of
// an instance.
type Address struct {
	Addr     netip.AddrPort
	Database string
	User     string
	Password string
}

// AddressOf returns the address of an instance of the database.
func AddressOf(d gypsumyard.Database, u gypsumyard.Upstream) Address {
	return Address{Addr: u.Addr, Database: d.Name, User: d.User, Password: d.Password}
}

// Dial opens a connection and logs in. If the instance rejects the connection,
// the error wraps ErrRefused.
func Dial(ctx context.Context, clock gypsumyard.Clock, a Address) (c *Conn, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("dial %s: %w", a.Addr, err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	n, err := tcp.Dial(ctx, a.Addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	c = &Conn{clock: clock, address: a, net: n, front: pgproto3.NewFrontend(n, n)}
	stop := c.abortOnDone(ctx)
	err = c.logIn()
	stop()
	if err != nil {
		c.Close()
		return nil, err
	}
	c.lastResponse = clock.Now()
	return c, nil
}

// logIn runs the startup phase up to the first ReadyForQuery.
func (c *Conn) logIn() error {
	c.front.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user":     c.address.User,
			"database": c.address.Database,
			// No application_name: sessions that do not set one would see it.
		},
	})
	a := authentication{conn: c}
	for {
		if err := c.front.Flush(); err != nil {
			return err
		}
		msg, err := c.front.Receive()
		if err != nil {
			return err
		}
		switch m := msg.(type) {
		case *pgproto3.BackendKeyData:
			c.processID, c.secretKey = m.ProcessID, bytes.Clone(m.SecretKey)
		case *pgproto3.ErrorResponse:
			return refusedError(serverError(m))
		case *pgproto3.ReadyForQuery:
			return nil
		default:
			if err := a.respond(msg); err != nil {
				return err
			}
		}
	}
}

// An authentication is the state of the authentication phase of a login.
type authentication struct {
	conn *Conn
	// conversation is the SCRAM exchange, nil before its start.
	conversation *scram.ClientConversation
}

// respond queues the response to an authentication request of the instance.
// Other messages are ignored.
func (a *authentication) respond(msg pgproto3.BackendMessage) (err error) {
	c := a.conn
	switch m := msg.(type) {
	case *pgproto3.AuthenticationCleartextPassword:
		c.front.Send(&pgproto3.PasswordMessage{Password: c.address.Password})
	case *pgproto3.AuthenticationMD5Password:
		c.front.Send(&pgproto3.PasswordMessage{Password: md5Password(c.address, m.Salt)})
	case *pgproto3.AuthenticationSASL:
		a.conversation, err = c.beginSCRAM()
	case *pgproto3.AuthenticationSASLContinue:
		err = c.continueSCRAM(a.conversation, m.Data)
	case *pgproto3.AuthenticationSASLFinal:
		err = finishSCRAM(a.conversation, m.Data)
	}
	return err
}

// scramMechanism is the only SASL mechanism that servers offer without TLS.
const scramMechanism = "SCRAM-SHA-256"

func (c *Conn) beginSCRAM() (*scram.ClientConversation, error) {
	client, err := scram.SHA256.NewClient(c.address.User, c.address.Password, "")
	if err != nil {
		return nil, fmt.Errorf("scram: %w", err)
	}
	conversation := client.NewConversation()
	first, err := conversation.Step("")
	if err != nil {
		return nil, fmt.Errorf("scram: %w", err)
	}
	c.front.Send(&pgproto3.SASLInitialResponse{AuthMechanism: scramMechanism, Data: []byte(first)})
	return conversation, nil
}

func (c *Conn) continueSCRAM(conversation *scram.ClientConversation, data []byte) error {
	if conversation == nil {
		return errors.New("scram: challenge before the start")
	}
	next, err := conversation.Step(string(data))
	if err != nil {
		return fmt.Errorf("scram: %w", err)
	}
	c.front.Send(&pgproto3.SASLResponse{Data: []byte(next)})
	return nil
}

func finishSCRAM(conversation *scram.ClientConversation, data []byte) error {
	if conversation == nil {
		return errors.New("scram: end before the start")
	}
	if _, err := conversation.Step(string(data)); err != nil {
		return fmt.Errorf("scram: %w", err)
	}
	return nil
}

// md5Password returns the response to an MD5 challenge.
func md5Password(a Address, salt [4]byte) string {
	inner := md5.Sum([]byte(a.Password + a.User))
	outer := md5.Sum(append([]byte(hex.EncodeToString(inner[:])), salt[:]...))
	return "md5" + hex.EncodeToString(outer[:])
}

// cancelStatement asks the instance at a to cancel the statement of the
// connection with the given key. It returns when the instance has closed the
// cancel connection, or when ctx is done.
func cancelStatement(ctx context.Context, a Address, processID uint32, secretKey []byte) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("cancel at %s: %w", a.Addr, err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	n, err := tcp.Dial(ctx, a.Addr, dialTimeout)
	if err != nil {
		return err
	}
	defer n.Close()
	stop := context.AfterFunc(ctx, func() { _ = n.SetDeadline(expiredDeadline) })
	defer stop()
	buf, err := (&pgproto3.CancelRequest{ProcessID: processID, SecretKey: secretKey}).Encode(nil)
	if err != nil {
		return err
	}
	if _, err := n.Write(buf); err != nil {
		return err
	}
	// The instance closes the connection once it has processed the request.
	_, _ = n.Read(make([]byte, 1))
	return nil
}
