package owner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/group"
	"github.com/matryer/is"
)

// Guards against a read that relies on what the owner believes of a replica: a
// poll may be wrong by the time that the read arrives, for instance after the
// replica has been replaced. The instance's own status must be checked with it.
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
