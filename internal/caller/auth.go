package caller

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/gypsumyard/gypsumyard"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

const (
	mechanism = "SCRAM-SHA-256"
	// scramIterations and saltLen are the values that PostgreSQL uses.
	scramIterations = 4096
	saltLen         = 16
	// maxAuthMessage is the maximum length of a message of a client that is not
	// authenticated yet.
	maxAuthMessage       = 4 * kib
	stateInvalidPassword = "28P01"
)

// Verifier returns the SCRAM verifier of a password with a random salt, in the
// form of gypsumyard.Login.
func Verifier(password string) (verifier string, err error) {
	salt := make([]byte, saltLen)
	rand.Read(salt)
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return "", fmt.Errorf("make verifier: %w", err)
	}
	k, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: scramIterations})
	if err != nil {
		return "", fmt.Errorf("make verifier: %w", err)
	}
	encode := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("%s$%d:%s$%s:%s", mechanism, k.Iters, encode(salt), encode(k.StoredKey), encode(k.ServerKey)), nil
}

// parseVerifier parses the form that Verifier returns.
func parseVerifier(verifier string) (c scram.StoredCredentials, err error) {
	parts := strings.Split(verifier, "$")
	if len(parts) != 3 || parts[0] != mechanism {
		return c, errors.New("verifier is not of the form SCRAM-SHA-256$iterations:salt$stored-key:server-key")
	}
	iterations, salt, ok1 := strings.Cut(parts[1], ":")
	stored, server, ok2 := strings.Cut(parts[2], ":")
	if !ok1 || !ok2 {
		return c, errors.New("verifier lacks the salt or the server key")
	}
	if c.Iters, err = strconv.Atoi(iterations); err != nil || c.Iters < 1 {
		return c, fmt.Errorf("verifier has an invalid iteration count %q", iterations)
	}
	rawSalt, err1 := base64.StdEncoding.DecodeString(salt)
	c.Salt = string(rawSalt)
	var err2, err3 error
	c.StoredKey, err2 = base64.StdEncoding.DecodeString(stored)
	c.ServerKey, err3 = base64.StdEncoding.DecodeString(server)
	if err := errors.Join(err1, err2, err3); err != nil {
		return c, fmt.Errorf("verifier has invalid base64: %w", err)
	}
	if len(c.StoredKey) != sha256.Size || len(c.ServerKey) != sha256.Size {
		return c, errors.New("verifier has a stored key or server key of the wrong length")
	}
	return c, nil
}

// mockCredentials returns credentials that match no password. The salt of a
// user name is always the same, so that a client cannot tell an unknown login
// from a wrong password.
func (s *Server) mockCredentials(user string) scram.StoredCredentials {
	m := hmac.New(sha256.New, s.mockSecret)
	m.Write([]byte(user))
	key := make([]byte, sha256.Size)
	rand.Read(key)
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(m.Sum(nil)[:saltLen]), Iters: scramIterations},
		StoredKey:  key,
		ServerKey:  key,
	}
}

// credentials returns the login, customer and SCRAM credentials of the user
// "login@customer". If the user is unknown or its verifier is invalid, it
// returns mock credentials and known is false.
func (s *Server) credentials(user string) (login gypsumyard.Login, customer gypsumyard.Customer, c scram.StoredCredentials, known bool) {
	name, customerName, _ := cutLast(user, "@")
	customer, known = s.lists.Customer(customerName)
	if known {
		login, known = customer.Login(name)
	}
	if !known {
		return login, customer, s.mockCredentials(user), false
	}
	c, err := parseVerifier(login.Verifier)
	if err != nil {
		s.log.WithError(err).WithField("user", user).Error("login has an invalid verifier")
		return login, customer, s.mockCredentials(user), false
	}
	return login, customer, c, true
}

func cutLast(s, sep string) (before, after string, found bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}

// authenticate runs the SCRAM exchange and sets the session's login and
// customer.
func (x *session) authenticate(user string) error {
	login, customer, credentials, known := x.server.credentials(user)
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return credentials, nil })
	if err != nil {
		return err
	}
	conversation := server.NewConversation()
	first, err := x.startSASL()
	if err != nil {
		return err
	}
	challenge, err := conversation.Step(string(first))
	if err != nil {
		return gypsumyard.Errorf(gypsumyard.ClassProtocol, "malformed SCRAM message: %v", err)
	}
	response, err := x.continueSASL(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	if err != nil {
		return err
	}
	final, err := conversation.Step(string(response))
	if err != nil || !conversation.Valid() || !known {
		return &gypsumyard.Error{
			Class:   gypsumyard.ClassAuth,
			State:   stateInvalidPassword,
			Message: fmt.Sprintf("password authentication failed for user %q", user),
		}
	}
	x.send(&pgproto3.AuthenticationSASLFinal{Data: []byte(final)})
	x.login = login
	x.customer = customer.Name
	return nil
}

func (x *session) startSASL() ([]byte, error) {
	body, err := x.exchangeAuth(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}})
	if err != nil {
		return nil, err
	}
	var m pgproto3.SASLInitialResponse
	if err := m.Decode(body); err != nil {
		return nil, gypsumyard.Errorf(gypsumyard.ClassProtocol, "malformed SASL response")
	}
	if m.AuthMechanism != mechanism {
		return nil, gypsumyard.Errorf(gypsumyard.ClassProtocol, "SASL mechanism %q was not offered", m.AuthMechanism)
	}
	return m.Data, nil
}

func (x *session) continueSASL(m pgproto3.BackendMessage) ([]byte, error) {
	body, err := x.exchangeAuth(m)
	if err != nil {
		return nil, err
	}
	var r pgproto3.SASLResponse
	if err := r.Decode(body); err != nil {
		return nil, gypsumyard.Errorf(gypsumyard.ClassProtocol, "malformed SASL response")
	}
	return r.Data, nil
}

// exchangeAuth sends m and returns the body of the client's SASL response.
func (x *session) exchangeAuth(m pgproto3.BackendMessage) ([]byte, error) {
	x.send(m)
	if err := x.flush(); err != nil {
		return nil, err
	}
	f, err := x.frames.read(maxAuthMessage)
	if err != nil {
		return nil, err
	}
	defer x.frames.release()
	if f.kind != 'p' {
		return nil, gypsumyard.Errorf(gypsumyard.ClassProtocol, "expected a SASL response, got message type %q", f.kind)
	}
	return f.body(), nil
}
