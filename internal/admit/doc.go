// Package admit decides when and on which instance the requests of one
// database run.
package admit
