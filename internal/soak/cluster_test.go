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
	// The names and staleness bounds of the routes.
	routePrimary     = "orders"
	routeBounded     = "readings"
	routeSession     = "logs"
	boundedStaleness = 1500 * time.Millisecond
	sessionStaleness = 2500 * time.Millisecond
	// gracePeriod is the value of the hosts' setting bounds.gracePeriodS.
	gracePeriod = 6 * time.Second
	// portsPerHost is how many addresses a host listens on.
	portsPerHost = 4
)

// A cluster consists of hosts, a group of instances and a platform.
type cluster struct {
	t      *testing.T
	dir    string
	store  *memstore.Store
	server *objects.Server
	group  *linegroup.Group
	hosts  []*process

	// writing serializes the operator's writes and the instances' rewriting.
	writing sync.Mutex
	desired objects.DesiredState
	// withdrawn indicates that the key of revokedClient is withdrawn.
	withdrawn bool
	history   *history

	mu        sync.Mutex
	instances map[string]*proxy
	// lost holds when the instances that have crashed for good did, by ID.
	lost map[string]time.Time
	// acceptedLosses holds the data of acknowledged writes that only instances had whose
	// loss the operator has accepted.
	acceptedLosses map[string]bool
	// waits are the elections that waited at the end.
	waits []*wait
	// isolated indicates that the hosts do not know each other.
	isolated bool
	// generations maps the generation of each promotion order to its holder.
	generations    map[uint64]string
	lastGeneration uint64
	violations     []string
}

// A process is a host in a separate process.
type process struct {
	name     string
	settings string
	log      string
	callers  netip.AddrPort
	metrics  netip.AddrPort
	store    *proxy

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// newCluster starts the hosts. With eras the store reports its era.
func newCluster(t *testing.T, h *history, hosts int, isolated, eras bool) *cluster {
	t.Helper()
	// Isolated hosts are in different regions and do not know each other, so
	// that each of them owns the group.
	cl := &cluster{
		t: t, dir: t.TempDir(), store: memstore.New(), instances: map[string]*proxy{}, lost: map[string]time.Time{}, acceptedLosses: map[string]bool{},
		isolated:    isolated,
		generations: map[uint64]string{}, history: h,
	}
	if eras {
		cl.store.SetEra(1)
	}
	var err error
	cl.group, err = linegroup.New(groupName, 3, linegroup.WithLag(20*time.Millisecond), linegroup.WithServiceTime(time.Millisecond),
		linegroup.WithPromotionDelay(200*time.Millisecond), linegroup.WithConnections(40))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cl.group.Close)
	cl.group.Observe(h.noteExecution)
	cl.server, err = objects.Start(cl.store, cl.promote)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cl.server.Close)
	cl.setDesiredState()
	for _, i := range cl.group.Instances() {
		cl.registerInstance(i)
	}
	var ports []netip.AddrPort
	for range portsPerHost * hosts {
		a, err := loopback.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		ports = append(ports, a)
	}
	var seeds []string
	for n := range hosts {
		seeds = append(seeds, ports[portsPerHost*n].String())
	}
	for n := range hosts {
		region := "region"
		if isolated {
			region = fmt.Sprintf("region-%d", n)
		}
		cl.hosts = append(cl.hosts, cl.newProcess(n, region, ports[portsPerHost*n:portsPerHost*(n+1)], seeds))
	}
	return cl
}

func (cl *cluster) newProcess(n int, region string, ports []netip.AddrPort, seeds []string) *process {
	p, err := newProxy(cl.server.Addr())
	if err != nil {
		cl.t.Fatal(err)
	}
	cl.t.Cleanup(p.close)
	h := &process{name: fmt.Sprintf("host-%d", n+1), callers: ports[1], metrics: ports[3], store: p}
	h.settings, h.log = filepath.Join(cl.dir, h.name+".conf"), filepath.Join(cl.dir, h.name+".log")
	text := strings.Join([]string{
		"nodeName=" + h.name, "zone=zone-" + h.name, "region=" + region,
		"listenAddresses.controlPlane=" + ports[0].String(), "listenAddresses.frontend=" + ports[1].String(),
		"listenAddresses.readiness=" + ports[2].String(), "seedNodes=" + strings.Join(seeds[:min(3, len(seeds))], ","),
		"bounds.strictRevocation=true", "bounds.revokeTimeoutMs=" + fmt.Sprint(revokeTimeout.Milliseconds()),
		"limits.memoryMb=284", "limits.fileDescriptors=4200", "bounds.gracePeriodS=" + fmt.Sprint(int(gracePeriod.Seconds())),
		"platform.address=" + p.addr().String(), "cloudApi.address=" + p.addr().String(),
	}, "\n")
	if err := os.WriteFile(h.settings, []byte(text+"\n"), 0o600); err != nil {
		cl.t.Fatal(err)
	}
	cl.start(h)
	cl.t.Cleanup(h.kill)
	return h
}

