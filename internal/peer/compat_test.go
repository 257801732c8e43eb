package peer

import (
	"testing"

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
