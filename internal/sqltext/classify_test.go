package sqltext_test

import (
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/sqltext"
	"github.com/matryer/is"
)

const (
	read  = gypsumyard.StatementRead
	write = gypsumyard.StatementWrite
)

// Guards against writes that are classified as reads and sent to replicas, and
// against common lookups that are classified as writes and sent to the primary.
func TestClass(t *testing.T) {
	for sql, want := range map[string]gypsumyard.StatementClass{
		"select 1": read,
		"SELECT count(*), max(knots) FROM rugs WHERE id IN (1,2) AND (dye = 'x')":        read,
		"select lower(a), now(), pg_catalog.upper(b) from generate_series(1, 3) as g(x)": read,
		"with r(a, b) as (select 1, 2) select * from r":                                  read,
		"select name from (values ('a', 1)) s(name, tp)":                                 read,
		"(select 1) union all (select 2)":                                                read,
		"values (1), (2)":                                                                read,
		"table rugs":                                                                     read,
		"select cast(a as numeric(10,2)), extract(year from b) from r":                   read,
		"select row_number() over (partition by a) from r window w as (order by b)":      read,
		"select sum(a) filter (where b) from r group by (c) having (count(*) > 1)":       read,
		"select 'for update', \"for update\" -- into\n":                                  read,
		"select substring(a from 1 for 3) from r":                                        read,
		"explain (analyze, costs off) select 1":                                          read,
		"show all":                                                                       read,
		"select $1::text, $tag$ insert $tag$":                                            read,
		"show transaction_read_only":                                                     write,
		"select pg_is_in_recovery()":                                                     write,
		"select * from r for update":                                                     write,
		"select * from r for no key update":                                              write,
		"select * from r for key share":                                                  write,
		"select 1 into r":                                                                write,
		"select nextval('s')":                                                            write,
		"select \"nextval\"('s')":                                                        write,
		"select audit.lower('s')":                                                        write,
		"select audit.all('s')":                                                          write,
		"select x.pg_catalog.lower('s')":                                                 write,
		"with w as (delete from r returning *) select * from w":                          write,
		"with w(a) as (insert into r values (1)) select 1":                               write,
		"explain analyze delete from r":                                                  write,
		"explain create table a as select 1":                                             write,
		"select U&\"\\006eextval\"('s')":                                                 write,
		"insert into r values (1)":                                                       write,
		"update r set a = 1":                                                             write,
		"create table r (a int)":                                                         write,
		"call f()":                                                                       write,
		"do $$ begin perform 1; end $$":                                                  write,
		"vacuum":                                                                         write,
		"select set_config('a.b', lower($1), true)":                                      write,
		"select pg_advisory_xact_lock(1)":                                                write,
		"select 'a\\' || nextval('s') || '":                                              write,
		"select E'a\\'' || nextval('s')":                                                 write,
		"select 'a' /* ' */ || nextval('s')":                                             write,
		"select /* /* */ ' */ nextval('s') -- '":                                         write,
		"savepoint a":                                                                    read,
		"rollback to savepoint a":                                                        read,
		"set transaction isolation level serializable":                                   read,
		"begin":                       gypsumyard.StatementBegin,
		"START TRANSACTION READ ONLY": gypsumyard.StatementBeginRead,
		"begin read only, isolation level serializable":    gypsumyard.StatementBegin,
		"begin isolation level repeatable read, read only": gypsumyard.StatementBeginRead,
		"end work":            gypsumyard.StatementCommit,
		"commit and no chain": gypsumyard.StatementCommit,
		"abort":               gypsumyard.StatementRollback,
	} {
		s := sqltext.Split(sql)
		if len(s) != 1 || s[0].Class != want || s[0].Kind == sqltext.KindRefused {
			t.Errorf("%s: got %d statements, class %v, kind %d, %q", sql, len(s), s[0].Class, s[0].Kind, s[0].Refusal)
		}
	}
}

// Guards against session state that leaks from one session to another over a
// shared upstream connection.
func TestRefused(t *testing.T) {
	for _, sql := range []string{
		"copy r from stdin", "prepare p as select 1", "execute p", "prepare transaction 'a'", "commit prepared 'a'",
		"listen a", "notify a", "unlisten *", "load 'x'", "create temp table r (a int)",
		"create or replace temporary view v as select 1", "create local temporary sequence s", "select 1 into temp r",
		"create table pg_temp.r (a int)", "declare c cursor with hold for select 1", "select pg_advisory_lock(1)",
		"select pg_catalog . pg_try_advisory_lock_shared(1)", "select \"pg_advisory_unlock\"(1)",
		"with w as (select set_config('a.b', 'c', false)) select * from w", "insert into r select pg_notify('a', 'b')",
		"select set_config('a.b', 'c', not true)", "select set_config('a.b', f('c', true), false)", "select set_config('a.b', 'c', $1)",
		"do $$ begin perform pg_advisory_lock(1); end $$", "do 'begin set work_mem = 1; end'",
		`do E'begin \x73et work_mem = 1; end'`, `do E'begin \163et work_mem = 1; end'`, `do E'begin \u0073et work_mem = 1; end'`,
		`do E'begin \U00000073et work_mem = 1; end'`, `do E'begin\nset work_mem = 1; end'`, `do U&'begin \0073et work_mem = 1; end'`,
		`do U&'begin \+000073et work_mem = 1; end'`, `do U&'begin !0073et work_mem = 1; end' uescape '!'`,
		`do $$ begin execute E'\x73et work_mem = 1'; end $$`, `do $$ begin execute U&'!0073et work_mem = 1' uescape '!'; end $$`,
		"do $$ begin execute 'listen a'; end $$", "set role admin", "set session authorization x", "reset role",
		"set session role x", "set role = x", "set standard_conforming_strings = off", "set names 'SJIS'",
		"set client_encoding to gbk", "commit and chain", "set x", "set x =", "set time zone interval '1' hour",
		"set x = 1 2", "reset a b", "set local gypsumyard.priority = on", "set \"ROLE\" = x",
	} {
		if s := sqltext.Split(sql); s[0].Kind != sqltext.KindRefused || s[0].Refusal == "" {
			t.Errorf("%s: not refused: kind %d, class %s", sql, s[0].Kind, s[0].Class)
		}
	}
}

