package upstream

import (
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// An Exchange is one request together with the settings and status queries that
// are sent in the same write.
type Exchange struct {
	// Batch holds the request's messages.
	Batch Batch
	// Reset resets the session and applies Settings first, unless they are
	// already in force. It must be false inside a transaction.
	Reset    bool
	Settings []gypsumyard.Setting
	// StatusBefore and StatusAfter ask for the instance's status before and
	// after the request.
	StatusBefore, StatusAfter bool
	// Probe sends an empty query first. The instance responds to it at once in any
	// transaction state and does not count it as a query of the transaction.
	Probe bool
	// Check decides from the status before the request whether the response may
	// be used. If it returns false, or that status is missing, the response is
	// discarded. It may be nil.
	Check func(gypsumyard.InstanceStatus) bool
	// HoldCompletion keeps everything from the first CommandComplete on in
	// Outcome.Response, without a size limit, instead of writing it to the sink.
	HoldCompletion bool
	// FirstResponseTimeout limits the wait for the response to each setting that
	// is sent ahead of the batch and for the first message of the batch's
	// response. ReadTimeout limits the wait for each later message. The status
	// query before the request is responded to at once on a working connection,
	// however long the request runs.
	FirstResponseTimeout, ReadTimeout time.Duration
	// InstanceResponsive reports whether the instance has responded on another
	// connection since the exchange began. If it has, the wait for the first
	// message ends after livenessCheckInterval. It may be nil.
	InstanceResponsive func() bool
}

// An Outcome is the result of an exchange.
type Outcome struct {
	StatusBefore, StatusAfter *gypsumyard.InstanceStatus
	// Response is the part of the response that was not written to the sink.
	Response []byte
	// Delivered indicates that a part of the response was written to the sink.
	Delivered bool
	// Sent indicates that a byte of the request may have reached the instance.
	Sent bool
	// NotRun indicates that the request was sent, but the instance's response
	// proves that it did not run.
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
	// Rejected indicates that Check rejected the status, or that there was none.
	Rejected bool
	// TxStatus is the transaction state after the request.
	TxStatus byte
}
