package owner_test

import (
	"testing"

	"github.com/gypsumyard/gypsumyard"
	"github.com/matryer/is"
)

// Guards against incomplete answers and answers with a wrong position.
func TestWriteThenRead(t *testing.T) {
	is := is.New(t)
	f := start(t, nil)
	w := f.must("s", gypsumyard.StatementWrite, insert(1))
	is.Equal(w.text(), "INSERT 0 1")
	is.True(!w.result.Position.IsZero())
	r := request("s", gypsumyard.StatementRead, "select id, knots from rugs")
	r.Position, r.PositionKnown = w.result.Position, true
	a := f.run(r)
	is.NoErr(a.err)
	is.Equal(a.text(), "1,1;SELECT 1")
	is.Equal(f.exec("s", gypsumyard.StatementRead, "select nonsense from rugs").text(), "42703")
}
