package linecaller

import (
	"errors"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/line"
	"github.com/sirupsen/logrus"
)

// start handles the START message. It reports whether the session was started.
func (ss *session) start() bool {
	_ = ss.conn.SetReadDeadline(time.Now().Add(startTimeout))
	m, err := ss.in.Read()
	if err != nil {
		if errors.Is(err, line.ErrMalformed) {
			ss.refuse(line.CodeMalformed, err.Error())
		}
		return false
	}
	_ = ss.conn.SetReadDeadline(time.Time{})
	f := m.Fields(3)
	if m.Word != line.WordStart || len(f) < 1 || f[0] == "" {
		ss.refuse(line.CodeMalformed, "want START database")
		return false
	}
	ss.database = f[0]
	if len(f) > 1 && f[1] != "" {
		ss.key = gypsumyard.HashKey(f[1])
	}
	if !ss.awaitDesiredState() {
		ss.refuse(line.CodeBusy, "desired state is not known yet")
		return false
	}
	if ss.server.closesStarted() {
		ss.refuse(line.CodeBusy, "this host stops, connect to another one")
		return false
	}
	defer func() { ss.desired = nil }()
	v := ss.identify(ss.server.clock.Now())
	if _, ok := ss.route(); !ok {
		ss.refuse(line.CodeNoDatabase, ss.database)
		return false
	}
	if v != verdictAccepted {
		ss.refuseKey(v)
		return false
	}
	ss.out = line.Append(ss.out[:0], line.WordReady, "I", "-")
	return ss.flush() == nil
}

// awaitDesiredState waits up to desiredStateTimeout for the desired state. It
// reports whether the state is known.
func (ss *session) awaitDesiredState() bool {
	ready := ss.server.lists.Ready()
	select {
	case <-ready:
		return true
	default:
	}
	t := ss.server.clock.NewTimer(desiredStateTimeout)
	defer t.Stop()
	select {
	case <-ready:
		return true
	case <-t.C():
	case <-ss.server.ctx.Done():
	}
	return false
}

// route returns the route of the session's database in the desired state when the
// message was read.
func (ss *session) route() (gypsumyard.Route, bool) {
	if ss.desired == nil {
		return gypsumyard.Route{}, false
	}
	r, ok := ss.desired.Routes[ss.database]
	return r, ok
}

// refuse sends the error with which a session fails to start.
func (ss *session) refuse(code line.Code, text string) {
	ss.server.metrics.countFailure(code)
	ss.log.WithFields(logrus.Fields{"database": ss.database, "code": code, "reason": text}).Info("session refused")
	ss.out = line.Append(ss.out[:0], line.WordError, string(code), text)
	_ = ss.flush() // The session ends anyway.
}

// refuseKey sends the error with which a session fails to start because of its key.
func (ss *session) refuseKey(v verdict) {
	code, text := line.CodeDenied, deniedText
	if v == verdictUnproven {
		code, text = line.CodeBusy, unprovenText
	}
	ss.server.metrics.countFailure(code)
	ss.server.logDenial(ss, "", v, code)
	ss.out = line.Append(ss.out[:0], line.WordError, string(code), text)
	_ = ss.flush() // The session ends anyway.
}
