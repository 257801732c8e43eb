package planlist

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/gypsumyard/gypsumyard"
)

// filledCopy returns a copy with n customers and n databases of the same names,
// and these names.
func filledCopy(b *testing.B, n int) (*localCopy, []string) {
	b.Helper()
	documents := map[string]*document{}
	names := make([]string, n)
	for i := range n {
		names[i] = fmt.Sprintf("entry-%05d", i)
		for k, v := range map[Kind]any{
			Customers: gypsumyard.Customer{Name: names[i], Plan: "field", Databases: []string{names[i]}},
			Databases: gypsumyard.Database{Name: names[i], Region: "pilbara", Slots: 5, Instances: make([]gypsumyard.Upstream, 3)},
		} {
			object := ObjectName(k, names[i])
			if documents[object] == nil {
				documents[object] = &document{Entries: map[string]Entry{}}
			}
			value, err := json.Marshal(v)
			if err != nil {
				b.Fatal(err)
			}
			documents[object].set(names[i], "operation", value)
		}
	}
	c := newLocalCopy()
	for object, d := range documents {
		value, err := d.encode()
		if err != nil {
			b.Fatal(err)
		}
		if _, errs := c.apply([]gypsumyard.Object{{Name: object, Version: 1, Value: value}}); len(errs) > 0 {
			b.Fatal(errs)
		}
	}
	return c, names
}

// BenchmarkLookUp measures the lookup of a customer and of a database among
// 14,000 each.
func BenchmarkLookUp(b *testing.B) {
	c, names := filledCopy(b, 14000)
	b.Run("customer", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			c.customer(names[i%len(names)])
		}
	})
	b.Run("database", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			c.database(names[i%len(names)])
		}
	})
	b.Run("all-databases", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			c.allDatabases()
		}
	})
}

// BenchmarkApply measures decoding and storing an object of 219 databases.
func BenchmarkApply(b *testing.B) {
	c, names := filledCopy(b, 14000)
	o := c.object(ObjectName(Databases, names[0])).Object
	b.ReportAllocs()
	b.SetBytes(int64(len(o.Value)))
	for b.Loop() {
		o.Version++
		c.apply([]gypsumyard.Object{o})
	}
}
