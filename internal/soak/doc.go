// Package soak runs hosts as separate processes before emulated instances and
// an emulated platform, injects faults from outside them at random, and checks
// the product's promises from what callers and instances see.
//
// All its code is in test files. Run it by hand with
//
//	go test ./internal/soak -run Soak -seeds 50 -length 15s
package soak
