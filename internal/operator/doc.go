// Package operator speaks to operators over HTTP: health, metrics, status,
// drain, the lists and where a change of them is in force.
package operator
