package scenario

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// parallelScripts is how many scripts run at the same time. More scripts would
// slow the hosts down so much that failure detection misses its limits of a few
// hundred milliseconds.
const parallelScripts = 3

// closeTimeout limits the shutdown of a script's site.
const closeTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	if file := os.Getenv(hostVariable); file != "" {
		os.Exit(runHost(file))
	}
	os.Exit(m.Run())
}

// TestScenarios runs the scripts. The first comment of each script names the
// failure that it guards against.
func TestScenarios(t *testing.T) {
	slots := make(chan struct{}, parallelScripts)
	red := knownRed(t)
	testscript.Run(t, testscript.Params{
		Dir:                "testdata/script",
		RequireUniqueNames: true,
		Setup: func(e *testscript.Env) error {
			if reason, ok := red[scriptName(e)]; ok {
				e.T().Skip("known red: " + reason)
			}
			slots <- struct{}{}
			fx := newFixture(e.WorkDir)
			e.Values[fixtureKey{}] = fx
			e.Defer(func() {
				defer func() { <-slots }()
				ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
				defer cancel()
				fx.close(ctx)
			})
			return nil
		},
		Cmds: commands(),
	})
}