// Guards against settings that are applied to upstream connections with another
// name or value than the session has set.
func TestSet(t *testing.T) {
	for sql, want := range map[string]sqltext.Statement{
		"SET Work_Mem = '4MB'":                                 {Name: "work_mem", Value: "4MB", LocalText: "SET LOCAL Work_Mem = '4MB'"},
		"set session a.b to -1.5 -- c":                         {Name: "a.b", Value: "-1.5", LocalText: "SET LOCAL a.b to -1.5 -- c"},
		"set search_path = A, \"B c\", 'd', $x$e$x$":           {Name: "search_path", Value: `a, "B c", d, e`, LocalText: "SET LOCAL search_path = A, \"B c\", 'd', $x$e$x$"},
		"set datestyle = iso, dmy":                             {Name: "datestyle", Value: "iso, dmy", LocalText: "SET LOCAL datestyle = iso, dmy"},
		"set time zone 'Europe/Oslo'":                          {Name: "timezone", Value: "Europe/Oslo", LocalText: "SET LOCAL time zone 'Europe/Oslo'"},
		"set time zone default":                                {Name: "timezone", Default: true, LocalText: "SET LOCAL time zone default"},
		"set names 'UTF8'":                                     {Name: "client_encoding", Value: "UTF8", LocalText: "SET LOCAL names 'UTF8'"},
		"set session characteristics as transaction read only": {Name: "default_transaction_read_only", Value: "on", LocalText: "SET LOCAL default_transaction_read_only = 'on'"},
		"set session characteristics as transaction isolation level repeatable read": {Name: "default_transaction_isolation", Value: "repeatable read", LocalText: "SET LOCAL default_transaction_isolation = 'repeatable read'"},
		"reset work_mem -- x":                          {Name: "work_mem", Default: true, Reset: true, LocalText: "SET LOCAL work_mem TO DEFAULT"},
		"/* a */ set gypsumyard.max_staleness to '5s'": {Name: "gypsumyard.max_staleness", Value: "5s", LocalText: "SET LOCAL gypsumyard.max_staleness to '5s'"},
	} {
		s := sqltext.Split(sql)[0]
		got := sqltext.Statement{Name: s.Name, Value: s.Value, Default: s.Default, Reset: s.Reset, LocalText: s.LocalText}
		if s.Kind != sqltext.KindSet || got != want {
			t.Errorf("%s:\n got kind %d %+v\nwant %+v", sql, s.Kind, got, want)
		}
	}
}

// Guards against a request that is retried although a comment marks it as not
// repeatable, and against mistyped marks that are ignored.
func TestMarks(t *testing.T) {
	is := is.New(t)
	s := sqltext.Split("insert into r values (1) /* gypsumyard: not-repeatable, priority */; select 1 -- gypsumyard: long, max-staleness=30s\n")
	is.Equal(len(s), 2)
	is.True(s[0].Marks.NotRepeatable && s[0].Marks.Priority && !s[0].Marks.Long)
	is.True(!s[1].Marks.NotRepeatable && s[1].Marks.Long && *s[1].Marks.MaxStaleness == 30*time.Second)
	is.True(sqltext.Split("select 1 /* gypsumyard: not_repeatable */")[0].MarkError != nil)
	is.True(!sqltext.Split("select '/* gypsumyard: long */'")[0].Marks.Long)
}

// Guards against run times that are learned for each literal separately, or
// jointly for different statements.
func TestShape(t *testing.T) {
	is := is.New(t)
	shape := func(sql string) uint64 { return sqltext.Split(sql)[0].Shape }
	a := shape("select * from r where id in (1, 2) and b = 'x'")
	is.Equal(a, shape("SELECT  * /* c */ FROM r WHERE id IN ($1,3,4,5) AND b = $$y$$ -- d"))
	is.True(a != shape("select * from s where id in (1, 2) and b = 'x'"))
	is.True(shape(`select "a"`) != shape(`select 'a'`))
	is.True(shape("select 1, a") != shape("select 1 a"))
}
