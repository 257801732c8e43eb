package caller

import (
	"context"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

// Guards against a stop that closes connections before the requests that it cancels are
// answered.
func TestStopAnswersRequests(t *testing.T) {
	is := is.New(t)
	f := start(t)
	idle, read, write := dial(t, f, ""), dial(t, f, ""), dial(t, f, "")
	f.executor.setHook(func(ctx context.Context, r *gypsumyard.Request) error {
		<-ctx.Done()
		if r.Class == gypsumyard.StatementRead {
			return gypsumyard.Errorf(gypsumyard.ClassNotRun, "no owner: %w", ctx.Err())
		}
		return gypsumyard.Errorf(gypsumyard.ClassUnknown, "no answer: %w", ctx.Err())
	})
	read.send(&pgproto3.Query{String: "select 1"})
	write.send(&pgproto3.Query{String: "insert into t"})
	eventually(t, func() bool { return f.executor.count() == 2 })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	is.NoErr(f.server.Stop(ctx))
	is.Equal(read.receive(), "E:GY001 Z:I")
	is.Equal(write.receive(), "E:GY002 Z:I")
	is.Equal(read.receive(), "E:57P01 end")
	is.Equal(write.receive(), "E:57P01 end")
	is.Equal(idle.receive(), "E:57P01 end")
}
