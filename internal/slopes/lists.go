package slopes

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/gypsumyard/gypsumyard/internal/planlist"
)

// The measures of the lists.
const (
	ApplyCPU     Measure = "cpu us/object applied"
	LookUpCPU    Measure = "cpu us/database looked up"
	ReconcileCPU Measure = "cpu us/owners of all"
	CompareCPU   Measure = "cpu us/comparison"
	ObjectBytes  Measure = "bytes of all objects"
)

func listExperiments() []Experiment {
	return []Experiment{
		{
			Name: "list-databases", Item: "databases", Sizes: []int{1400, 5600, 14000},
			About: "databases of the catalog in a host's copy; one object of 64 is applied; the owners of those of the host's region, a sixth, are found as after each change",
			run: func(ctx context.Context, _ *env, n int) (Sample, error) {
				return measureListCopy(ctx, planlist.Databases, n, databaseEntry)
			},
		},
		{
			Name: "list-customers", Item: "customers", Sizes: []int{2500, 10000, 40000},
			About: "customers in a host's copy; one object of 256 is applied",
			run: func(ctx context.Context, _ *env, n int) (Sample, error) {
				return measureListCopy(ctx, planlist.Customers, n, customerEntry)
			},
		},
		{
			Name: "list-push", Item: "objects/s", Sizes: []int{50, 200, 800},
			About: "pushes of an object of 10 KB to one peer, both hosts together, without the peer's copy",
			run:   measurePushes,
		},
	}
}

// regions is the number of regions of the target.
const regions = 6

func databaseEntry(i int) (string, any) {
	region := "pilbara"
	if i%regions > 0 {
		region = fmt.Sprintf("region-%d", i%regions)
	}
	d := gypsumyard.Database{
		Name: fmt.Sprintf("appraisal-field-%05d", i), Region: region, Slots: slotsPerInstance, Connections: 35,
		User: "gypsumyard", Password: "a-password-of-24-letters",
	}
	for j := range instancesPerDatabase {
		d.Instances = append(d.Instances, gypsumyard.Upstream{
			Name:          fmt.Sprintf("%s-%d", d.Name, j),
			Addr:          netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(j), byte(i >> 8), byte(i)}), 5432),
			FailureDomain: fmt.Sprintf("pilbara-%c", 'a'+j),
		})
	}
	return d.Name, d
}

func customerEntry(i int) (string, any) {
	c := gypsumyard.Customer{Name: fmt.Sprintf("customer-%05d", i), Plan: planName, Databases: []string{fmt.Sprintf("appraisal-field-%05d", i%14000)}}
	verifier := "SCRAM-SHA-256$4096:MDEyMzQ1Njc4OWFiY2RlZg==$MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY=:MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY="
	c.Logins = []gypsumyard.Login{{Name: loginName, Verifier: verifier}}
	return c.Name, c
}

// listObjects returns n entries encoded as objects of the store, and the names
// of the entries.
func listObjects(k planlist.Kind, n int, entry func(i int) (string, any)) (objects []gypsumyard.Object, names []string, err error) {
	entries := map[string]map[string]planlist.Entry{}
	for i := range n {
		name, v := entry(i)
		value, err := json.Marshal(v)
		if err != nil {
			return nil, nil, err
		}
		object := planlist.ObjectName(k, name)
		if entries[object] == nil {
			entries[object] = map[string]planlist.Entry{}
		}
		entries[object][name] = planlist.Entry{Version: 1, Operation: fmt.Sprintf("operation-%08d", i), Value: value}
		names = append(names, name)
	}
	for object, e := range entries {
		value, err := json.Marshal(map[string]any{"entries": e, "operations": []string{}, "edits": len(e)})
		if err != nil {
			return nil, nil, err
		}
		objects = append(objects, gypsumyard.Object{Name: object, Version: 1, Value: value})
	}
	return objects, names, nil
}

// An unavailableStore is a store that is down, so that lists are only filled by
// Apply.
type unavailableStore struct{ fakeService }

