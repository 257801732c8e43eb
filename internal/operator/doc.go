// Package operator is the HTTP API for operators and its client. The API serves
// health, metrics, status and drain, edits the lists, and reports on which hosts
// a change of the lists is in force.
package operator
