// Package emulate runs emulators of the outside systems in one process:
// database groups (package group), the platform's service (package store), and
// an HTTP endpoint that switches their faults and shows their state.
//
//	POST /faults                       switch one fault; see Fault
//	GET  /state                        groups, instances, calls and hosts
//	GET  /journal?group=G&after=N      statements that the instances ran
//	GET  /records?instance=I           the log of an instance
//	GET  /rows?instance=I&table=T      committed rows of a table
package emulate
