package lineowner

import (
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/linegroup"
	"github.com/matryer/is"
)

// A splitFixture is a group whose primary one host reaches and another host, which
// holds an election, does not.
type splitFixture struct {
	*fixture
	near, far *hostFixture
	replicas  []*linegroup.Instance
}

// newSplitFixture returns once the far host has ordered a promotion, which takes
// effect later.
func newSplitFixture(t *testing.T) *splitFixture {
	t.Helper()
	is := is.New(t)
	f := &splitFixture{fixture: newFixture(t, 3, linegroup.WithPromotionDelay(800*time.Millisecond))}
	all := f.group.Instances()
	f.replicas = all[1:]
	f.near = f.addHost("host-near", nil)
	_, err := f.write(f.near, "WRITE a 1")
	is.NoErr(err)
	time.Sleep(electionSpan)
	unreached := f.deadAddr()
	f.far = f.startHost("host-far", func() []gypsumyard.ListedInstance {
		l := listOf(all)()
		l[0].Addr = unreached
		return l
	}, nil, nil)
	f.eventually("a promotion order", func() bool { return len(f.far.promoter.sent()) > 0 })
	return f
}

// writeMeanwhile writes through the near host until the promotion has taken effect,
// and checks that no acknowledged commit is lost.
func (f *splitFixture) writeMeanwhile() {
	f.t.Helper()
	acknowledged := map[gypsumyard.Position]bool{}
	old := f.group.Instances()[0]
	end := time.Now().Add(5 * time.Second)
	for f.group.Primary() == old && time.Now().Before(end) {
		_, res, err := f.run(f.near, statement{text: "WRITE a 2", class: gypsumyard.StatementWrite, timeout: 300 * time.Millisecond})
		if err == nil {
			acknowledged[res.Position] = true
		}
	}
	for p := range acknowledged {
		if !f.group.Primary().Contains(p) {
			f.t.Fatalf("acknowledged commit %v is lost", p)
		}
	}
}

// Guards against a lost commit when a fenced replica restarts, which ends its fence,
// before the promotion takes effect: it receives commits of the old primary again.
func TestFencedReplicaRestartsBeforePromotion(t *testing.T) {
	f := newSplitFixture(t)
	f.replicas[1].Restart()
	f.near.lists.change()
	f.writeMeanwhile()
}

// Guards against a lost commit when an instance is added that the host with the
// election does not count: it receives commits of the old primary.
func TestInstanceIsAddedBeforePromotion(t *testing.T) {
	is := is.New(t)
	f := newSplitFixture(t)
	_, err := f.group.Add()
	is.NoErr(err)
	f.near.lists.change()
	f.writeMeanwhile()
}

// Guards against passing on the acknowledgement of a commit that waited at the old
// primary until a fenced replica restarted.
func TestCommitWaitsForRestartedReplica(t *testing.T) {
	f := newSplitFixture(t)
	ended := make(chan error, 1)
	go func() {
		_, _, err := f.runConcurrently(f.near, statement{text: "WRITE a 2", class: gypsumyard.StatementWrite, timeout: 3 * time.Second})
		ended <- err
	}()
	time.Sleep(100 * time.Millisecond)
	f.replicas[1].Restart()
	if err := <-ended; err == nil {
		f.eventually("the promotion", func() bool { return f.group.Primary() != f.group.Instances()[0] })
		f.nothingLost()
	}
}
