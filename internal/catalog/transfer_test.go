package catalog

import (
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/matryer/is"
)

// Guards against a host that reads the store beside a transfer which ends in time, and
// against one that relies on a transfer which does not, or has stopped.
func TestTransferEndsInTime(t *testing.T) {
	is := is.New(t)
	now := clock.NewFake(time.Unix(100, 0))
	tr := &transfer{clock: now, limit: 3 * time.Second}
	is.True(!tr.endsInTime()) // There is none.

	arrive := func(after time.Duration, arrived int64) {
		now.Advance(after)
		tr.note(gypsumyard.Progress{Arrived: arrived, Size: 1000})
	}
	arrive(0, 400) // It goes on where another one stopped.
	is.True(tr.endsInTime())
	arrive(time.Second, 600) // 200 bytes a second: it ends after three seconds.
	is.True(tr.endsInTime())
	arrive(900*time.Millisecond, 700) // 158 bytes a second.
	is.True(!tr.endsInTime())
	arrive(100*time.Millisecond, 900)
	is.True(tr.endsInTime())
	now.Advance(maxTransferPause + 1)
	is.True(!tr.endsInTime())

	tr.end()
	arrive(0, 0)
	is.True(tr.endsInTime())
	tr.end()
	is.True(!tr.endsInTime())
}
