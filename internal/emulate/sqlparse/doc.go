// Package sqlparse parses the small part of SQL that the emulated database
// understands: enough for an application, no more.
package sqlparse
