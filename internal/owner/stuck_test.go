package owner_test

import (
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/owner"
	"github.com/matryer/is"
)

// Guards against a replica that a promotion without a majority has fenced alone and
// that never follows the primary again, which is of a lower term.
func TestReplicaFencedAloneFollowsAgain(t *testing.T) {
	is := is.New(t)
	f := start(t, nil, withPromoter(), owner.WithConfirmTimeout(time.Second))
	f.must("s", gypsumyard.StatementWrite, insert(1))
	f.group.Instance("1").Kill()
	f.group.Instance("2").Kill()
	neverPrimary(t, f.group.Instance("3"))
	is.NoErr(f.group.Instance("1").Restart())
	is.NoErr(f.group.Instance("2").Restart())
	f.must("s", gypsumyard.StatementWrite, insert(2))
	eventually(t, "replica follows again", func() bool { return holds(f.group.Instance("3"), 2) })
}
