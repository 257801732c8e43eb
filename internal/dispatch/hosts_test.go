package dispatch_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/dispatch"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/gypsumyard/gypsumyard/internal/member"
	"github.com/gypsumyard/gypsumyard/internal/peer"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// platform is a gypsumyard.HostLister of all hosts.
type platform struct {
	stubService
	hosts []gypsumyard.Host
}

func (p platform) Hosts(context.Context) ([]gypsumyard.Host, error) { return p.hosts, nil }

// lists is a gypsumyard.Lists that contains every database name.
type lists struct{ stubService }

func (lists) Ready() <-chan struct{}                           { return nil }
func (lists) Customer(string) (c gypsumyard.Customer, ok bool) { return }
func (lists) Plan(string) (p gypsumyard.Plan, ok bool)         { return }
func (lists) Databases() []gypsumyard.Database                 { return nil }
func (lists) Versions() map[string]gypsumyard.Version          { return nil }
func (lists) Changes() <-chan struct{}                         { return nil }

func (lists) Database(name string) (gypsumyard.Database, bool) {
	return gypsumyard.Database{Name: name, Region: "r"}, true
}

// realOwner answers with the host's name if the host owns the database.
type realOwner struct {
	stubService
	host    string
	members *member.Service
}

func (o *realOwner) Execute(_ context.Context, r *gypsumyard.Request, sink gypsumyard.ResponseSink) (gypsumyard.Result, error) {
	if h, ok := o.members.Owner(r.Database); !ok || h.Name != o.host {
		return gypsumyard.Result{}, gypsumyard.Errorf(gypsumyard.ClassNotOwner, "owner is %s", h.Name)
	}
	_, err := io.WriteString(sink, o.host)
	return gypsumyard.Result{Owner: o.host}, err
}

func (o *realOwner) Abandon(context.Context, *gypsumyard.Request) error         { return nil }
func (o *realOwner) CancelStatement(context.Context, *gypsumyard.Request) error { return nil }
func (o *realOwner) AcceptRelease(string, string)                               {}

func (o *realOwner) ProbeInstance(context.Context, string, string) (gypsumyard.InstanceStatus, error) {
	return gypsumyard.InstanceStatus{}, nil
}

// A process is one host with the services under test.
type process struct {
	kernel   *kernel.Kernel
	members  *member.Service
	dispatch *dispatch.Service
	stop     func()
}

func startProcesses(t *testing.T, n int) (processes []*process) {
	t.Helper()
	var hosts []gypsumyard.Host
	var listeners []net.Listener
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		hosts = append(hosts, gypsumyard.Host{Name: fmt.Sprint("h", i), Addr: l.Addr().(*net.TCPAddr).AddrPort(), Region: "r", State: gypsumyard.HostLive})
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i, h := range hosts {
		p := &process{members: member.New(h, member.WithLogger(log)), dispatch: dispatch.New(dispatch.WithLogger(log))}
		b := func(name string) stubService { return stubService{name, make(chan struct{})} }
		k, err := kernel.New(
			peer.New(h, []byte("secret"), peer.WithListener(listeners[i]), peer.WithLogger(log)),
			p.members, p.dispatch, platform{b("platform"), hosts}, lists{b("lists")},
			&realOwner{b("owner"), h.Name, p.members},
		)
		if err != nil {
			t.Fatal(err)
		}
		if err := k.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		p.kernel = k
		p.stop = sync.OnceFunc(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			if err := k.Stop(ctx); err != nil {
				t.Errorf("stop %s: %v", h.Name, err)
			}
		})
		t.Cleanup(p.stop)
		processes = append(processes, p)
	}
	return processes
}

// Guards against services that do not work together: requests must reach the owner
// from every host, and the next owner when the owner fails or leaves.
func TestHostsTogether(t *testing.T) {
	is := is.New(t)
	ps := startProcesses(t, 4)
	execute := func(p *process, database string) string {
		var sink bytes.Buffer
		r := gypsumyard.Request{Database: database, Class: gypsumyard.StatementRead, Repeatable: true}
		res, err := p.dispatch.Execute(t.Context(), &r, &sink)
		is.NoErr(err)
		is.Equal(res.Owner, sink.String())
		return res.Owner
	}
	for _, p := range ps {
		for _, ok := p.members.FreshSince(); !ok; _, ok = p.members.FreshSince() {
			time.Sleep(10 * time.Millisecond)
		}
	}
	before := map[string]string{}
	for i := range 20 {
		db := fmt.Sprint("db", i)
		before[db] = execute(ps[0], db)
		for _, p := range ps {
			is.Equal(execute(p, db), before[db])
		}
	}
	ps[1].members.Announce(gypsumyard.HostLeaving)
	ps[3].stop()
	began := time.Now()
	for db, old := range before {
		for _, p := range ps[:3] {
			now := execute(p, db)
			is.True(now != "h1" && now != "h3")
			is.True(now == old || old == "h1" || old == "h3")
		}
	}
	t.Logf("all databases served %s after a host died", time.Since(began))
}
