// Package linehost assembles a host that serves callers over the line protocol
// and runs on the users' platform.
package linehost
