package gypsumyard

import (
	"encoding/json"
	"fmt"
	"time"
)

// A Customer is one entry of the customer list.
type Customer struct {
	Name string `json:"name"`
	// Plan names the plan that the customer holds.
	Plan string `json:"plan"`
	// Databases are those that the customer may use.
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

// A Login is one set of credentials of a customer. Callers give the user name
// "login@customer".
type Login struct {
	Name string `json:"name"`
	// Verifier is the SCRAM-SHA-256 verifier in the form that PostgreSQL
	// stores: SCRAM-SHA-256$iterations:salt$stored-key:server-key.
	Verifier string `json:"verifier"`
	// MaxStaleness is the age of data that the login's reads accept unless
	// the session says otherwise. Zero asks for read-your-writes.
	MaxStaleness Duration `json:"max-staleness,omitempty"`
}

// A Plan is one entry of the plan list. Fractions are of the slot time of one
// database: one slot second per second on every slot of every instance is 1.
type Plan struct {
	Name string `json:"name"`
	// Share is the fraction guaranteed under contention.
	Share float64 `json:"share"`
	// Limit is the fraction that the customer never exceeds. Capacity that
	// others leave unused is lent up to this fraction.
	Limit float64 `json:"limit"`
	// Priority allows requests that outrank all other traffic.
	Priority bool `json:"priority,omitempty"`
	// MaxWait is how long a request may wait for a slot.
	MaxWait Duration `json:"max-wait"`
	// MaxQueue is how many of the customer's requests may wait at a time.
	MaxQueue int `json:"max-queue"`
	// MaxSessions is how many connections the customer may hold on one host.
	MaxSessions int `json:"max-sessions"`
}

// A Duration is a time.Duration that is written as text with a unit, such as
// "250ms", in settings and lists.
type Duration time.Duration

// MarshalJSON writes the duration as text with a unit.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a duration with a unit.
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
