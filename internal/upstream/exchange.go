package upstream

import (
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// An Exchange is one request and what is sent around it in the same write.
type Exchange struct {
	// Batch holds the request's messages.
	Batch Batch
	// Reset brings the connection to the wanted settings first. It must be
	// false inside a transaction.
	Reset    bool
	Settings []gypsumyard.Setting
	// Pre and Post ask for the instance's status before and after the request.
	Pre, Post bool
	// Probe asks for an answer that the instance gives at once in any state of
	// a transaction and that does not count as a query of it.
	Probe bool
	// Check judges the status before the request. If it returns false the
	// answer is dropped. It may be nil.
	Check func(gypsumyard.InstanceStatus) bool
	// Hold keeps everything from the first CommandComplete on in
	// Outcome.Answer, however long it gets.
	Hold bool
	// FirstBound limits the wait for the answer to each setting that is sent
	// ahead of the batch and for the first answer of the batch, and
	// SilentBound each later wait. The status before the request is answered
	// at once by a working connection, however long the request runs.
	FirstBound, SilentBound time.Duration
	// Working reports whether a fresh connection has been answered since the
	// exchange began. If it has, the wait for the first answer ends after
	// suspectAfter. It may be nil.
	Working func() bool
}

// An Outcome tells what became of an exchange.
type Outcome struct {
	Pre, Post *gypsumyard.InstanceStatus
	// Answer is the part of the answer that has not gone to the sink.
	Answer []byte
	// Delivered indicates that a part of the answer has gone to the sink.
	Delivered bool
	// Sent indicates that a byte of the request may have reached the instance.
	Sent bool
	// NotRun indicates that the instance's answer proves that the request did not
	// run although it was sent.
	NotRun bool
	// Completed indicates that a statement of the request has completed.
	Completed bool
	// Tag is the last command tag.
	Tag string
	// Failure is the first error of the request.
	Failure *ServerError
	// Setup is the error of a setting. The request was not sent.
	Setup *ServerError
	// Rejected indicates that Check refused the status.
	Rejected bool
	// TxStatus is the transaction state after the request.
	TxStatus byte
}
