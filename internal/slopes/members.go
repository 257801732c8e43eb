package slopes

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/gypsumyard/gypsumyard/internal/member"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
)

const (
	ViewCPU      Measure = "cpu us/new view"
	HeartbeatCPU Measure = "cpu us/heartbeat received"
)

func memberExperiments() []Experiment {
	return []Experiment{{
		Name: "member-table", Item: "hosts", Sizes: []int{180, 720, 4300},
		About: "hosts of one region in the membership table; the new view is built after one update",
		run:   membershipTable,
	}}
}

// A fakeNetwork is the transport and the platform's host list of a membership
// table. It discards all messages that are sent.
type fakeNetwork struct {
	fakeService
	hosts  []gypsumyard.Host
	handle func(m *peerpb.Members) *peerpb.Members
}

func (q *fakeNetwork) SendMembers(gypsumyard.Host, *peerpb.Members) {}
func (q *fakeNetwork) HandleMembers(f func(m *peerpb.Members) *peerpb.Members) {
	q.handle = f
}
func (q *fakeNetwork) Hosts(context.Context) ([]gypsumyard.Host, error) { return q.hosts, nil }

// hostList returns n hosts of one region in four failure domains.
func hostList(n int) (hosts []gypsumyard.Host) {
	for i := range n {
		hosts = append(hosts, gypsumyard.Host{
			Name:          fmt.Sprintf("entry-%05d.pilbara", i),
			Addr:          netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 6433),
			Region:        "pilbara",
			FailureDomain: fmt.Sprintf("pilbara-%c", 'a'+i%4),
			State:         gypsumyard.HostLive,
		})
	}
	return hosts
}

func startMembers(ctx context.Context, hosts []gypsumyard.Host, lists gypsumyard.Lists) (s *member.Service, q *fakeNetwork, stop func() error, err error) {
	q = &fakeNetwork{fakeService: "peer", hosts: hosts}
	s = member.New(hosts[0], member.WithLogger(discardLogger()))
	platform := &fakeNetwork{fakeService: "platform", hosts: hosts}
	services := []kernel.Service{s, q, platform}
	if l, ok := lists.(kernel.Service); ok {
		services = append(services, l)
	}
	k, err := kernel.New(services...)
	if err != nil {
		return nil, nil, nil, err
	}
	if err := k.Start(ctx); err != nil {
		return nil, nil, nil, err
	}
	return s, q, func() error { return stopKernel(k) }, nil
}

func membershipTable(ctx context.Context, _ *env, n int) (sample Sample, err error) {
	hosts := hostList(n)
	before := readMemory()
	s, q, stop, err := startMembers(ctx, hosts, nil)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, stop()) }()
	s.Hosts()
	held := readMemory().since(before)
	now := uint64(time.Now().UnixMilli())
	const rounds = 50
	view := cpuPerCall(rounds, func(i int) {
		q.handle(update(hosts[1], now+uint64(i)))
		s.Hosts()
	})
	beat := &peerpb.Members{Kind: peerpb.MemberKind_HEARTBEAT, From: hosts[1].Name, Incarnation: now + rounds, Sequence: 1}
	const beats = 20_000
	received := cpuPerCall(beats, func(int) { q.handle(beat) })
	return Sample{Heap: held.heap, ViewCPU: view, HeartbeatCPU: received}, nil
}

// update returns a message with one change of a host.
func update(h gypsumyard.Host, incarnation uint64) *peerpb.Members {
	addr, _ := h.Addr.MarshalBinary() // It never fails.
	u := &peerpb.MemberUpdate{Name: h.Name, Address: addr, Region: h.Region, FailureDomain: h.FailureDomain, Incarnation: incarnation}
	return &peerpb.Members{Kind: peerpb.MemberKind_HEARTBEAT_ACK, From: h.Name, Incarnation: incarnation, Updates: []*peerpb.MemberUpdate{u}}
}

// cpuPerCall returns the mean CPU time of one call in microseconds.
func cpuPerCall(rounds int, f func(i int)) float64 {
	begin := cpuTime()
	for i := range rounds {
		f(i)
	}
	return micros(cpuTime()-begin) / float64(rounds)
}
