// Package httpcall makes calls with JSON bodies and tells by their errors
// whether they may have taken effect.
package httpcall
