// Package linehost assembles one host that serves callers over the line
// protocol on the users' platform.
package linehost
