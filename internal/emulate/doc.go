// Package emulate runs emulators of the external systems in one process: database
// groups (package group) and the platform's service (package store). An HTTP
// control endpoint injects faults and shows the emulators' state.
//
//	POST /faults                       start or end one fault; see Fault
//	GET  /state                        groups, instances, calls and hosts
//	GET  /journal?group=G&after=N      statements that the instances ran
//	GET  /records?instance=I           the log of an instance
//	GET  /rows?instance=I&table=T      committed rows of a table
package emulate
