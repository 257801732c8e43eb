package peer

import (
	"errors"
	"fmt"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
)

// Limits on the fields of a request other than its messages. They only protect
// against misbehaving peers; the limits for callers are lower.
const (
	maxNameBytes    = 64 << 10
	maxSettings     = 4096
	maxSettingBytes = 1 << 20
)

var errMalformed = errors.New("malformed message")

func encodePosition(p gypsumyard.Position) *peerpb.Position {
	if p.IsZero() {
		return nil
	}
	return &peerpb.Position{Term: uint64(p.Term), Offset: uint64(p.Offset)}
}

func decodePosition(p *peerpb.Position) gypsumyard.Position {
	return gypsumyard.Position{
		Term:   gypsumyard.Term(p.GetTerm()),
		Offset: gypsumyard.Offset(p.GetOffset()),
	}
}

// encodeRequest encodes the request without its messages. The deadline is sent as
// the remaining time, because the hosts' clocks may differ.
func encodeRequest(op peerpb.Operation, r *gypsumyard.Request, now time.Time) *peerpb.Request {
	p := &peerpb.Request{
		Operation:      op,
		Session:        string(r.Session),
		Customer:       r.Customer,
		Login:          r.Login,
		Database:       r.Database,
		Class:          string(r.Class),
		Shape:          r.Shape,
		Repeatable:     r.Repeatable,
		Priority:       r.Priority,
		Long:           r.Long,
		MaxStalenessNs: int64(r.MaxStaleness),
		Position:       encodePosition(r.Position),
		PositionKnown:  r.PositionKnown,
		DesiredNumber:  r.DesiredNumber,
		Transaction:    r.Transaction,
		Owner:          r.Owner,
	}
	for _, s := range r.Settings {
		p.Settings = append(p.Settings, &peerpb.Setting{Name: s.Name, Value: s.Value})
	}
	if !r.Deadline.IsZero() {
		p.HasDeadline = true
		p.RemainingNs = int64(r.Deadline.Sub(now))
	}
	return p
}

func decodeRequest(p *peerpb.Request, now time.Time) (r *gypsumyard.Request, err error) {
	if err := checkRequest(p); err != nil {
		return nil, err
	}
	r = &gypsumyard.Request{
		Session:       gypsumyard.SessionID(p.Session),
		Customer:      p.Customer,
		Login:         p.Login,
		Database:      p.Database,
		Class:         gypsumyard.StatementClass(p.Class),
		Messages:      p.Messages,
		Shape:         p.Shape,
		Repeatable:    p.Repeatable,
		Priority:      p.Priority,
		Long:          p.Long,
		MaxStaleness:  time.Duration(p.MaxStalenessNs),
		Position:      decodePosition(p.Position),
		PositionKnown: p.PositionKnown,
		DesiredNumber: p.DesiredNumber,
		Transaction:   p.Transaction,
		Owner:         p.Owner,
	}
	for _, s := range p.Settings {
		r.Settings = append(r.Settings, gypsumyard.Setting{Name: s.GetName(), Value: s.GetValue()})
	}
	if p.HasDeadline {
		r.Deadline = now.Add(time.Duration(p.RemainingNs))
	}
	return r, nil
}

func checkRequest(p *peerpb.Request) error {
	names := len(p.Session) + len(p.Customer) + len(p.Login) + len(p.Database) + len(p.Class) + len(p.Transaction) + len(p.Owner)
	if names > maxNameBytes {
		return fmt.Errorf("%w: names of %d bytes", errMalformed, names)
	}
	if len(p.Settings) > maxSettings {
		return fmt.Errorf("%w: %d settings", errMalformed, len(p.Settings))
	}
	size := 0
	for _, s := range p.Settings {
		size += len(s.GetName()) + len(s.GetValue())
	}
	if size > maxSettingBytes {
		return fmt.Errorf("%w: settings of %d bytes", errMalformed, size)
	}
	if p.MaxStalenessNs < 0 {
		return fmt.Errorf("%w: negative staleness", errMalformed)
	}
	if _, ok := peerpb.Operation_name[int32(p.Operation)]; !ok {
		return fmt.Errorf("%w: operation %d", errMalformed, p.Operation)
	}
	return nil
}

func encodeResult(r gypsumyard.Result) *peerpb.Result {
	return &peerpb.Result{
		Position:    encodePosition(r.Position),
		TxStatus:    uint32(r.TxStatus),
		Transaction: r.Transaction,
		Owner:       r.Owner,
		Instance:    r.Instance,
	}
}

func decodeResult(p *peerpb.Result) gypsumyard.Result {
	return gypsumyard.Result{
		Position:    decodePosition(p.GetPosition()),
		TxStatus:    byte(p.GetTxStatus()),
		Transaction: p.GetTransaction(),
		Owner:       p.GetOwner(),
		Instance:    p.GetInstance(),
	}
}

// leavesNoTransaction reports whether the end of a request without a transaction
// handle proves that the session has no open transaction. After an error, such as
// a refusal by load, the session's transaction may still be open. Both sides of a
// link must use this rule.
func leavesNoTransaction(failed bool, txStatus byte) bool {
	return !failed || txStatus == 'I'
}

