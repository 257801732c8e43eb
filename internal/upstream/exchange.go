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
	// StatusBefore and StatusAfter ask for the instance's status before and
	// after the request.
	StatusBefore, StatusAfter bool
	// Probe asks for an answer that the instance gives at once in any state of
	// a transaction and that does not count as a query of it.
	Probe bool
	// Check judges the status before the request. If it returns false the
	// answer is dropped. It may be nil.
	Check func(gypsumyard.InstanceStatus) bool
	// HoldCompletion keeps everything from the first CommandComplete on in
	// Outcome.Answer, without a size limit, instead of writing it to the sink.
	HoldCompletion bool
	// FirstResponseTimeout limits the wait for the answer to each setting that
	// is sent ahead of the batch and for the first message of the batch's
	// answer. ReadTimeout limits the wait for each later message. The status
	// query before the request is answered at once on a working connection,
	// however long the request runs.
	FirstResponseTimeout, ReadTimeout time.Duration
	// InstanceResponsive reports whether the instance has answered on another
	// connection since the exchange began. If it has, the wait for the first
	// message ends after suspectAfter. It may be nil.
	InstanceResponsive func() bool
}

// An Outcome tells what became of an exchange.
type Outcome struct {
	StatusBefore, StatusAfter *gypsumyard.InstanceStatus
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
	// SettingError is the instance's error for a session setting. The request
	// was not sent.
	SettingError *ServerError
	// Rejected indicates that Check refused the status.
	Rejected bool
	// TxStatus is the transaction state after the request.
	TxStatus byte
}
