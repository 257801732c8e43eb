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

// journalEntries is enough for every statement of a script.
const journalEntries = 200_000

// commandTimeout bounds commands that state no bound of their own.
const commandTimeout = 20 * time.Second

// A world is what one script works on.
type world struct {
	dir       string
	site      *site.Site
	external  map[string]*process
	sessions  map[string]*session
	requests  map[string]*request
	loads     map[string]*load
	recorders map[string]*recorder
	network   *network
	// edited is the last edit of the lists, saved are remembered copies.
	edited   planlist.EditResult
	saved    []gypsumyard.Object
	edits    map[string]chan error
	versions recorder
	// target is what the instances must reach in the present wait.
	target struct {
		primary  string
		position gypsumyard.Position
	}
	stop       context.CancelFunc
	background sync.WaitGroup
}

type worldKey struct{}

func newWorld(dir string) *world {
	return &world{
		dir:       dir,
		external:  map[string]*process{},
		sessions:  map[string]*session{},
		requests:  map[string]*request{},
		loads:     map[string]*load{},
		recorders: map[string]*recorder{},
		edits:     map[string]chan error{},
		network:   newNetwork(),
	}
}

func worldOf(ts *testscript.TestScript) *world { return ts.Value(worldKey{}).(*world) }

// close ends everything that the script started.
func (w *world) close(ctx context.Context) {
	w.network.cut(nil)
	if w.stop != nil {
		w.stop()
	}
	for _, l := range w.loads {
		l.cancel()
	}
	for _, s := range w.sessions {
		s.abort()
	}
	for _, p := range w.external {
		if p == nil {
			continue
		}
		p.kill()
		if os.Getenv("GYPSUMYARD_SCENARIO_LOG") != "" {
			fmt.Fprintf(os.Stderr, "%s", p.log.String())
		}
	}
	w.background.Wait()
	if w.site != nil {
		_ = w.site.Close(ctx)
	}
}

func (w *world) recorder(database string) *recorder {
	r, ok := w.recorders[database]
	if !ok {
		r = &recorder{database: database}
		w.recorders[database] = r
	}
	return r
}

// group returns the database group of a name.
func (w *world) group(name string) (*group.Group, error) {
	if w.site == nil {
		return nil, fmt.Errorf("no site runs")
	}
	if g := w.site.Environment.Group(name); g != nil {
		return g, nil
	}
	return nil, fmt.Errorf("no database %q", name)
}

// settings returns the settings of a host of the site.
func (w *world) settings(host string) (config.Settings, error) {
	if w.site == nil {
		return config.Settings{}, fmt.Errorf("no site runs")
	}
	c, ok := w.site.Settings(host)
	if !ok {
		return c, fmt.Errorf("no host %q", host)
	}
	return c, nil
}

// operator returns a client of a host's operators' API.
func (w *world) operator(host string) (*operator.Client, error) {
	c, err := w.settings(host)
	if err != nil {
		return nil, err
	}
	return operator.NewClient(c.Listen.Operators, c.Operators.Token), nil
}

// scriptName returns the name of the script, without the directory.
func scriptName(e *testscript.Env) string {
	return strings.TrimPrefix(filepath.Base(e.WorkDir), "script-")
}

// knownRed returns the scripts that KNOWN-RED.txt lists, with the line of the
// entry. They are run only if GYPSUMYARD_RUN_RED is set.
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

// words splits arguments of the form key=value from the others.
func words(args []string) (rest []string, options map[string]string) {
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
