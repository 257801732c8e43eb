// Package objects emulates the users' platform over HTTP: its store of objects
// and its call that orders promotions.
package objects
