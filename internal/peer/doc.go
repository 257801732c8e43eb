// Package peer connects the hosts of the system. A host opens up to three streams
// to another host, each on its own TCP connection: Short and Bulk, which together
// form a link that carries requests and their answers, and Gossip.
//
// Requests are multiplexed over a link by ID. Each stream has one writer
// goroutine, which sends the frames that other goroutines queue, and one reader
// goroutine, which dispatches received frames and never blocks, so that a slow
// request does not delay others.
package peer
