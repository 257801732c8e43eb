package scenario

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/config"
	"github.com/gypsumyard/gypsumyard/internal/emulate/group"
	"github.com/gypsumyard/gypsumyard/internal/operator"
	"github.com/gypsumyard/gypsumyard/internal/planlist"
	"github.com/gypsumyard/gypsumyard/internal/site"
	"github.com/rogpeppe/go-internal/testscript"
)

// journalEntries is large enough to retain every statement of a script.
const journalEntries = 200_000

// commandTimeout limits commands that have no time limit of their own.
const commandTimeout = 20 * time.Second

// A fixture holds the state of one script.
type fixture struct {
	dir       string
	site      *site.Site
	processes map[string]*process
	sessions  map[string]*session
	requests  map[string]*request
	workloads map[string]*workload
	recorders map[string]*recorder
	network   *network
	// lastEdit is the last edit of the lists that succeeded. savedObjects are
	// the list objects that save-lists copied.
	lastEdit     planlist.EditResult
	savedObjects []gypsumyard.Object
	edits        map[string]chan error
	versions     recorder
	// target is the position that the instances must reach in the current
	// wait-for converged, and the primary that it was taken from.
	target struct {
		primary  string
		position gypsumyard.Position
	}
	stop       context.CancelFunc
	background sync.WaitGroup
}

type fixtureKey struct{}

func newFixture(dir string) *fixture {
	return &fixture{
		dir:       dir,
		processes: map[string]*process{},
		sessions:  map[string]*session{},
		requests:  map[string]*request{},
		workloads: map[string]*workload{},
		recorders: map[string]*recorder{},
		edits:     map[string]chan error{},
		network:   newNetwork(),
	}
}

func fixtureOf(ts *testscript.TestScript) *fixture { return ts.Value(fixtureKey{}).(*fixture) }

// close stops everything that the script started.
func (fx *fixture) close(ctx context.Context) {
	fx.network.cut(nil)
	if fx.stop != nil {
		fx.stop()
	}
	for _, l := range fx.workloads {
		l.cancel()
	}
	for _, s := range fx.sessions {
		s.abort()
	}
	for _, p := range fx.processes {
		if p == nil {
			continue
		}
		p.kill()
		if os.Getenv("GYPSUMYARD_SCENARIO_LOG") != "" {
			fmt.Fprintf(os.Stderr, "%s", p.log.String())
		}
	}
	fx.background.Wait()
	if fx.site != nil {
		_ = fx.site.Close(ctx)
	}
}

func (fx *fixture) recorder(database string) *recorder {
	r, ok := fx.recorders[database]
	if !ok {
		r = &recorder{database: database}
		fx.recorders[database] = r
	}
	return r
}

// group returns the group of the named database.
func (fx *fixture) group(name string) (*group.Group, error) {
	if fx.site == nil {
		return nil, fmt.Errorf("no site runs")
	}
	if g := fx.site.Environment.Group(name); g != nil {
		return g, nil
	}
	return nil, fmt.Errorf("no database %q", name)
}

// settings returns the settings of a host.
func (fx *fixture) settings(host string) (config.Settings, error) {
	if fx.site == nil {
		return config.Settings{}, fmt.Errorf("no site runs")
	}
	c, ok := fx.site.Settings(host)
	if !ok {
		return c, fmt.Errorf("no host %q", host)
	}
	return c, nil
}

// operator returns a client of a host's operators' API.
func (fx *fixture) operator(host string) (*operator.Client, error) {
	c, err := fx.settings(host)
	if err != nil {
		return nil, err
	}
	return operator.NewClient(c.Listen.Operators, c.Operators.Token), nil
}

// scriptName returns the name of the script, without the directory.
func scriptName(e *testscript.Env) string {
	return strings.TrimPrefix(filepath.Base(e.WorkDir), "script-")
}

// knownRed returns the scripts that KNOWN-RED.txt lists as failing, each with
// the line of its entry. They run only if GYPSUMYARD_RUN_RED is set.
func knownRed(t *testing.T) map[string]string {
	red := map[string]string{}
	if os.Getenv("GYPSUMYARD_RUN_RED") != "" {
		return red
	}
	f, err := os.Open("../../KNOWN-RED.txt")
	if os.IsNotExist(err) {
		return red
	}
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		test, _, _ := strings.Cut(strings.TrimSpace(lines.Text()), " ")
		if name, ok := strings.CutPrefix(test, "TestScenarios/"); ok {
			red[strings.TrimSuffix(name, ":")] = lines.Text()
		}
	}
	return red
}

// splitOptions separates arguments of the form key=value from the others.
func splitOptions(args []string) (rest []string, options map[string]string) {
	options = map[string]string{}
	for _, a := range args {
		if key, value, ok := strings.Cut(a, "="); ok {
			options[key] = value
			continue
		}
		rest = append(rest, a)
	}
	return rest, options
}
