package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/config"
	"github.com/gypsumyard/gypsumyard/internal/host"
)

// hostVariable is the environment variable with the settings file of the host
// that this test binary runs instead of the tests.
const hostVariable = "GYPSUMYARD_SCENARIO_HOST"

// A process is a host in a separate process, which can be killed and paused.
type process struct {
	command *exec.Cmd
	input   io.Closer
	log     bytes.Buffer
	done    chan struct{}
}

func startProcess(dir string, c config.Settings) (*process, error) {
	c.Peers.Seeds = append([]netip.AddrPort{}, c.Peers.Seeds...) // Encode an empty list, not null.
	value, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(dir, c.Host.Name+".json")
	if err := os.WriteFile(file, value, 0o600); err != nil {
		return nil, err
	}
	binary, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &process{command: exec.Command(binary), done: make(chan struct{})}
	p.command.Env = append(os.Environ(), hostVariable+"="+file)
	p.command.Stdout, p.command.Stderr = &p.log, &p.log
	if p.input, err = p.command.StdinPipe(); err != nil {
		return nil, err
	}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(p.done)
		_ = p.command.Wait()
	}()
	return p, nil
}

// kill kills the process with SIGKILL.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

func (p *process) signal(s syscall.Signal) error { return p.command.Process.Signal(s) }

// runHost runs one host until its process is killed or its parent exits, which
// closes the standard input.
func runHost(file string) int {
	c, err := config.Load(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	h, err := host.New(c)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if err := h.Start(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = io.Copy(io.Discard, os.Stdin)
	}()
	select {
	case <-h.Done():
		return 0
	case <-ended:
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = h.Stop(ctx)
	return 0
}
