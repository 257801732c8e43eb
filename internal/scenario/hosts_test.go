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
