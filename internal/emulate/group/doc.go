// Package group emulates a database group: instances that speak PostgreSQL
// protocol 3 on loopback, replicate one log, and can be made to fail.
//
// Any session can use the control functions, which take no execution slot and
// return one row with role, term, log_offset, fence, fence_token, history
// ("1:1,3:11"), stream_age_ms, leaving and connections:
//
//	SELECT * FROM group_status()
//	SELECT * FROM group_fence(TERM, 'TOKEN')
//	SELECT * FROM group_promote(TERM, 'TOKEN')
//	SELECT * FROM group_follow(TERM, 'INSTANCE')
//
// A refused order fails with SQLSTATE 55000. Writes on a replica or a fenced
// instance fail with 25006, connections beyond the cap with 53300. When an
// instance drops records its connections end with 57P01.
//
// Statements other than BEGIN, COMMIT, ROLLBACK, SET, SHOW, RESET, DISCARD and
// the control functions run in an execution slot, in order of arrival. A
// comment such as /* cost=5ms */ sets a statement's service time. A statement
// that waits for a lock gives its slot back meanwhile.
package group
