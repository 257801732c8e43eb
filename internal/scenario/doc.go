// Package scenario runs scripted fault-injection scenarios against complete
// deployments. Each script starts a site, injects faults, and checks what
// clients, instances and hosts recorded. The scripts are in testdata/script.
//
// The scripts use these commands, with the quoting rules of testscript:
//
//	site NAME [hosts=N] [databases=N] [lag=D] [cost=D] [slots=N] [process=HOST,...] [log=LEVEL]
//	owner-of DATABASE                  sets $OWNER, $OTHER1, $OTHER2 and so on
//	connect SESSION HOST LOGIN@CUSTOMER DATABASE [PARAMETER=VALUE]...
//	refuse SQLSTATE HOST LOGIN[:PASSWORD]@CUSTOMER DATABASE
//	disconnect SESSION
//	position SESSION VARIABLE
//	sql SESSION STATEMENTS [-> ROWS | fails SQLSTATE,...]
//	begin-sql REQUEST SESSION STATEMENTS
//	end-sql REQUEST [within=D] [-> ROWS | fails SQLSTATE,...]
//	cancel SESSION
//	load NAME KIND HOST,... LOGIN@CUSTOMER DATABASE [sessions=N] [pause=D]
//	progress NAME D                    a request that starts after now succeeds within D
//	end-load NAME
//	outcomes NAME CONDITION...         such as ok>=1 GY002<=4; other outcomes must not occur
//	fault KIND TARGET [off] [delay=D] [jitter=D] [count=N]
//	stop-host, kill-host, pause-host, resume-host, drain-host, start-host HOST
//	cut [HOST]...                      partitions hosts of this process from the others
//	edit HOST KIND ENTRY EXPECTED [FILE] [fails KIND]
//	begin-edit NAME HOST KIND ENTRY EXPECTED [FILE]; end-edit NAME KIND,...
//	race N HOST HOST KIND ENTRY ENTRY EXPECTED FILE FILE
//	assign HOST CUSTOMER PLAN; entry HOST KIND ENTRY VERSION [TEXT]
//	save-lists, replay-lists HOST; check-lists
//	hostile HOST LOGIN@CUSTOMER DATABASE; silent-callers HOST N
//	wait-for D CONDITION...            see wait_test.go for the conditions
//	journal DATABASE TEXT N
//	hold D                             waits while a fault is active
//	check DATABASE                     checks history and journal for violations
//
// Rows are written as 'a|b; c|d', an empty result as '-'. Hosts named by
// process=HOST run in separate processes, so that they can be killed and paused.
package scenario