// start starts the host's process.
func (cl *cluster) start(h *process) {
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cl.t.Error(err)
		return
	}
	defer out.Close()
	cmd := exec.Command(hostBinary, "--metrics-port", fmt.Sprint(h.metrics.Port()))
	cmd.Env = append(os.Environ(), "GYPSUMYARD_SETTINGS="+h.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		cl.t.Error(err)
		return
	}
	done := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.done = cmd, done
	h.mu.Unlock()
	go func() {
		_ = cmd.Wait() // Tests kill the process on purpose.
		close(done)
	}()
}

// signal sends a signal to the host's process.
func (h *process) signal(s os.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Signal(s) // The process may have exited.
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

// registerInstance writes the registry entry of an instance, with the address of
// a new proxy in front of it.
func (cl *cluster) registerInstance(i *linegroup.Instance) {
	p, err := newProxy(i.Addr())
	if err != nil {
		cl.t.Error(err)
		return
	}
	cl.t.Cleanup(p.close)
	cl.mu.Lock()
	cl.instances[i.ID()] = p
	cl.mu.Unlock()
	cl.putEntry(i)
}

// putEntry writes the registry entry of an instance.
func (cl *cluster) putEntry(i *linegroup.Instance) {
	l := i.Listed()
	l.FailureDomain = "zone-host-1"
	if err := objects.PutInstance(cl.t.Context(), cl.store, l, cl.proxyOf(i).addr(), objects.StateReady); err != nil {
		cl.t.Error(err)
	}
}

// proxyOf returns the proxy of an instance.
func (cl *cluster) proxyOf(i *linegroup.Instance) *proxy {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.instances[i.ID()]
}

// setDesiredState writes the next version of the desired state.
func (cl *cluster) setDesiredState() {
	cl.writing.Lock()
	defer cl.writing.Unlock()
	version := cl.desired.Version + 3
	route := func(name, kind string, age time.Duration) objects.Route {
		return objects.Route{
			Name: "r-" + name, Host: name, Kind: kind, TimeoutMs: int64(1000 + version), TargetLatencyMs: 200, Priority: 1,
			Service: groupName, MaxStalenessMs: age.Milliseconds(),
		}
	}
	cl.desired = objects.DesiredState{
		Version: version,
		Routes: []objects.Route{
			route(routePrimary, objects.KindPrimary, 0), route(routeBounded, objects.KindBounded, boundedStaleness),
			route(routeSession, objects.KindSession, sessionStaleness),
		},
		Services: []objects.Service{{Name: groupName, ConnectionLimit: 40, SyncReplicas: 1}},
		Limits:   objects.Limits{TransactionIdleMs: 3000},
		Tenants:  tenants(cl.withdrawn),
	}
	cl.writeDesired(false)
}

// writeDesired writes the desired state, which the store may have lost by a restore. The
// caller must hold cl.writing.
func (cl *cluster) writeDesired(restored bool) {
	if err := objects.SetDesiredState(cl.t.Context(), cl.store, cl.desired); err != nil {
		cl.t.Error(err)
	}
	if cl.withdrawn {
		cl.history.noteRevoked(restored)
	}
}

// promote carries out a promotion order and checks that its generation is not
// used by two holders and does not decrease.
func (cl *cluster) promote(o objects.PromotionOrder) error {
	cl.mu.Lock()
	if holder, ok := cl.generations[o.Generation]; ok && holder != o.Holder {
		cl.violations = append(cl.violations, fmt.Sprintf("generation %d is used by both %s and %s", o.Generation, holder, o.Holder))
	}
	if o.Generation < cl.lastGeneration {
		cl.violations = append(cl.violations, fmt.Sprintf("generation %d of %s is lower than the earlier %d", o.Generation, o.Holder, cl.lastGeneration))
	}
	cl.generations[o.Generation], cl.lastGeneration = o.Holder, max(cl.lastGeneration, o.Generation)
	cl.mu.Unlock()
	return cl.group.Promote(o.ID)
}

// replaceInstance crashes an instance permanently and starts another one.
func (cl *cluster) replaceInstance(i *linegroup.Instance) {
	i.Crash()
	cl.proxyOf(i).refuse()
	cl.mu.Lock()
	if cl.lost[i.ID()].IsZero() {
		cl.lost[i.ID()] = time.Now()
	}
	cl.mu.Unlock()
	time.Sleep(time.Second)
	n, err := cl.group.Add()
	if err != nil {
		cl.t.Error(err)
		return
	}
	cl.registerInstance(n)
	time.Sleep(2 * time.Second)
	for range 100 {
		if cl.store.Delete(cl.t.Context(), "servers/"+i.ID(), 0) != gypsumyard.ErrUnavailable {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}
