// Package clock provides the system clock, a clock that advances while the
// machine is suspended, and a fake clock for tests.
package clock
