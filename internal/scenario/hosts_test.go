package scenario

import (
	"context"
	"fmt"
	"syscall"

	"github.com/rogpeppe/go-internal/testscript"
)

// startExternal starts a host in a process of its own.
func (w *world) startExternal(name string) error {
	c, err := w.settings(name)
	if err != nil {
		return err
	}
	w.external[name], err = startProcess(w.dir, c)
	return err
}

func (w *world) process(name string) (*process, error) {
	p := w.external[name]
	if p == nil {
		return nil, fmt.Errorf("host %q has no process of its own", name)
	}
	return p, nil
}

func cmdStopHost(ctx context.Context, _ *testscript.TestScript, w *world, args []string) error {
	return w.site.StopHost(ctx, args[0])
}

func cmdKillHost(_ context.Context, _ *testscript.TestScript, w *world, args []string) error {
	p, err := w.process(args[0])
	if err != nil {
		return err
	}
	p.kill()
	return nil
}

func cmdPauseHost(_ context.Context, _ *testscript.TestScript, w *world, args []string) error {
	p, err := w.process(args[0])
	if err != nil {
		return err
	}
	return p.signal(syscall.SIGSTOP)
}

func cmdResumeHost(_ context.Context, _ *testscript.TestScript, w *world, args []string) error {
	p, err := w.process(args[0])
	if err != nil {
		return err
	}
	return p.signal(syscall.SIGCONT)
}

func cmdDrainHost(ctx context.Context, _ *testscript.TestScript, w *world, args []string) error {
	return w.site.DrainHost(ctx, args[0])
}

func cmdStartHost(ctx context.Context, _ *testscript.TestScript, w *world, args []string) error {
	if _, ok := w.external[args[0]]; ok {
		return w.startExternal(args[0])
	}
	c, err := w.settings(args[0])
	if err != nil {
		return err
	}
	return w.site.StartHost(ctx, c)
}

// cmdOwnerOf: DATABASE. Sets OWNER, and OTHER1, OTHER2 and so on.
func cmdOwnerOf(ctx context.Context, ts *testscript.TestScript, w *world, args []string) error {
	o, err := w.operator("entry-1")
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

// cmdCut: [HOST]... Cuts these hosts from the others; without any ends the cut.
func cmdCut(_ context.Context, _ *testscript.TestScript, w *world, args []string) error {
	w.network.cut(args)
	return nil
}
