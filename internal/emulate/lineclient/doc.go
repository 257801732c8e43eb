// Package lineclient is a caller of the line protocol for tests.
package lineclient
