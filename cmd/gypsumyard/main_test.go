package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/loopback"
	"github.com/jackc/pgx/v5"
	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"gypsumyard": func() { os.Exit(run(os.Args)) },
	})
}

// TestScript runs the command line in separate processes.
func TestScript(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"freeports": freePorts,
			"envsubst":  substitute,
			"sql":       runSQL,
		},
	})
}

// freePorts sets each named variable to a loopback address with a free port.
func freePorts(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		a, err := loopback.FreeAddress()
		ts.Check(err)
		ts.Setenv(name, a.String())
	}
}

// substitute implements the script command "envsubst TEMPLATE FILE ARG...". It
// writes FILE from TEMPLATE, replacing $1 and so on by the arguments and other
// variables by those of the environment.
func substitute(ts *testscript.TestScript, _ bool, args []string) {
	text := os.Expand(ts.ReadFile(args[0]), func(name string) string {
		var n int
		if _, err := fmt.Sscan(name, &n); err == nil {
			return args[n+1]
		}
		return ts.Getenv(name)
	})
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(text), 0o600))
}

// sqlTimeout limits the wait until a host admits callers and answers.
const sqlTimeout = 20 * time.Second

// runSQL implements the script command
// "sql ADDRESS DATABASE LOGIN@CUSTOMER STATEMENT". It writes the rows to the
// script's standard output, and retries while the host does not admit callers.
func runSQL(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 4 {
		ts.Fatalf("usage: sql ADDRESS DATABASE LOGIN@CUSTOMER STATEMENT")
	}
	ctx, cancel := context.WithTimeout(context.Background(), sqlTimeout)
	defer cancel()
	login, _, _ := strings.Cut(args[2], "@")
	url := fmt.Sprintf("postgres://%s:%s@%s/%s", strings.Replace(args[2], "@", "%40", 1), login, args[0], args[1])
	conn, err := pgx.Connect(ctx, url)
	for err != nil && ctx.Err() == nil && !neg {
		time.Sleep(50 * time.Millisecond)
		conn, err = pgx.Connect(ctx, url)
	}
	if err == nil {
		defer conn.Close(ctx)
		var rows pgx.Rows
		if rows, err = conn.Query(ctx, args[3]); err == nil {
			err = writeRows(ts, rows)
		}
	}
	if (err != nil) != neg {
		ts.Fatalf("sql %v: %v", args, err)
	}
	if err != nil {
		fmt.Fprintln(ts.Stdout(), err)
	}
}

func writeRows(ts *testscript.TestScript, rows pgx.Rows) error {
	defer rows.Close()
	for rows.Next() {
		values, err := rows.Values()
		if err != nil {
			return err
		}
		fmt.Fprintln(ts.Stdout(), values...)
	}
	return rows.Err()
}
