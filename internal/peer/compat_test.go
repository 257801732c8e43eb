package peer

import (
	"errors"
	"math"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// objectWithoutEra is object "config/main" of version 1207 as hosts encoded it before
// the introduction of eras.
var objectWithoutEra = []byte("\x0a\x0bconfig/main\x10\xb7\x09\x1a\x02{}")

// Guards against hosts before the introduction of eras that cannot read what this one
// sends, or the other way round. They see versions within the era.
func TestObjectsOfHostsWithoutEras(t *testing.T) {
	is := is.New(t)
	var p peerpb.Object
	is.NoErr(proto.Unmarshal(objectWithoutEra, &p))
	o := decodeObject(&p)
	is.Equal(o, gypsumyard.Object{Name: "config/main", Version: 1207, Value: []byte("{}")})
	sent, err := proto.MarshalOptions{Deterministic: true}.Marshal(encodeObject(o))
	is.NoErr(err)
	is.Equal(sent, objectWithoutEra)
	o.Version = gypsumyard.NewVersion(3, 1207)
	sent, err = proto.MarshalOptions{Deterministic: true}.Marshal(encodeObject(o))
	is.NoErr(err)
	is.Equal(sent[:len(objectWithoutEra)], objectWithoutEra) // The era follows.
	is.NoErr(proto.Unmarshal(sent, &p))
	is.Equal(decodeObject(&p), o)
}

// Guards against an era from the network that a version cannot hold and that would
// hide all real ones.
func TestImpossibleEraIsIgnored(t *testing.T) {
	is := is.New(t)
	is.Equal(decodeVersion(uint32(gypsumyard.MaxEra), 5), gypsumyard.NewVersion(gypsumyard.MaxEra, 5))
	is.Equal(decodeVersion(uint32(gypsumyard.MaxEra)+1, 5), gypsumyard.Version(0))
}

// Guards against a host that states no age of its proof, as those before its introduction
// do, and is taken for one that has just read the store.
func TestProofAge(t *testing.T) {
	is := is.New(t)
	for _, ns := range []int64{0, -1, math.MinInt64} {
		_, proven := decodeProofAge(ns)
		is.True(!proven)
	}
	is.Equal(encodeProofAge(0, false), int64(0))
	is.Equal(encodeProofAge(time.Second, false), int64(0))
	for _, age := range []time.Duration{0, 1, time.Hour} {
		got, proven := decodeProofAge(encodeProofAge(age, true))
		is.True(proven)
		is.Equal(got, age)
	}
	sent, err := proto.Marshal(&peerpb.Reply{Last: true, ProofAgeNs: encodeProofAge(0, false)})
	is.NoErr(err)
	is.Equal(sent, []byte{0x20, 1}) // As from a host that does not know the field.
}

// Guards against an owner's rejection of a key that is taken for something else, or for
// final, after the hop between hosts.
func TestRejectedKeyBetweenHosts(t *testing.T) {
	is := is.New(t)
	for _, after := range []time.Duration{0, time.Second} {
		sent := &gypsumyard.Error{Class: gypsumyard.ClassAuth, Message: "no such key", RetryAfter: after}
		b, err := proto.Marshal(encodeError(sent))
		is.NoErr(err)
		var p peerpb.Error
		is.NoErr(proto.Unmarshal(b, &p))
		var got *gypsumyard.Error
		is.True(errors.As(decodeError(&p), &got))
		is.Equal(got, sent)
	}
}
