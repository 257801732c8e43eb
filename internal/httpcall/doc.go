// Package httpcall makes HTTP calls with JSON bodies. The error of a failed
// call tells whether the call may have taken effect.
package httpcall
