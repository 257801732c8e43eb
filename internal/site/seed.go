package site

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/caller"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/planlist"
	"github.com/gypsumyard/gypsumyard/internal/platform"
	"github.com/jackc/pgx/v5"
)

// seedTimeout limits how long writing the schemas and lists may take.
const seedTimeout = 20 * time.Second

// seed writes the schemas to the primaries and the lists to the store.
func (s *Site) seed(ctx context.Context) error {
	for _, b := range s.deployment.Databases {
		if err := s.writeSchema(ctx, b); err != nil {
			return err
		}
	}
	client := s.storeClient()
	defer client.Close()
	editor := planlist.NewEditor(client, clock.System())
	for _, p := range s.deployment.Plans {
		if err := putEntry(ctx, editor, planlist.Plans, p.Name, p); err != nil {
			return err
		}
	}
	for _, b := range s.deployment.Databases {
		if err := putEntry(ctx, editor, planlist.Databases, b.Name, s.database(b)); err != nil {
			return err
		}
	}
	for _, c := range s.deployment.Customers {
		customer, err := s.customer(c)
		if err != nil {
			return err
		}
		if err := putEntry(ctx, editor, planlist.Customers, c.Name, customer); err != nil {
			return err
		}
	}
	return nil
}

// storeClient returns a client without a rate limit, for set-up only.
func (s *Site) storeClient() *platform.Client {
	const unlimited = 1e6
	return platform.New(s.Environment.Store().Addr(), platform.WithRateLimit(unlimited, unlimited))
}

func putEntry(ctx context.Context, e *planlist.Editor, k planlist.Kind, name string, v any) error {
	value, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = e.Apply(ctx, planlist.Edit{Kind: k, Name: name, Value: value, Expected: planlist.AnyVersion})
	return err
}

func (s *Site) writeSchema(ctx context.Context, b DatabaseSpec) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("write schema of %s: %w", b.Name, err)
		}
	}()
	primary := s.Environment.Group(b.Name).Primary()
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://gypsumyard@%s/%s", primary.Upstream().Addr, b.Name))
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	for _, statement := range b.Schema {
		if _, err := conn.Exec(ctx, statement); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) database(b DatabaseSpec) gypsumyard.Database {
	d := s.Environment.Group(b.Name).Database(s.deployment.Region)
	if d.User == "" {
		d.User = "gypsumyard"
	}
	return d
}

func (s *Site) customer(c CustomerSpec) (customer gypsumyard.Customer, err error) {
	customer = gypsumyard.Customer{Name: c.Name, Plan: c.Plan}
	for _, b := range s.deployment.Databases {
		customer.Databases = append(customer.Databases, b.Name)
	}
	for _, l := range c.Logins {
		verifier, err := caller.Verifier(l.Name)
		if err != nil {
			return customer, err
		}
		customer.Logins = append(customer.Logins, gypsumyard.Login{
			Name: l.Name, Verifier: verifier, MaxStaleness: gypsumyard.Duration(l.MaxStaleness),
		})
	}
	return customer, nil
}
