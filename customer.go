package gypsumyard

import "crypto/sha256"

// A KeyHash is the SHA-256 hash of a caller's key. Hosts store, compare and send
// hashes only, so that a key cannot be read from memory dumps or logs, and the time
// of a look-up tells nothing about it.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// IsZero reports whether there is no key.
func (h KeyHash) IsZero() bool { return h == KeyHash{} }

// A CallerCustomer is a customer of the desired state, whose callers identify
// themselves by a key.
type CallerCustomer struct {
	Name string
	// Priority orders customers under contention. Zero is the highest.
	Priority int
	// Rate is how many operations a second the customer may run on all hosts
	// together, and Burst how many beyond that at once. An operation is a statement
	// outside of transactions, or a transaction. A Rate of zero means no limit.
	Rate  float64
	Burst float64
}

// CustomerOf returns the name of the customer that holds the key. There is none
// while the desired state has no customers.
func (d *DesiredState) CustomerOf(h KeyHash) (name string, ok bool) {
	name, ok = d.Keys[h]
	return name, ok
}

// QuotaTokens is a number of operations of a customer's rate limit.
type QuotaTokens struct {
	Customer string
	Tokens   float64
}

// A QuotaRequest asks the owner of a database for operations of customers' rate limits
// that it does not need.
type QuotaRequest struct {
	// Database is the one whose owner is asked.
	Database string
	// AskingDatabase is the one for which the operations are.
	AskingDatabase string
	Wanted         []QuotaTokens
}