// encodeError encodes err. An error that is not a *gypsumyard.Error gets the
// class outcome-unknown.
func encodeError(err error) *peerpb.Error {
	if err == nil {
		return nil
	}
	var e *gypsumyard.Error
	if !errors.As(err, &e) {
		return &peerpb.Error{Class: string(gypsumyard.ClassUnknown), Message: err.Error()}
	}
	p := &peerpb.Error{
		Class:        string(e.Class),
		State:        e.State,
		Message:      e.Message,
		RetryAfterNs: int64(e.RetryAfter),
		NoRetry:      e.NoRetry,
	}
	if e.Err != nil {
		p.Cause = e.Err.Error()
	}
	return p
}

// decodeError decodes a *gypsumyard.Error. It returns nil if p is nil. A class
// that this host does not know is decoded as ClassUnknown, because it proves
// nothing about the outcome of the request.
func decodeError(p *peerpb.Error) error {
	if p == nil {
		return nil
	}
	e := &gypsumyard.Error{
		Class:      gypsumyard.ErrorClass(p.Class),
		State:      p.State,
		Message:    p.Message,
		RetryAfter: time.Duration(p.RetryAfterNs),
		NoRetry:    p.NoRetry,
	}
	if !knownClasses[e.Class] {
		e.Class = gypsumyard.ClassUnknown
	}
	if p.Cause != "" {
		e.Err = causeOf(p.Cause)
	}
	return e
}

var knownClasses = map[gypsumyard.ErrorClass]bool{
	gypsumyard.ClassNotRun:       true,
	gypsumyard.ClassUnknown:      true,
	gypsumyard.ClassPlan:         true,
	gypsumyard.ClassLoad:         true,
	gypsumyard.ClassShutdown:     true,
	gypsumyard.ClassNotSupported: true,
	gypsumyard.ClassNotOwner:     true,
	gypsumyard.ClassProtocol:     true,
	gypsumyard.ClassAuth:         true,
}

// causeOf returns the sentinel error of the root package with the given text, so
// that errors.Is works across hosts, or a new error if there is none.
func causeOf(text string) error {
	for _, e := range []error{
		gypsumyard.ErrConflict, gypsumyard.ErrNotFound, gypsumyard.ErrUnavailable,
		gypsumyard.ErrOutcomeUnknown, gypsumyard.ErrFenced, gypsumyard.ErrNoMajority,
	} {
		if e.Error() == text {
			return e
		}
	}
	return errors.New(text)
}

func encodeStatus(s gypsumyard.InstanceStatus) *peerpb.InstanceStatus {
	p := &peerpb.InstanceStatus{
		Role:        string(s.Role),
		Applied:     encodePosition(s.Applied),
		Fence:       uint64(s.Fence),
		FenceToken:  string(s.FenceToken),
		StreamAgeNs: int64(s.StreamAge),
		Leaving:     s.Leaving,
		Connections: int64(s.Connections),
	}
	for _, t := range s.History {
		p.History = append(p.History, &peerpb.TermStart{Term: uint64(t.Term), Start: uint64(t.Start)})
	}
	return p
}

func decodeStatus(p *peerpb.InstanceStatus) gypsumyard.InstanceStatus {
	s := gypsumyard.InstanceStatus{
		Role:        gypsumyard.Role(p.GetRole()),
		Applied:     decodePosition(p.GetApplied()),
		Fence:       gypsumyard.Term(p.GetFence()),
		FenceToken:  gypsumyard.Token(p.GetFenceToken()),
		StreamAge:   time.Duration(p.GetStreamAgeNs()),
		Leaving:     p.GetLeaving(),
		Connections: int(p.GetConnections()),
	}
	for _, t := range p.GetHistory() {
		s.History = append(s.History, gypsumyard.TermStart{Term: gypsumyard.Term(t.GetTerm()), Start: gypsumyard.Offset(t.GetStart())})
	}
	return s
}

func encodeObject(o gypsumyard.Object) *peerpb.Object {
	return &peerpb.Object{Name: o.Name, Revision: o.Version.Revision(), Era: uint32(o.Version.Era()), Value: o.Value, Deleted: o.Deleted}
}

func decodeObject(p *peerpb.Object) gypsumyard.Object {
	return gypsumyard.Object{Name: p.GetName(), Version: decodeVersion(p.GetEra(), p.GetRevision()), Value: p.GetValue(), Deleted: p.GetDeleted()}
}

// decodeVersion returns the version of the revision in the era, or version zero if
// there can be no such era.
func decodeVersion(era uint32, revision uint64) gypsumyard.Version {
	if gypsumyard.Era(era) > gypsumyard.MaxEra {
		return 0
	}
	return gypsumyard.NewVersion(gypsumyard.Era(era), revision)
}

// encodeProofAge returns the wire form of the age of a proof: one nanosecond more than
// the age, since hosts that state none send zero.
func encodeProofAge(age time.Duration, proven bool) int64 {
	if !proven {
		return 0
	}
	return int64(max(age, 0)) + 1
}

// decodeProofAge returns the age that encodeProofAge has encoded.
func decodeProofAge(ns int64) (age time.Duration, proven bool) {
	if ns <= 0 {
		return 0, false
	}
	return time.Duration(ns - 1), true
}
