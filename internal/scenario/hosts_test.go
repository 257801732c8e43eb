package scenario

import (
	"context"
	"fmt"
	"syscall"

	"github.com/rogpeppe/go-internal/testscript"
)

// startExternal starts a host in a separate process.
func (fx *fixture) startExternal(name string) error {
	c, err := fx.settings(name)
	if err != nil {
		return err
	}
	fx.processes[name], err = startProcess(fx.dir, c)
	return err
}

func (fx *fixture) process(name string) (*process, error) {
	p := fx.processes[name]
	if p == nil {
		return nil, fmt.Errorf("host %q has no process of its own", name)
	}
	return p, nil
}

func cmdStopHost(ctx context.Context, _ *testscript.TestScript, fx *fixture, args []string) error {
	return fx.site.StopHost(ctx, args[0])
}

func cmdKillHost(_ context.Context, _ *testscript.TestScript, fx *fixture, args []string) error {
	p, err := fx.process(args[0])
	if err != nil {
		return err
	}
	p.kill()
	return nil
}

func cmdPauseHost(_ context.Context, _ *testscript.TestScript, fx *fixture, args []string) error {
	p, err := fx.process(args[0])
	if err != nil {
		return err
	}
	return p.signal(syscall.SIGSTOP)
}

func cmdResumeHost(_ context.Context, _ *testscript.TestScript, fx *fixture, args []string) error {
	p, err := fx.process(args[0])
	if err != nil {
		return err
	}
	return p.signal(syscall.SIGCONT)
}

func cmdDrainHost(ctx context.Context, _ *testscript.TestScript, fx *fixture, args []string) error {
	return fx.site.DrainHost(ctx, args[0])
}

func cmdStartHost(ctx context.Context, _ *testscript.TestScript, fx *fixture, args []string) error {
	if _, ok := fx.processes[args[0]]; ok {
		return fx.startExternal(args[0])
	}
	c, err := fx.settings(args[0])
	if err != nil {
		return err
	}
	return fx.site.StartHost(ctx, c)
}

// cmdOwnerOf: DATABASE. Sets OWNER, and OTHER1, OTHER2 and so on.
func cmdOwnerOf(ctx context.Context, ts *testscript.TestScript, fx *fixture, args []string) error {
	o, err := fx.operator("entry-1")
	if err != nil {
		return err
	}
	s, err := o.Status(ctx)
	if err != nil {
		return err
	}
	owner := ""
	for _, d := range s.Databases {
		if d.Name == args[0] {
			owner = d.Owner
		}
	}
	ts.Setenv("OWNER", owner)
	others := 0
	for _, m := range s.Members {
		if m.Name != owner {
			others++
			ts.Setenv(fmt.Sprintf("OTHER%d", others), m.Name)
		}
	}
	return nil
}

// cmdCut: [HOST]... Partitions these hosts from the others. Without arguments it
// heals the partition.
func cmdCut(_ context.Context, _ *testscript.TestScript, fx *fixture, args []string) error {
	fx.network.cut(args)
	return nil
}
