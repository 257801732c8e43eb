// Package peer connects the hosts of the system. Between two hosts there are
// up to three streams for each direction of calling, each on a TCP connection
// of its own: Short and Bulk, which together form a link that carries requests
// and their answers, and Gossip.
//
// Requests are multiplexed by number. A frame is queued by the goroutine that
// has something to send and written by the one writer of the stream; the one
// reader of the stream hands frames on and never waits, so a slow request
// delays no other.
package peer
