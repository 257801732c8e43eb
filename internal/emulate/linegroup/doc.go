// Package linegroup emulates a database group that speaks the line protocol: a
// primary and its replicas on loopback ports. Replicas receive records
// synchronously and apply them asynchronously. Instances can be fenced and
// promoted, and tests can inject faults.
package linegroup
