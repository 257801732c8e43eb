package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/history"
	"github.com/gypsumyard/gypsumyard/internal/operator"
	"github.com/gypsumyard/gypsumyard/internal/planlist"
	"github.com/rogpeppe/go-internal/testscript"
)

// An edit is a change of the lists that a script requests through a host.
type edit struct {
	host     string
	kind     planlist.Kind
	entry    string
	expected uint64
	value    []byte
}

// parseEdit parses HOST KIND ENTRY EXPECTED [FILE]. EXPECTED is a version of the
// entry, or "any".
func parseEdit(ts *testscript.TestScript, args []string) (e edit, err error) {
	if len(args) < 4 {
		return e, fmt.Errorf("%q has no form HOST KIND ENTRY EXPECTED [FILE]", args)
	}
	e = edit{host: args[0], entry: args[2], expected: planlist.AnyVersion}
	if e.kind, err = planlist.ParseKind(args[1]); err != nil {
		return e, err
	}
	if args[3] != "any" {
		if e.expected, err = strconv.ParseUint(args[3], 10, 64); err != nil {
			return e, err
		}
	}
	if len(args) > 4 {
		e.value = []byte(ts.ReadFile(args[4]))
	}
	return e, nil
}

func (fx *fixture) apply(ctx context.Context, e edit) (planlist.EditResult, error) {
	o, err := fx.operator(e.host)
	if err != nil {
		return planlist.EditResult{}, err
	}
	if e.value == nil {
		return o.Delete(ctx, e.kind, e.entry, e.expected)
	}
	return o.Put(ctx, e.kind, e.entry, e.expected, e.value)
}

func kindOf(err error) string {
	var a *operator.APIError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &a):
		return a.Kind
	}
	return err.Error()
}

// cmdEdit: HOST KIND ENTRY EXPECTED [FILE] [fails KIND].
func cmdEdit(ctx context.Context, ts *testscript.TestScript, fx *fixture, args []string) error {
	want := "ok"
	if n := len(args); args[n-2] == "fails" {
		want, args = args[n-1], args[:n-2]
	}
	e, err := parseEdit(ts, args)
	if err != nil {
		return err
	}
	a, err := fx.apply(ctx, e)
	if kind := kindOf(err); !strings.Contains(","+want+",", ","+kind+",") {
		return fmt.Errorf("want %s, got %s: %w", want, kind, err)
	}
	if err == nil {
		fx.lastEdit = a
	}
	return nil
}

// editTimeout is longer than a host keeps trying to apply an edit.
const editTimeout = 30 * time.Second

// cmdBeginEdit: NAME HOST KIND ENTRY EXPECTED [FILE]. The edit runs in the
// background.
func cmdBeginEdit(_ context.Context, ts *testscript.TestScript, fx *fixture, args []string) error {
	e, err := parseEdit(ts, args[1:])
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	fx.edits[args[0]] = done
	fx.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), editTimeout)
		defer cancel()
		_, err := fx.apply(ctx, e)
		done <- err
	})
	return nil
}

// cmdEndEdit: NAME KIND,... Waits for the edit, which must end with one of the
// kinds.
func cmdEndEdit(_ context.Context, _ *testscript.TestScript, fx *fixture, args []string) error {
	done, ok := fx.edits[args[0]]
	if !ok {
		return fmt.Errorf("no edit %q", args[0])
	}
	err := <-done
	if kind := kindOf(err); !strings.Contains(","+args[1]+",", ","+kind+",") {
		return fmt.Errorf("want %s, got %s: %w", args[1], kind, err)
	}
	return nil
}

// cmdAssign: HOST CUSTOMER PLAN. Assigns a different plan to the customer.
func cmdAssign(ctx context.Context, _ *testscript.TestScript, fx *fixture, args []string) error {
	o, err := fx.operator(args[0])
	if err != nil {
		return err
	}
	entry, err := o.Get(ctx, planlist.Customers, args[1])
	if err != nil {
		return err
	}
	var c gypsumyard.Customer
	if err := json.Unmarshal(entry.Value, &c); err != nil {
		return err
	}
	c.Plan = args[2]
	value, err := json.Marshal(c)
	if err != nil {
		return err
	}
	fx.lastEdit, err = o.Put(ctx, planlist.Customers, args[1], entry.Version, value)
	return err
}

// cmdRace: N HOST HOST KIND ENTRY ENTRY EXPECTED FILE FILE. Two operators edit
// concurrently. N of the edits must succeed and the others fail with a conflict.
func cmdRace(ctx context.Context, ts *testscript.TestScript, fx *fixture, args []string) error {
	results := make(chan error, 2)
	for i := range 2 {
		e, err := parseEdit(ts, []string{args[1+i], args[3], args[4+i], args[6], args[7+i]})
		if err != nil {
			return err
		}
		fx.background.Go(func() {
			_, err := fx.apply(ctx, e)
			results <- err
		})
	}
	won := 0
	for range 2 {
		switch kind := kindOf(<-results); kind {
		case "ok":
			won++
		case "conflict":
		default:
			return fmt.Errorf("edit failed with %s", kind)
		}
	}
	if fmt.Sprint(won) != args[0] {
		return fmt.Errorf("%d edits succeeded, not %s", won, args[0])
	}
	return nil
}

