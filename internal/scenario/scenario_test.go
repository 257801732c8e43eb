package scenario

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// parallel is how many scripts run at a time. More would slow the hosts so
// much that detection limits of a few hundred milliseconds are missed.
const parallel = 3

// closeTimeout bounds the end of a script's site.
const closeTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	if file := os.Getenv(hostVariable); file != "" {
		os.Exit(runHost(file))
	}
	os.Exit(m.Run())
}

// TestScenarios runs the scripts. Each guards against the failure that its
// first comment names.
func TestScenarios(t *testing.T) {
	slots := make(chan struct{}, parallel)
	red := knownRed(t)
	testscript.Run(t, testscript.Params{
		Dir:                "testdata/script",
		RequireUniqueNames: true,
		Setup: func(e *testscript.Env) error {
			if reason, ok := red[scriptName(e)]; ok {
				e.T().Skip("known red: " + reason)
			}
			slots <- struct{}{}
			w := newWorld(e.WorkDir)
			e.Values[worldKey{}] = w
			e.Defer(func() {
				defer func() { <-slots }()
				ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
				defer cancel()
				w.close(ctx)
			})
			return nil
		},
		Cmds: commands(),
	})
}
