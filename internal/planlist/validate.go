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

var entryNameForm = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// validate decodes a value strictly and runs the check of its list.
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
	if !entryNameForm.MatchString(name) {
		nameErr = errors.New("the name must be 1 to 63 lower-case letters, digits, dots and hyphens")
	}
	if err := errors.Join(nameErr, check(name, v)); err != nil {
		return fmt.Errorf("entry %q: %w", name, err)
	}
	return nil
}

// want returns an error unless ok holds.
func want(ok bool, format string, args ...any) error {
	if ok {
		return nil
	}
	return fmt.Errorf(format, args...)
}

func checkPlan(name string, p gypsumyard.Plan) error {
	return errors.Join(
		want(p.Name == name, "name must be %q", name),
		want(p.Share > 0 && p.Share <= 1, "share must be above 0 and at most 1"),
		want(p.Limit >= p.Share && p.Limit <= 1, "limit must be at least share and at most 1"),
		want(p.MaxWait > 0, "max-wait must be above 0"),
		want(p.MaxQueue > 0, "max-queue must be above 0"),
		want(p.MaxSessions > 0, "max-sessions must be above 0"),
	)
}

func checkCustomer(name string, c gypsumyard.Customer) error {
	err := errors.Join(
		want(c.Name == name, "name must be %q", name),
		want(c.Plan != "", "plan must be set"),
		want(len(c.Logins) > 0, "logins must not be empty"),
	)
	seen := map[string]bool{}
	for _, l := range c.Logins {
		err = errors.Join(err,
			want(l.Name != "" && !strings.Contains(l.Name, "@"), "login %q must have a name without @", l.Name),
			want(!seen[l.Name], "login %q is listed twice", l.Name),
			want(strings.HasPrefix(l.Verifier, "SCRAM-SHA-256$"), "verifier of login %q must begin with SCRAM-SHA-256$", l.Name),
			want(l.MaxStaleness >= 0, "max-staleness of login %q must not be negative", l.Name),
		)
		seen[l.Name] = true
	}
	return err
}

func checkDatabase(name string, d gypsumyard.Database) error {
	err := errors.Join(
		want(d.Name == name, "name must be %q", name),
		want(d.Region != "", "region must be set"),
		want(len(d.Instances) > 0, "instances must not be empty"),
		want(d.Slots > 0, "slots must be above 0"),
		want(d.Connections >= d.Slots+2, "connections must be at least slots + 2"),
	)
	seen := map[string]bool{}
	for _, u := range d.Instances {
		err = errors.Join(err,
			want(u.Name != "", "an instance must have a name"),
			want(!seen[u.Name], "instance %q is listed twice", u.Name),
			want(u.Addr.IsValid(), "address of instance %q must be an IP address and port", u.Name),
		)
		seen[u.Name] = true
	}
	return err
}
