package sqlparse_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/emulate/sqlparse"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against statements that are split at the wrong place, such as at a
// semicolon in a string or comment, and against a cost that is taken from another
// statement's comment.
func TestStatementsAreSplit(t *testing.T) {
	is := is.New(t)
	list, err := sqlparse.Parse("select ';' /* cost=5ms */; ; -- x;\nshow \"a\" ;")
	is.NoErr(err)
	is.Equal(len(list), 2)
	is.Equal(list[0].Text, "select ';' /* cost=5ms */")
	is.Equal(list[0].Cost, 5*time.Millisecond)
	is.Equal(list[1].Cost, time.Duration(0))
}

// Guards against input on which the parser panics or returns an error that is not
// an *Error.
func TestParseNeverPanics(t *testing.T) {
	words := strings.Fields(`select insert into update delete from where set values ( ) , ; . * = < <> + - :: || $1 $0 'a' "b" 1 1.5e a
		and or not is null in between as order by limit offset returning on conflict do nothing create table if exists primary key int8
		begin commit show reset discard all deallocate cast default count /* */ -- '`)
	rapid.Check(t, func(t *rapid.T) {
		sql := strings.Join(rapid.SliceOf(rapid.SampledFrom(words)).Draw(t, "words"), " ")
		_, err := sqlparse.Parse(sql)
		var e *sqlparse.Error
		if err != nil && !errors.As(err, &e) {
			t.Fatalf("%q: %v", sql, err)
		}
	})
	_, err := sqlparse.Parse("select " + strings.Repeat("(", 1<<20))
	is.New(t).True(err != nil)
}
