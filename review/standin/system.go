//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/emulate/lineclient"
	"github.com/gypsumyard/gypsumyard/internal/emulate/linegroup"
	"github.com/gypsumyard/gypsumyard/internal/emulate/memstore"
	"github.com/gypsumyard/gypsumyard/internal/emulate/objects"
)

const (
	groupName = "ledger"
	// gracePeriod is the hosts' setting bounds.gracePeriodS.
	gracePeriod = 6 * time.Second
	// lossSlack is the hosts' setting bounds.lossSlackMs.
	lossSlack = 200 * time.Millisecond
	// startTimeout bounds the start of the hosts until all serve the route.
	startTimeout = 20 * time.Second
)

// A system consists of host processes and of stand-ins for the platform and a database
// group, which run in this process.
type system struct {
	// program is the command of the deploy file.
	program []string
	dir     string
	store   *memstore.Store
	server  *objects.Server
	group   *linegroup.Group
	hosts   []*host
	record  *record
}

// A host is one process of the system under test.
type host struct {
	name     string
	settings string
	callers  netip.AddrPort

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// A record is the file record.txt of a case. Times are since the start of the scenario.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// newSystem starts the stand-ins and the hosts, and waits until each host serves the route.
func newSystem(program []string, hosts int, r *record, d objects.DesiredState) (s *system, err error) {
	s = &system{program: program, store: memstore.New(), record: r}
	if s.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	s.group, err = linegroup.New(groupName, 3, linegroup.WithLag(20*time.Millisecond), linegroup.WithServiceTime(5*time.Millisecond),
		linegroup.WithPromotionDelay(600*time.Millisecond), linegroup.WithConnections(34))
	if err != nil {
		return s, err
	}
	s.group.Observe(func(e linegroup.Execution) { r.logf("%s runs %s %.40s", e.Instance, e.ID, e.Text) })
	s.server, err = objects.Start(s.store, func(o objects.PromotionOrder) error {
		r.logf("promote %s by %s, generation %d", o.ID, o.Holder, o.Generation)
		return s.group.Promote(o.ID)
	})
	if err != nil {
		return s, err
	}
	ctx := context.Background()
	if err := objects.SetDesiredState(ctx, s.store, d); err != nil {
		return s, err
	}
	for n, i := range s.group.Instances() {
		l := i.Listed()
		l.FailureDomain = fmt.Sprintf("zone-%d", n+1)
		if err := objects.PutInstance(ctx, s.store, l, l.Addr, objects.StateReady); err != nil {
			return s, err
		}
	}
	if err := s.addHosts(hosts); err != nil {
		return s, err
	}
	for _, h := range s.hosts {
		if err := s.start(h); err != nil {
			return s, err
		}
	}
	return s, s.awaitRoute(d.Routes[0].Host)
}

// addHosts writes the settings of the hosts, each of which has a loopback address of its
// own, as it has a machine of its own.
func (s *system) addHosts(n int) error {
	var seeds []string
	var addrs [][3]netip.AddrPort
	for k := range n {
		a, err := freeAddresses(fmt.Sprintf("127.0.0.%d", 11+k))
		if err != nil {
			return err
		}
		addrs = append(addrs, a)
		if k < 3 {
			seeds = append(seeds, a[0].String())
		}
	}
	for k, a := range addrs {
		h := &host{name: fmt.Sprintf("frontend-%d", k+1), callers: a[1]}
		h.settings = filepath.Join(s.dir, h.name+".conf")
		text := strings.Join([]string{
			"nodeName=" + h.name, "role=host", "machineClass=frontend", "serves=frontend,control_plane",
			"ipAddress=" + a[0].Addr().String(), fmt.Sprintf("zone=zone-%d", k+1), "region=region",
			"listenAddresses.frontend=" + a[1].String(), "listenAddresses.readiness=" + a[2].String(),
			"listenAddresses.controlPlane=" + a[0].String(), "seedNodes=" + strings.Join(seeds, ","),
			"limits.cpuShare=0.4", "limits.cpuCores=1", "limits.memoryMb=284", "limits.fileDescriptors=4200",
			"discovery=platform", "heartbeatIntervalMs=1200", "contracts=base,drain,config,cost,recover,sql,platform",
			"bounds.stabilityWindowMs=4000", "bounds.drainTimeoutMs=7000", fmt.Sprintf("bounds.gracePeriodS=%d", int(gracePeriod.Seconds())),
			fmt.Sprintf("bounds.lossSlackMs=%d", lossSlack.Milliseconds()), "bounds.configApplyMs=3000", "bounds.requireFencing=false",
			"platform.address=" + s.server.Addr().String(), "platform.form=objects",
			"cloudApi.address=" + s.server.Addr().String(), "cloudApi.duties=promotion",
		}, "\n")
		if err := os.WriteFile(h.settings, []byte(text+"\n"), 0o600); err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
	}
	return nil
}

// freeAddresses returns three free addresses of the IP address.
func freeAddresses(ip string) (a [3]netip.AddrPort, err error) {
	for n := range a {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return a, err
		}
		defer l.Close()
		a[n] = l.Addr().(*net.TCPAddr).AddrPort()
	}
	return a, nil
}

// start starts the host's process with the command of the deploy file.
func (s *system) start(h *host) error {
	log, err := os.OpenFile(filepath.Join(s.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(s.program[0], s.program[1:]...)
	cmd.Env = append(os.Environ(), "GYPSUMYARD_SETTINGS="+h.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.mu.Lock()
	h.process, h.ended = cmd, ended
	h.mu.Unlock()
	go func() {
		err := cmd.Wait()
		s.record.logf("%s has ended: %v", h.name, err)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the host's process, which may have ended.
func (s *system) signal(h *host, sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s.record.logf("%v to %s", sig, h.name)
	_ = h.process.Process.Signal(sig)
}

// restart stops the host as the platform does, and starts it again.
func (s *system) restart(h *host) {
	s.signal(h, syscall.SIGTERM)
	kill := time.AfterFunc(gracePeriod, func() { s.signal(h, syscall.SIGKILL) })
	<-h.ended
	kill.Stop()
	time.Sleep(200 * time.Millisecond)
	if err := s.start(h); err != nil {
		s.record.logf("%s does not start: %v", h.name, err)
		return
	}
	s.record.logf("%s is started again", h.name)
}

// awaitRoute waits until all hosts serve a read of the route.
func (s *system) awaitRoute(route string) error {
	for _, h := range s.hosts {
		for end := time.Now().Add(startTimeout); !serves(h, route); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				return fmt.Errorf("%s does not serve %s", h.name, route)
			}
		}
	}
	return nil
}

func serves(h *host, route string) bool {
	c, err := lineclient.Dial(h.callers, route, "probe-"+h.name)
	if err != nil {
		return false
	}
	defer c.Close()
	r, ok := c.Query("READ none")
	return ok && r.Code == ""
}

// close ends all processes and stand-ins.
func (s *system) close() {
	for _, h := range s.hosts {
		if h.process == nil {
			continue
		}
		_ = h.process.Process.Signal(syscall.SIGCONT)
		_ = h.process.Process.Kill()
		<-h.ended
	}
	if s.server != nil {
		s.server.Close()
	}
	if s.group != nil {
		s.group.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}
