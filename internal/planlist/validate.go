package planlist

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/gypsumyard/gypsumyard"
)

var entryNamePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// validate decodes a value, rejecting unknown fields, and runs the check of its
// list.
func validate[T any](value json.RawMessage, name string, check func(name string, v T) error) error {
	var v T
	d := json.NewDecoder(bytes.NewReader(value))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return fmt.Errorf("entry %q: %w", name, err)
	}
	if d.More() {
		return fmt.Errorf("entry %q: text follows the value", name)
	}
	var nameErr error
	if !entryNamePattern.MatchString(name) {
		nameErr = errors.New("the name must be 1 to 63 lower-case letters, digits, dots and hyphens")
	}
	if err := errors.Join(nameErr, check(name, v)); err != nil {
		return fmt.Errorf("entry %q: %w", name, err)
	}
	return nil
}

// require returns a formatted error unless ok is true.
func require(ok bool, format string, args ...any) error {
	if ok {
		return nil
	}
	return fmt.Errorf(format, args...)
}

func checkPlan(name string, p gypsumyard.Plan) error {
	return errors.Join(
		require(p.Name == name, "name must be %q", name),
		require(p.Share > 0 && p.Share <= 1, "share must be above 0 and at most 1"),
		require(p.Limit >= p.Share && p.Limit <= 1, "limit must be at least share and at most 1"),
		require(p.MaxWait > 0, "max-wait must be above 0"),
		require(p.MaxQueue > 0, "max-queue must be above 0"),
		require(p.MaxSessions > 0, "max-sessions must be above 0"),
	)
}

func checkCustomer(name string, c gypsumyard.Customer) error {
	err := errors.Join(
		require(c.Name == name, "name must be %q", name),
		require(c.Plan != "", "plan must be set"),
		require(len(c.Logins) > 0, "logins must not be empty"),
	)
	seen := map[string]bool{}
	for _, l := range c.Logins {
		err = errors.Join(err,
			require(l.Name != "" && !strings.Contains(l.Name, "@"), "login %q must have a name without @", l.Name),
			require(!seen[l.Name], "login %q is listed twice", l.Name),
			require(strings.HasPrefix(l.Verifier, "SCRAM-SHA-256$"), "verifier of login %q must begin with SCRAM-SHA-256$", l.Name),
			require(l.MaxStaleness >= 0, "max-staleness of login %q must not be negative", l.Name),
		)
		seen[l.Name] = true
	}
	return err
}

func checkDatabase(name string, d gypsumyard.Database) error {
	err := errors.Join(
		require(d.Name == name, "name must be %q", name),
		require(d.Region != "", "region must be set"),
		require(len(d.Instances) > 0, "instances must not be empty"),
		require(d.Slots > 0, "slots must be above 0"),
		require(d.Connections >= d.Slots+2, "connections must be at least slots + 2"),
		require(d.ListVersion <= gypsumyard.MaxListVersion, "list-version must be at most %d", uint64(gypsumyard.MaxListVersion)),
	)
	seen := map[string]bool{}
	for _, u := range d.Instances {
		err = errors.Join(err,
			require(u.Name != "", "an instance must have a name"),
			require(!seen[u.Name], "instance %q is listed twice", u.Name),
			require(u.Addr.IsValid(), "address of instance %q must be an IP address and port", u.Name),
		)
		seen[u.Name] = true
	}
	return err
}
