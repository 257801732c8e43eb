package gypsumyard

import (
	"encoding/json"
	"fmt"
	"time"
)

// A Customer is one entry of the customer list.
type Customer struct {
	Name string `json:"name"`
	// Plan is the name of the customer's plan.
	Plan string `json:"plan"`
	// Databases are the names of the databases that the customer may use.
	Databases []string `json:"databases"`
	Logins    []Login  `json:"logins"`
}

// Login returns the login with the given name.
func (c *Customer) Login(name string) (Login, bool) {
	for _, l := range c.Logins {
		if l.Name == name {
			return l, true
		}
	}
	return Login{}, false
}

// A Login is one set of credentials of a customer. Callers connect with the user
// name "login@customer".
type Login struct {
	Name string `json:"name"`
	// Verifier is the SCRAM-SHA-256 verifier in the format that PostgreSQL
	// stores: SCRAM-SHA-256$iterations:salt$stored-key:server-key.
	Verifier string `json:"verifier"`
	// MaxStaleness is the maximum age of the data that the login's reads accept,
	// unless the session sets another value. Zero asks for read-your-writes.
	MaxStaleness Duration `json:"max-staleness,omitempty"`
}

// A Plan is one entry of the plan list. Share and Limit are fractions of the
// slot time of one database: one slot second per second on every slot of every
// instance is 1.
type Plan struct {
	Name string `json:"name"`
	// Share is the fraction that the customer is guaranteed under contention.
	Share float64 `json:"share"`
	// Limit is the most that the customer may use. Capacity that other customers
	// leave unused is available up to this fraction.
	Limit float64 `json:"limit"`
	// Priority allows requests that are served before all other traffic.
	Priority bool `json:"priority,omitempty"`
	// MaxWait is the longest time that a request may wait for a slot.
	MaxWait Duration `json:"max-wait"`
	// MaxQueue is the largest number of the customer's requests that may wait
	// for a slot.
	MaxQueue int `json:"max-queue"`
	// MaxSessions is the largest number of connections that the customer may
	// have open on one host.
	MaxSessions int `json:"max-sessions"`
}

// A Duration is a time.Duration that settings and lists write as text with a
// unit, such as "250ms".
type Duration time.Duration

// MarshalJSON encodes the duration as text with a unit.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes text with a unit.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("duration must be text with a unit, such as \"250ms\"")
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("duration %q has no number with a unit, such as \"250ms\"", s)
	}
	*d = Duration(v)
	return nil
}
