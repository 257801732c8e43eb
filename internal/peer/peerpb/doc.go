// Package peerpb holds the messages that hosts exchange. The code is generated
// from peer.proto by generate.sh.
package peerpb
