// Package linegroup emulates a database group that speaks the line protocol: a
// primary and its replicas on loopback ports, with asynchronous apply,
// synchronous receipt, holds, promotions and faults that tests inject.
package linegroup
