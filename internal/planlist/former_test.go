package planlist

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/matryer/is"
)

// databaseText returns the text of an entry with the instances, followed by the
// other fields.
func databaseText(fields string, instances ...string) json.RawMessage {
	var list []string
	for i, n := range instances {
		list = append(list, fmt.Sprintf(`{"name":%q,"address":"127.0.0.1:%d"}`, n, 7000+i))
	}
	return json.RawMessage(fmt.Sprintf(`{"name":"rugs","region":"north","slots":2,"connections":10,"instances":[%s],"user":"u","password":"p"%s}`, strings.Join(list, ","), fields))
}

// A databaseEditor edits the entry of one database.
type databaseEditor struct {
	*Editor
	t *testing.T
}

func newDatabaseEditor(t *testing.T) (*databaseEditor, *memoryStore) {
	store := newMemoryStore()
	return &databaseEditor{NewEditor(store, instantClock{clock.System()}), t}, store
}

func (e *databaseEditor) put(value json.RawMessage) {
	e.t.Helper()
	if _, err := e.Apply(e.t.Context(), Edit{Kind: Databases, Name: "rugs", Value: value, Expected: AnyVersion}); err != nil {
		e.t.Fatal(err)
	}
}

func (e *databaseEditor) get() (entry Entry, d gypsumyard.Database) {
	e.t.Helper()
	entry, err := e.Get(e.t.Context(), Databases, "rugs")
	if err != nil {
		e.t.Fatal(err)
	}
	if err := json.Unmarshal(entry.Value, &d); err != nil {
		e.t.Fatal(err)
	}
	return entry, d
}

// describe returns the version of the list and the former ones.
func describe(d gypsumyard.Database) string {
	out := ""
	for _, l := range d.Lists() {
		out += fmt.Sprint(l.Version, ":")
		for _, u := range l.Instances {
			out += u.Name
		}
		out += " "
	}
	return strings.TrimSpace(out)
}

// Guards against former instances that are lost by an edit, are set by the operator,
// or appear where the instances were not edited.
func TestEditRecordsFormerInstances(t *testing.T) {
	is := is.New(t)
	e, _ := newDatabaseEditor(t)
	forged := `,"former-instances":[{"list-version":0,"instances":[{"name":"x","address":"127.0.0.1:1"}]}]`
	e.put(databaseText(forged, "a", "b", "c"))
	_, d := e.get()
	is.Equal(describe(d), "0:abc")
	e.put(databaseText("", "a", "b", "c")) // version 2
	entry, _ := e.get()
	is.Equal(string(entry.Value), string(databaseText("", "a", "b", "c"))) // as at hosts without versions of lists
	e.put(databaseText("", "a", "b", "d"))
	_, d = e.get()
	is.Equal(describe(d), "3:abd 0:abc")
	e.put(databaseText(forged, "a", "b", "d")) // the same instances
	_, d = e.get()
	is.Equal(describe(d), "3:abd 0:abc")
	e.put(databaseText("", "a", "e", "d"))
	_, d = e.get()
	is.Equal(describe(d), "5:aed 3:abd 0:abc")
	e.put(databaseText(`,"list-version":90`, "a", "e", "d")) // after the store was restored
	_, d = e.get()
	is.Equal(describe(d), "90:aed 5:aed 3:abd 0:abc")
	e.put(databaseText("", "a", "e", "f"))
	_, d = e.get()
	is.Equal(describe(d), "91:aef 90:aed 5:aed 3:abd 0:abc")
}

// Guards against a version of a list that is used twice: an entry is removed and
// created again, or edited by a host that drops the fields it doesn't know.
func TestListVersionIsNotReused(t *testing.T) {
	is := is.New(t)
	e, store := newDatabaseEditor(t)
	e.put(databaseText("", "a", "b", "c"))
	e.put(databaseText("", "a", "b", "d"))
	if _, err := e.Apply(t.Context(), Edit{Kind: Databases, Name: "rugs", Expected: AnyVersion}); err != nil {
		t.Fatal(err)
	}
	e.put(databaseText("", "a", "b", "e"))
	_, d := e.get()
	is.Equal(describe(d), "4:abe")
	o, err := store.Get(t.Context(), ObjectName(Databases, "rugs"))
	is.NoErr(err)
	doc, err := decodeDocument(o.Value)
	is.NoErr(err)
	doc.set("rugs", "older-host", databaseText("", "a", "b", "f"))
	value, err := doc.encode()
	is.NoErr(err)
	_, err = store.Put(t.Context(), o.Name, o.Version, value)
	is.NoErr(err)
	_, d = e.get()
	is.Equal(describe(d), "0:abf")
	e.put(databaseText("", "a", "b", "g"))
	_, d = e.get()
	is.Equal(describe(d), "6:abg 0:abf")
}

// Guards against a removal of former instances that a later edit needs, that counts
// as an operator's edit, or that fails for good when the store's answer is lost.
func TestDropFormer(t *testing.T) {
	is := is.New(t)
	e, store := newDatabaseEditor(t)
	is.NoErr(e.DropFormer(t.Context(), "rugs", 2)) // no entry
	e.put(databaseText("", "a", "b", "c"))
	e.put(databaseText("", "a", "b", "d"))
	is.NoErr(e.DropFormer(t.Context(), "rugs", 1))
	_, d := e.get()
	is.Equal(describe(d), "2:abd 0:abc")
	store.putFaults = []fault{faultUnavailable, faultRequestLost, faultAnswerLost}
	is.True(errors.Is(e.DropFormer(t.Context(), "rugs", 2), gypsumyard.ErrUnavailable))
	is.NoErr(e.DropFormer(t.Context(), "rugs", 2))
	_, d = e.get()
	is.Equal(describe(d), "2:abd 0:abc")
	is.NoErr(e.DropFormer(t.Context(), "rugs", 2))
	entry, d := e.get()
	is.Equal(describe(d), "2:abd")
	is.Equal(entry.Version, uint64(2))
	is.NoErr(e.DropFormer(t.Context(), "rugs", 2))
	e.put(databaseText("", "a", "b", "e"))
	_, d = e.get()
	is.Equal(describe(d), "3:abe 2:abd")
}
