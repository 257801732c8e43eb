// Package era tracks the era of the platform's store: how often the store was
// restored from an older copy. What a host knows from an earlier era may be lost in
// the store, and what it reads may be older than what it knows.
package era
