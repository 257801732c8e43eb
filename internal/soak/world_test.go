package soak

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/linegroup"
	"github.com/gypsumyard/gypsumyard/internal/emulate/memstore"
	"github.com/gypsumyard/gypsumyard/internal/emulate/objects"
	"github.com/gypsumyard/gypsumyard/internal/loopback"
)

const (
	groupName = "ledger"
	// The names and the staleness of the routes.
	routePrimary = "orders"
	routeBounded = "readings"
	routeSession = "logs"
	boundedAge   = 1500 * time.Millisecond
	sessionAge   = 2500 * time.Millisecond
	// gracePeriod is what the hosts are told.
	gracePeriod = 6 * time.Second
)

// A world is hosts, instances and a platform.
type world struct {
	t      *testing.T
	dir    string
	store  *memstore.Store
	server *objects.Server
	group  *linegroup.Group
	hosts  []*process

	mu        sync.Mutex
	instances map[string]*proxy
	version   int
	// generations are those of the orders to promote, with their holders.
	generations map[uint64]string
	last        uint64
	broken      []string
}

// A process is one host.
type process struct {
	name     string
	settings string
	log      string
	callers  netip.AddrPort
	store    *proxy

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func newWorld(t *testing.T, hosts int, apart bool) *world {
	t.Helper()
	// Hosts that are apart know nothing of each other, so that all own the
	// group.
	w := &world{t: t, dir: t.TempDir(), store: memstore.New(), instances: map[string]*proxy{}, generations: map[uint64]string{}}
	var err error
	w.group, err = linegroup.New(groupName, 3, linegroup.WithLag(20*time.Millisecond), linegroup.WithServiceTime(time.Millisecond),
		linegroup.WithPromotionDelay(200*time.Millisecond), linegroup.WithConnections(40))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.group.Close)
	w.server, err = objects.Start(w.store, w.promote)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.server.Close)
	w.changeState()
	for _, i := range w.group.Instances() {
		w.list(i)
	}
	var ports []netip.AddrPort
	for range 3 * hosts {
		a, err := loopback.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		ports = append(ports, a)
	}
	var seeds []string
	for n := range hosts {
		seeds = append(seeds, ports[3*n].String())
	}
	for n := range hosts {
		region := "region"
		if apart {
			region = fmt.Sprintf("region-%d", n)
		}
		w.hosts = append(w.hosts, w.newProcess(n, region, ports[3*n:3*n+3], seeds))
	}
	return w
}

func (w *world) newProcess(n int, region string, ports []netip.AddrPort, seeds []string) *process {
	p, err := newProxy(w.server.Addr())
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(p.close)
	h := &process{name: fmt.Sprintf("host-%d", n+1), callers: ports[1], store: p}
	h.settings, h.log = filepath.Join(w.dir, h.name+".conf"), filepath.Join(w.dir, h.name+".log")
	text := strings.Join([]string{
		"nodeName=" + h.name, "zone=zone-" + h.name, "region=" + region,
		"listenAddresses.controlPlane=" + ports[0].String(), "listenAddresses.frontend=" + ports[1].String(),
		"listenAddresses.readiness=" + ports[2].String(), "seedNodes=" + strings.Join(seeds[:min(3, len(seeds))], ","),
		"limits.memoryMb=284", "limits.fileDescriptors=4200", "bounds.gracePeriodS=" + fmt.Sprint(int(gracePeriod.Seconds())),
		"platform.address=" + p.addr().String(), "cloudApi.address=" + p.addr().String(),
	}, "\n")
	if err := os.WriteFile(h.settings, []byte(text+"\n"), 0o600); err != nil {
		w.t.Fatal(err)
	}
	w.start(h)
	w.t.Cleanup(h.kill)
	return h
}

// start runs the host's program.
func (w *world) start(h *process) {
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		w.t.Error(err)
		return
	}
	defer out.Close()
	cmd := exec.Command(binary)
	cmd.Env = append(os.Environ(), "GYPSUMYARD_SETTINGS="+h.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		w.t.Error(err)
		return
	}
	done := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.done = cmd, done
	h.mu.Unlock()
	go func() {
		_ = cmd.Wait() // Its end is a part of the test.
		close(done)
	}()
}

// signal sends a signal to the host's process.
func (h *process) signal(s os.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Signal(s) // It may have ended.
}

func (h *process) kill() {
	h.signal(syscall.SIGCONT)
	h.signal(os.Kill)
	<-h.ended()
}

func (h *process) ended() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.done
}

// list writes the entry of an instance, which is reached through a proxy.
func (w *world) list(i *linegroup.Instance) {
	p, err := newProxy(i.Addr())
	if err != nil {
		w.t.Error(err)
		return
	}
	w.t.Cleanup(p.close)
	w.mu.Lock()
	w.instances[i.ID()] = p
	w.mu.Unlock()
	l := i.Listed()
	l.FailureDomain = "zone-host-1"
	if err := objects.PutInstance(w.t.Context(), w.store, l, p.addr(), objects.StateReady); err != nil {
		w.t.Error(err)
	}
}

// proxyOf returns the proxy of an instance.
func (w *world) proxyOf(i *linegroup.Instance) *proxy {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.instances[i.ID()]
}

// changeState writes the next desired state.
func (w *world) changeState() {
	w.mu.Lock()
	w.version += 3
	version := w.version
	w.mu.Unlock()
	route := func(name, kind string, age time.Duration) objects.Route {
		return objects.Route{
			Name: "r-" + name, Host: name, Kind: kind, TimeoutMs: int64(1000 + version), TargetLatencyMs: 200, Priority: 1,
			Service: groupName, MaxStalenessMs: age.Milliseconds(),
		}
	}
	err := objects.SetDesiredState(w.t.Context(), w.store, objects.DesiredState{
		Version: version,
		Routes: []objects.Route{
			route(routePrimary, objects.KindPrimary, 0), route(routeBounded, objects.KindBounded, boundedAge),
			route(routeSession, objects.KindSession, sessionAge),
		},
		Services: []objects.Service{{Name: groupName, ConnectionLimit: 40, SyncReplicas: 1}},
		Limits:   objects.Limits{TransactionIdleMs: 3000},
	})
	if err != nil {
		w.t.Error(err)
	}
}

// promote carries out an order and checks its generation.
func (w *world) promote(o objects.PromotionOrder) error {
	w.mu.Lock()
	if holder, ok := w.generations[o.Generation]; ok && holder != o.Holder {
		w.broken = append(w.broken, fmt.Sprintf("generation %d is used by %s and %s", o.Generation, holder, o.Holder))
	}
	if o.Generation < w.last {
		w.broken = append(w.broken, fmt.Sprintf("generation %d of %s follows %d", o.Generation, o.Holder, w.last))
	}
	w.generations[o.Generation], w.last = o.Holder, max(w.last, o.Generation)
	w.mu.Unlock()
	return w.group.Promote(o.ID)
}

// replace crashes an instance for good and starts another one.
func (w *world) replace(i *linegroup.Instance) {
	i.Crash()
	time.Sleep(time.Second)
	n, err := w.group.Add()
	if err != nil {
		w.t.Error(err)
		return
	}
	w.list(n)
	time.Sleep(2 * time.Second)
	for range 100 {
		if w.store.Delete(w.t.Context(), "servers/"+i.ID(), 0) != gypsumyard.ErrUnavailable {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}
