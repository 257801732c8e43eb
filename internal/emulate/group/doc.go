// Package group emulates a database group with fault injection: instances that
// speak version 3 of the PostgreSQL protocol on loopback and replicate one log.
//
// Any session can call the control functions, which need no execution slot and
// return one row with role, term, log_offset, fence, fence_token, history
// ("1:1,3:11"), stream_age_ms, leaving and connections:
//
//	SELECT * FROM group_status()
//	SELECT * FROM group_fence(TERM, 'TOKEN')
//	SELECT * FROM group_promote(TERM, 'TOKEN')
//	SELECT * FROM group_follow(TERM, 'INSTANCE')
//
// A rejected order fails with SQLSTATE 55000. Writes on a replica or a fenced
// instance fail with 25006, connections beyond the limit with 53300. When an
// instance truncates its log, its connections are terminated with 57P01.
//
// Statements other than BEGIN, COMMIT, ROLLBACK, SET, SHOW, RESET, DISCARD,
// DEALLOCATE and the control functions run in an execution slot, in order of
// arrival. A comment such as /* cost=5ms */ sets a statement's service time. A
// statement that waits for a lock releases its slot while it waits.
package group
