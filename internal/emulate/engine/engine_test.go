package engine_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/emulate/engine"
	"github.com/gypsumyard/gypsumyard/internal/emulate/sqlparse"
	"pgregory.net/rapid"
)

// session is a stub. The statements under test call none of its methods.
type session struct{ engine.Session }

func run(e *engine.Engine, tx *engine.Tx, sql string) (rows [][]engine.Value, code string) {
	list, err := sqlparse.Parse(sql)
	if err != nil {
		return nil, err.Error()
	}
	r, err := e.Execute(context.Background(), session{}, tx, list[0].Statement, nil)
	for err == nil && r.Next != nil {
		var row []engine.Value
		if row, err = r.Next(); row == nil {
			break
		}
		rows = append(rows, row)
	}
	var failure *sqlparse.Error
	if errors.As(err, &failure) {
		return nil, failure.Code
	}
	return rows, ""
}

// A model is the reference implementation of a table t (id, v): a map from id to
// v.
type model map[int64]int64

func (m model) String() string {
	s := ""
	for _, k := range slices.Sorted(maps.Keys(m)) {
		s += fmt.Sprintf("[%d %d]", k, m[k])
	}
	return s
}

// step applies a random statement to the model. It returns the statement and the
// expected SQLSTATE.
func (m model) step(t *rapid.T) (sql, code string) {
	id := rapid.Int64Range(0, 6).Draw(t, "id")
	v := rapid.Int64Range(0, 9).Draw(t, "v")
	_, exists := m[id]
	switch rapid.IntRange(0, 5).Draw(t, "statement") {
	case 0:
		if exists {
			return fmt.Sprintf("insert into t values (%d, %d)", id, v), "23505"
		}
		m[id] = v
		return fmt.Sprintf("insert into t values (%d, %d)", id, v), ""
	case 1:
		if !exists {
			m[id] = v
		}
		return fmt.Sprintf("insert into t values (%d, %d) on conflict do nothing", id, v), ""
	case 2:
		if exists {
			m[id] += v
		}
		return fmt.Sprintf("update t set v = v + %d where id = %d", v, id), ""
	case 3:
		for k := range m {
			if m[k] > v && k <= id {
				m[k] = 0
			}
		}
		return fmt.Sprintf("update t set v = 0 where v > %d and id <= %d", v, id), ""
	case 4:
		sql = fmt.Sprintf("update t set id = %d where id = %d", v, id)
		if _, taken := m[v]; exists && taken && v != id {
			return sql, "23505"
		}
		if exists {
			old := m[id]
			delete(m, id)
			m[v] = old
		}
		return sql, ""
	}
	delete(m, id)
	return fmt.Sprintf("delete from t where id = %d", id), ""
}

// Guards against wrong results of the engine's write sets, indexes and log, by
// comparison with a map, and against a replica that differs from its primary.
func TestEngineAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		e := engine.New("db", gypsumyard.RolePrimary, "", clock.System())
		replica := engine.New("db", gypsumyard.RoleReplica, "p", clock.System())
		tx := e.Begin()
		run(e, tx, "create table t (id int8 primary key, v int8)")
		if _, err := tx.Commit(ctx); err != nil {
			t.Fatal(err)
		}
		committed := model{}
		for range rapid.IntRange(1, 8).Draw(t, "transactions") {
			tx, m := e.Begin(), maps.Clone(committed)
			failed := false
			for range rapid.IntRange(1, 8).Draw(t, "statements") {
				sql, want := m.step(t)
				if _, got := run(e, tx, sql); got != want {
					t.Fatalf("%s: SQLSTATE %q, want %q", sql, got, want)
				}
				if failed = want != ""; failed {
					break
				}
				compare(t, e, tx, m)
			}
			if failed || rapid.Bool().Draw(t, "roll back") {
				tx.Rollback()
			} else if _, err := tx.Commit(ctx); err != nil {
				t.Fatal(err)
			} else {
				committed = m
			}
			compare(t, e, e.Begin(), committed)
		}
		applyTime := func(r *engine.Record) time.Time { return r.Time }
		_, sourceVersion := replica.Source()
		replica.Replicate(e.LogSnapshot(), sourceVersion, time.Now(), applyTime)
		compare(t, replica, replica.Begin(), committed)
	})
}

func compare(t *rapid.T, e *engine.Engine, tx *engine.Tx, m model) {
	rows, code := run(e, tx, "select id, v from t order by id")
	got := ""
	for _, r := range rows {
		got += fmt.Sprint(r)
	}
	if code != "" || got != m.String() {
		t.Fatalf("rows %s (SQLSTATE %q), want %s", got, code, m)
	}
}
