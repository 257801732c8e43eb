package scenario

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/history"
)

// A workload is a number of clients that send requests until it is stopped.
type workload struct {
	name      string
	kind      string
	hosts     []string
	user      string
	database  string
	fixture   *fixture
	recorder  *recorder
	operation operation
	// pause is the think time of a client between two requests.
	pause  time.Duration
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu sync.Mutex
	// outcomes counts the requests by SQLSTATE, "ok" or broken.
	outcomes map[string]int
	// lastStart is the latest start of a request that succeeded.
	lastStart time.Time
	// errors holds the first error of each outcome.
	errors map[string]error
}

// A client is one client of a workload.
type client struct {
	*workload
	name     string
	number   int
	sequence int
	session  *session
	position string
}

// An operation runs one iteration of a client and returns its outcome.
type operation func(ctx context.Context, c *client) string

var operations = map[string]operation{
	"writes":       writeOnce,
	"once":         writeNotRepeatable,
	"transactions": writeTransaction,
	"sessions":     writeThenReadElsewhere,
	"reads":        readOnce,
	"answers":      selectUnique,
	"cancels":      selectAndCancel,
	"settings":     checkSetting,
}

func (fx *fixture) startWorkload(name, kind, hosts, user, database string, clients int, pause time.Duration) (*workload, error) {
	do, ok := operations[kind]
	if !ok {
		return nil, fmt.Errorf("no load of kind %q", kind)
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &workload{
		name: name, kind: kind, hosts: strings.Split(hosts, ","), user: user, database: database,
		fixture: fx, recorder: fx.recorder(database), operation: do, pause: pause, cancel: cancel,
		outcomes: map[string]int{}, errors: map[string]error{},
	}
	for i := range clients {
		c := &client{workload: l, number: i, name: fmt.Sprintf("%s-%d", name, i)}
		l.wg.Go(func() { c.run(ctx) })
	}
	return l, nil
}

// reconnectPause is the time between two attempts to connect.
const reconnectPause = 20 * time.Millisecond

func (c *client) run(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		if c.session == nil && !c.dial(ctx) {
			sleep(ctx, reconnectPause)
			continue
		}
		start := time.Now()
		outcome := c.operation(ctx, c)
		if c.session != nil && c.session.conn.PgConn().IsClosed() {
			c.disconnect()
		}
		c.count(outcome, start)
		sleep(ctx, c.pause)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// dial connects to the next of the workload's hosts, with the position of the
// previous session.
func (c *client) dial(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	parameters := map[string]string{"application_name": "start"}
	if c.position != "" {
		parameters["gypsumyard.position"] = c.position
	}
	host := c.hosts[c.number%len(c.hosts)]
	c.number++
	s, err := c.fixture.connect(ctx, host, c.user, c.database, parameters)
	if err != nil {
		return false
	}
	c.session = s
	return true
}

func (c *client) disconnect() {
	if c.session == nil {
		return
	}
	c.position = c.session.position()
	c.session.abort()
	c.session = nil
}

func (l *workload) count(outcome string, start time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[outcome]++
	if outcome == "ok" && start.After(l.lastStart) {
		l.lastStart = start
	}
}

// recordError records the first error of each outcome. It returns the outcome,
// "ok" if that is empty.
func (l *workload) recordError(outcome string, err error) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if outcome == "" {
		return "ok"
	}
	if _, ok := l.errors[outcome]; !ok {
		l.errors[outcome] = err
	}
	return outcome
}

// progress waits until a request that starts after the call has succeeded.
func (l *workload) progress(d time.Duration) error {
	since := time.Now()
	return waitFor(d, func() error {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.lastStart.After(since) {
			return nil
		}
		return fmt.Errorf("no request of load %s that began in the last %v has succeeded: %v %v", l.name, d, l.outcomes, l.errors)
	})
}

// checkOutcomes checks the counts of the outcomes against the conditions. An
// outcome other than "ok" must not occur unless a condition names it.
func (l *workload) checkOutcomes(conditions []string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	stated := map[string]bool{"ok": true}
	for _, c := range conditions {
		state, ok, err := l.evaluate(c)
		if err != nil {
			return err
		}
		if !ok {
			return fmt.Errorf("load %s: %s does not hold: %v %v", l.name, c, l.outcomes, l.errors)
		}
		stated[state] = true
	}
	for state, n := range l.outcomes {
		if !stated[state] {
			return fmt.Errorf("load %s: %d requests ended with %s: %w", l.name, n, state, l.errors[state])
		}
	}
	return nil
}

func (l *workload) evaluate(condition string) (state string, ok bool, err error) {
	for _, operator := range []string{"<=", ">=", "="} {
		state, value, found := strings.Cut(condition, operator)
		if !found {
			continue
		}
		limit, err := strconv.Atoi(value)
		if err != nil {
			return state, false, err
		}
		n := 0
		for s := range strings.SplitSeq(state, "+") {
			n += l.outcomes[s]
		}
		switch operator {
		case "<=":
			return state, n <= limit, nil
		case ">=":
			return state, n >= limit, nil
		}
		return state, n == limit, nil
	}
	return "", false, fmt.Errorf("condition %q has none of <=, >=, =", condition)
}

// outcomeOf returns the outcome of a write that the SQLSTATE implies.
func outcomeOf(state string) history.Outcome {
	switch state {
	case "":
		return history.Acknowledged
	case "GY002", broken, "57014":
		return history.Unknown
	}
	return history.NotRun
}
