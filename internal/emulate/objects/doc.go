// Package objects emulates the HTTP API of the users' platform: its object store
// and its call for promotions.
package objects
