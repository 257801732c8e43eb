// Package clock provides the system clock and a fake clock for tests.
package clock
