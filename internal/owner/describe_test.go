package owner_test

import (
	"testing"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/owner"
	"github.com/matryer/is"
)

// TestDescribe guards against a status that hides an open transaction or shows
// a primary, term or position other than that of the acknowledged write.
func TestDescribe(t *testing.T) {
	is := is.New(t)
	f := start(t, nil)
	a := f.must("s1", gypsumyard.StatementWrite, insert(1))
	tx := f.must("s2", gypsumyard.StatementBegin, "begin")
	describe := func() owner.Description {
		v, ok := f.service.Describe("appraisal")
		is.True(ok)
		return v.(owner.Description)
	}
	d := describe()
	is.True(d.Owned)
	is.Equal(d.Primary, a.result.Instance)
	is.Equal(d.Term, a.result.Position.Term)
	is.Equal(d.OpenTransactions, 1)
	is.Equal(len(d.Instances), 3)
	f.runIn(tx, "s2", gypsumyard.StatementRollback, "rollback")
	is.Equal(describe().OpenTransactions, 0)
	_, ok := f.service.Describe("none")
	is.True(!ok)
}