// cmdEntry: HOST KIND ENTRY VERSION [TEXT]. The entry in the store must have the
// version, and its value must contain the text.
func cmdEntry(ctx context.Context, _ *testscript.TestScript, fx *fixture, args []string) error {
	o, err := fx.operator(args[0])
	if err != nil {
		return err
	}
	e, err := o.Get(ctx, planlist.Kind(args[1]), args[2])
	if err != nil {
		return err
	}
	if fmt.Sprint(e.Version) != args[3] || len(args) > 4 && !strings.Contains(string(e.Value), args[4]) {
		return fmt.Errorf("entry has version %d and value %s", e.Version, e.Value)
	}
	return nil
}

// isInForce: HOST. The host reports that the last edit is in force on all hosts
// of the region.
func isInForce(ctx context.Context, fx *fixture, args []string) error {
	o, err := fx.operator(args[0])
	if err != nil {
		return err
	}
	a, err := o.InForce(ctx, fx.lastEdit.Object, fx.lastEdit.Version)
	if err == nil && !a.Everywhere {
		err = fmt.Errorf("version %d of %s is not in force everywhere: %v", fx.lastEdit.Version, fx.lastEdit.Object, a.Hosts)
	}
	return err
}

// hasPlan: HOST CUSTOMER PLAN. In the lists of the host, which runs in this
// process, the customer has the plan. A PLAN of - means that the customer does
// not exist.
func hasPlan(_ context.Context, fx *fixture, args []string) error {
	h := fx.site.Host(args[0])
	if h == nil {
		return fmt.Errorf("no host %q in this process", args[0])
	}
	c, ok := h.Lists().Customer(args[1])
	switch {
	case !ok && args[2] == "-", ok && c.Plan == args[2]:
		return nil
	case !ok:
		return fmt.Errorf("%s knows no customer %s", args[0], args[1])
	}
	return fmt.Errorf("%s has customer %s with plan %s", args[0], args[1], c.Plan)
}

// hasLimit: HOST PLAN LIMIT. In the lists of the host, which runs in this
// process, the plan has the limit.
func hasLimit(_ context.Context, fx *fixture, args []string) error {
	h := fx.site.Host(args[0])
	if h == nil {
		return fmt.Errorf("no host %q in this process", args[0])
	}
	p, ok := h.Lists().Plan(args[1])
	if !ok || fmt.Sprint(p.Limit) != args[2] {
		return fmt.Errorf("%s has plan %s with limit %v", args[0], args[1], p.Limit)
	}
	return nil
}

// cmdSaveLists: HOST. Saves the host's copies of the list objects.
func cmdSaveLists(_ context.Context, _ *testscript.TestScript, fx *fixture, args []string) error {
	h := fx.site.Host(args[0])
	if h == nil {
		return fmt.Errorf("no host %q in this process", args[0])
	}
	fx.savedObjects = h.Lists().Newer(0).Objects
	return nil
}

// cmdReplayLists: HOST. Applies the saved copies to the host, as a lagging peer
// would.
func cmdReplayLists(_ context.Context, _ *testscript.TestScript, fx *fixture, args []string) error {
	h := fx.site.Host(args[0])
	if h == nil {
		return fmt.Errorf("no host %q in this process", args[0])
	}
	h.Lists().Apply(fx.savedObjects)
	return nil
}

// listPollInterval is the interval at which the versions in force are recorded.
const listPollInterval = 5 * time.Millisecond

// followLists records the versions in force on the hosts of this process. A
// restarted host counts as the same host once it is ready.
func (fx *fixture) followLists(ctx context.Context) {
	type key struct{ host, object string }
	last := map[key]gypsumyard.Version{}
	for ctx.Err() == nil {
		for _, h := range fx.site.Hosts() {
			name := h.Settings().Host.Name
			select {
			case <-h.Ready():
			default:
				continue
			}
			for object, v := range h.Lists().Versions() {
				if k := (key{name, object}); last[k] != v {
					last[k] = v
					fx.versions.list(history.ListVersion{Host: name, Object: object, Version: v, At: time.Now()})
				}
			}
		}
		sleep(ctx, listPollInterval)
	}
}

// cmdCheckLists verifies that no host reverted to an older version.
func cmdCheckLists(_ context.Context, _ *testscript.TestScript, fx *fixture, _ []string) error {
	fx.versions.mu.Lock()
	defer fx.versions.mu.Unlock()
	if all := history.Check(&fx.versions.history); len(all) > 0 {
		return fmt.Errorf("%d violations: %v", len(all), all)
	}
	return nil
}
