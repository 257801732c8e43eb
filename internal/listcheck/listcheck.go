package listcheck

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/planlist"
	"github.com/gypsumyard/gypsumyard/internal/statecheck"
)

// The kinds of findings.
const (
	KindRejected        statecheck.Kind = "rejected"
	KindRepeatedField   statecheck.Kind = "repeated-field"
	KindMissingPlan     statecheck.Kind = "missing-plan"
	KindMissingDatabase statecheck.Kind = "missing-database"
	KindNoDatabases     statecheck.Kind = "customer-without-databases"
	KindTwice           statecheck.Kind = "database-listed-twice"
	KindUnusedPlan      statecheck.Kind = "unused-plan"
	KindUnusedDatabase  statecheck.Kind = "unused-database"
	KindShares          statecheck.Kind = "shares-above-one"
	KindSharedInstance  statecheck.Kind = "instance-of-two-databases"
)

// maxSharesTotal is the sum of the shares of one database's customers up to which all of
// them can be guaranteed. It allows for rounding errors.
const maxSharesTotal = 1 + 1e-9

// Lists holds the three lists by name of the entry. Entries that are invalid by themselves
// are left out of the decoded ones.
type Lists struct {
	raw       map[planlist.Kind]map[string]json.RawMessage
	plans     map[string]gypsumyard.Plan
	customers map[string]gypsumyard.Customer
	databases map[string]gypsumyard.Database
	findings  []statecheck.Finding
}

// kinds are the lists in the order in which they are reported.
var kinds = []planlist.Kind{planlist.Plans, planlist.Customers, planlist.Databases}

// Parse decodes an object with the fields plans, customers and databases, each of which
// holds entries by name. Lists may be missing. It fails if the text is no such object; what
// is wrong with single entries is found by Check.
func Parse(text []byte) (l *Lists, err error) {
	l = &Lists{raw: map[planlist.Kind]map[string]json.RawMessage{}}
	d := json.NewDecoder(bytes.NewReader(text))
	if err := d.Decode(&l.raw); err != nil {
		return nil, fmt.Errorf("decode lists: %w", err)
	}
	if l.raw == nil {
		return nil, errors.New("decode lists: want an object")
	}
	for k := range l.raw {
		if _, err := planlist.ParseKind(string(k)); err != nil {
			return nil, fmt.Errorf("decode lists: %w", err)
		}
	}
	repeated, err := repeatedFields(json.NewDecoder(bytes.NewReader(text)), "")
	if err != nil {
		return nil, fmt.Errorf("decode lists: %w", err)
	}
	for _, p := range repeated {
		l.add(KindRepeatedField, statecheck.Error, p, "the name is given twice, the first value is lost")
	}
	l.plans = decode[gypsumyard.Plan](l, planlist.Plans)
	l.customers = decode[gypsumyard.Customer](l, planlist.Customers)
	l.databases = decode[gypsumyard.Database](l, planlist.Databases)
	return l, nil
}

// repeatedFields returns the paths of names that the next value gives twice. The names of
// fields, other than those of entries, are equal regardless of case.
func repeatedFields(d *json.Decoder, at string) (paths []string, err error) {
	t, err := d.Token()
	if err != nil {
		return nil, err
	}
	if t != json.Delim('{') && t != json.Delim('[') {
		return nil, nil
	}
	seen := map[string]bool{}
	for d.More() {
		in := at
		if t == json.Delim('{') {
			name, err := d.Token()
			if err != nil {
				return nil, err
			}
			in = strings.TrimPrefix(at+"."+name.(string), ".") // Names are strings.
			key := in
			if strings.Contains(at, ".") {
				key = strings.ToLower(in)
			}
			if seen[key] {
				paths = append(paths, in)
			}
			seen[key] = true
		}
		inner, err := repeatedFields(d, in)
		if err != nil {
			return nil, err
		}
		paths = append(paths, inner...)
	}
	_, err = d.Token() // The end of the object or list.
	return paths, err
}

