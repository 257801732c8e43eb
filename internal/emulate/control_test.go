package emulate_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/emulate"
	"github.com/gypsumyard/gypsumyard/internal/emulate/group"
	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
)

// Guards against a control endpoint through which another process cannot inject
// faults or read the emulators' state.
func TestControlEndpoint(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	e, err := emulate.Start(emulate.WithGroup("readings", group.WithOpenDelay(0)))
	is.NoErr(err)
	defer func() { is.NoErr(e.Close(ctx)) }()
	url := "http://" + e.Control().String()
	get := func(path string) string {
		r, err := http.Get(url + path)
		is.NoErr(err)
		defer r.Body.Close()
		data, err := io.ReadAll(r.Body)
		is.NoErr(err)
		return string(data)
	}
	fault := func(body string) int {
		r, err := http.Post(url+"/faults", "application/json", strings.NewReader(body))
		is.NoErr(err)
		defer r.Body.Close()
		return r.StatusCode
	}

	c, err := pgx.Connect(ctx, fmt.Sprintf("postgres://a@%s/readings?sslmode=disable", e.Group("readings").Primary().Upstream().Addr))
	is.NoErr(err)
	_, err = c.Exec(ctx, "create table ice (sheet int4 primary key); insert into ice values (7)")
	is.NoErr(err)
	is.NoErr(c.Close(ctx))
	is.True(strings.Contains(get("/journal?group=readings&after=1"), `"statement":"insert into ice values (7)"`))
	is.Equal(get("/rows?instance=readings/primary&table=ice"), "[[7]]\n")
	is.True(strings.Contains(get("/records?instance=readings-1"), `"position":{"term":1,"offset":2}`))

	is.Equal(fault(`{"target": "readings/primary", "kind": "kill"}`), 200)
	is.Equal(fault(`{"target": "readings-2", "kind": "lag", "delay": "2s", "jitter": "1ms"}`), 200)
	is.Equal(fault(`{"target": "store", "kind": "outage"}`), 200)
	is.Equal(fault(`{"target": "store", "kind": "host", "host": {"name": "h1", "address": "127.0.0.1:1", "state": "live"}}`), 200)
	var s emulate.State
	is.NoErr(json.Unmarshal([]byte(get("/state")), &s))
	is.True(!s.Groups[0].Instances[0].Running)
	is.Equal(s.Groups[0].Instances[0].Applied.Offset, e.Groups()[0].Instance("1").Status().Applied.Offset)
	is.Equal(len(s.Store.Hosts), 1)
	is.Equal(fault(`{"target": "readings", "kind": "heal"}`), 200)
	is.True(e.Group("readings").Primary() != nil)

	is.Equal(fault(`{"target": "nobody", "kind": "kill"}`), 400)
	is.Equal(fault(`{"target": "readings", "kind": "outage"}`), 400)
	is.Equal(fault(`{"target": "readings", "kind": "kill", "wen": 1}`), 400)
}