func (unavailableStore) Get(context.Context, string) (o gypsumyard.Object, err error) {
	return o, gypsumyard.ErrUnavailable
}
func (unavailableStore) List(context.Context, string) ([]gypsumyard.Object, gypsumyard.Version, error) {
	return nil, 0, gypsumyard.ErrUnavailable
}
func (unavailableStore) Put(context.Context, string, gypsumyard.Version, []byte) (gypsumyard.Version, error) {
	return 0, gypsumyard.ErrUnavailable
}
func (unavailableStore) Delete(context.Context, string, gypsumyard.Version) error {
	return gypsumyard.ErrUnavailable
}
func (unavailableStore) Watch(context.Context, string, gypsumyard.Version) ([]gypsumyard.Object, gypsumyard.Version, error) {
	return nil, 0, gypsumyard.ErrUnavailable
}

// measureListCopy measures a host's copy of n entries of a list. For databases it
// also measures the look-up of their owners among the 720 hosts of a region.
func measureListCopy(ctx context.Context, k planlist.Kind, n int, entry func(i int) (string, any)) (sample Sample, err error) {
	objects, names, err := listObjects(k, n, entry)
	if err != nil {
		return nil, err
	}
	s := planlist.New(planlist.WithLogger(discardLogger().WithField("service", "lists")))
	kern, err := kernel.New(s, unavailableStore{"platform"}, singleHost{"members"})
	if err != nil {
		return nil, err
	}
	if err := kern.Start(ctx); err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, stopKernel(kern)) }()
	before := readMemory()
	if n := s.Apply(objects); n != len(objects) {
		return nil, fmt.Errorf("%d of %d objects applied", n, len(objects))
	}
	// The copy retains the values, which were allocated before the first
	// reading.
	sample = Sample{Heap: readMemory().since(before).heap + size(objects), ObjectBytes: size(objects)}
	const rounds = 50
	sample[ApplyCPU] = cpuPerCall(rounds, func(i int) {
		o := objects[i%len(objects)]
		o.Version += gypsumyard.Version(i) + 1
		s.Apply([]gypsumyard.Object{o})
	})
	const comparisons = 2000
	sample[CompareCPU] = cpuPerCall(comparisons, func(int) { s.Newer(1 << 20) })
	if k == planlist.Databases {
		err = measureOwnerLookups(ctx, s, names, sample)
	}
	return sample, err
}

func size(objects []gypsumyard.Object) (bytes float64) {
	for _, o := range objects {
		bytes += float64(len(o.Value))
	}
	return bytes
}

// A namedLists provides the lists to another kernel under a service name.
type namedLists struct {
	fakeService
	gypsumyard.Lists
}

// measureOwnerLookups measures what a host does at each change of the membership
// view or the lists.
func measureOwnerLookups(ctx context.Context, s *planlist.Service, names []string, sample Sample) (err error) {
	hosts := hostList(720)
	m, q, stop, err := startMembers(ctx, hosts, namedLists{"lists", s})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, stop()) }()
	const lookUps = 50_000
	sample[LookUpCPU] = cpuPerCall(lookUps, func(i int) { s.Database(names[i%len(names)]) })
	now := uint64(time.Now().UnixMilli())
	const rounds = 10
	sample[ReconcileCPU] = cpuPerCall(rounds, func(i int) {
		q.handle(update(hosts[1], now+uint64(i)))
		for _, d := range s.Databases() {
			if d.Region == hosts[0].Region {
				m.Owner(d.Name)
			}
		}
	})
	return nil
}

// measurePushes measures pushing an object to a peer.
func measurePushes(ctx context.Context, _ *env, rate int) (sample Sample, err error) {
	a, others, stop, err := startPeers(ctx, 1)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, stop()) }()
	const objectBytes = 10 << 10
	o := []gypsumyard.Object{{Name: planlist.ObjectName(planlist.Customers, "loom"), Version: 1, Value: make([]byte, objectBytes)}}
	return measurePaced(float64(rate), others[0], func() error { return a.PushObjects(ctx, others[0].self, o) })
}