// decode returns the valid entries of a list, and adds a finding for each fault of the others.
func decode[T any](l *Lists, k planlist.Kind) map[string]T {
	entries := map[string]T{}
	for _, name := range slices.Sorted(maps.Keys(l.raw[k])) {
		value := l.raw[k][name]
		if err := planlist.Validate(k, name, value); err != nil {
			for _, text := range strings.Split(err.Error(), "\n") {
				l.add(KindRejected, statecheck.Error, path(k, name), "%s", text)
			}
			continue
		}
		var e T
		if err := json.Unmarshal(value, &e); err == nil { // Validate has decoded it.
			entries[name] = e
		}
	}
	return entries
}

func path(k planlist.Kind, name string) string { return string(k) + "." + name }

func (l *Lists) add(k statecheck.Kind, s statecheck.Severity, path, format string, args ...any) {
	l.findings = append(l.findings, statecheck.Finding{Kind: k, Severity: s, Path: path, Text: fmt.Sprintf(format, args...)})
}

// Check returns the findings, first those of single entries, then those between the lists.
func (l *Lists) Check() []statecheck.Finding {
	c := &Lists{raw: l.raw, findings: slices.Clone(l.findings)}
	usedPlans, users := map[string]bool{}, map[string][]string{}
	for _, name := range slices.Sorted(maps.Keys(l.customers)) {
		customer, at := l.customers[name], path(planlist.Customers, name)
		usedPlans[customer.Plan] = true
		if !c.holds(planlist.Plans, customer.Plan) {
			c.add(KindMissingPlan, statecheck.Error, at+".plan", "there is no plan %q: the customer is rejected", customer.Plan)
		}
		if len(customer.Databases) == 0 {
			c.add(KindNoDatabases, statecheck.Warning, at+".databases", "the customer may use no database")
		}
		used := slices.Compact(slices.Sorted(slices.Values(customer.Databases)))
		if len(used) < len(customer.Databases) {
			c.add(KindTwice, statecheck.Warning, at+".databases", "a database is listed twice")
		}
		for _, d := range used {
			users[d] = append(users[d], name)
			if !c.holds(planlist.Databases, d) {
				c.add(KindMissingDatabase, statecheck.Error, at+".databases", "there is no database %q", d)
			}
		}
	}
	// Rejected customers may use anything.
	complete := len(l.customers) == len(l.raw[planlist.Customers])
	for _, name := range slices.Sorted(maps.Keys(l.plans)) {
		if complete && !usedPlans[name] {
			c.add(KindUnusedPlan, statecheck.Warning, path(planlist.Plans, name), "no customer has the plan")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(l.databases)) {
		if complete && len(users[name]) == 0 {
			c.add(KindUnusedDatabase, statecheck.Warning, path(planlist.Databases, name), "no customer may use the database")
		}
		c.checkShares(l, name, users[name])
	}
	c.checkInstances(l)
	return c.findings
}

// holds reports whether the list has the entry, valid or not.
func (l *Lists) holds(k planlist.Kind, name string) bool {
	_, ok := l.raw[k][name]
	return ok
}

// checkShares checks that the shares of a database's customers can all be guaranteed.
func (l *Lists) checkShares(of *Lists, database string, users []string) {
	total := 0.0
	for _, u := range users {
		total += of.plans[of.customers[u].Plan].Share
	}
	if total > maxSharesTotal {
		l.add(KindShares, statecheck.Warning, path(planlist.Databases, database), "the shares of its %d customers add up to %.3g: not all can be guaranteed", len(users), total)
	}
}

// checkInstances finds addresses that several databases list: each would count on all of
// the instance's slots and connections.
func (l *Lists) checkInstances(of *Lists) {
	seen := map[netip.AddrPort]string{}
	for _, name := range slices.Sorted(maps.Keys(of.databases)) {
		for _, u := range of.databases[name].Instances {
			if other, ok := seen[u.Addr]; ok && other != name {
				l.add(KindSharedInstance, statecheck.Error, path(planlist.Databases, name)+".instances", "%v is an instance of database %q too", u.Addr, other)
			}
			seen[u.Addr] = name
		}
	}
}
