// Package lineclient is a client of the line protocol for tests.
package lineclient
