// Package soak contains randomized fault-injection tests. It runs hosts as
// separate processes in front of emulated instances and an emulated platform,
// injects faults from outside the processes, and checks the system's guarantees
// against what callers and instances observe.
//
// All code is in test files. Run the tests by hand with
//
//	go test ./internal/soak -run Soak -seeds 50 -length 15s
package soak
