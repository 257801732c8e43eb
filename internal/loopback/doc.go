// Package loopback allocates TCP ports on the loopback address for emulators,
// hosts and tests.
package loopback
