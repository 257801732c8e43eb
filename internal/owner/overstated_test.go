package owner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/group"
	"github.com/matryer/is"
)

// Guards against a read that relies on the owner's view of a replica. The view
// may be wrong by the time the read arrives, for example after the replica was
// replaced, so the instance's own status must be checked together with the
// read.
func TestReadChecksTheReplica(t *testing.T) {
	is := is.New(t)
	f := start(t, []group.Option{group.WithLag(20*time.Millisecond, 200*time.Millisecond)})
	for i := range 30 {
		w := f.must("s", gypsumyard.StatementWrite, insert(i))
		f.service.OverstateReplicas("appraisal", w.result.Position)
		r := request("s", gypsumyard.StatementRead, fmt.Sprintf("select id from rugs where id = %d", i))
		r.Position, r.PositionKnown = w.result.Position, true
		is.Equal(f.run(r).text(), fmt.Sprintf("%d;SELECT 1", i))
	}
}
