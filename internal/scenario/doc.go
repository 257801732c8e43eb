// Package scenario runs scripted scenarios against whole deployments: each
// script starts a site, switches faults, and checks what clients, instances
// and hosts recorded. The scripts are in testdata/script.
//
// The commands of the scripts, all with the standard quoting of testscript:
//
//	site NAME [hosts=N] [databases=N] [lag=D] [cost=D] [process=HOST,HOST]
//	connect SESSION HOST LOGIN@CUSTOMER DATABASE [PARAMETER=VALUE]...
//	refuse SQLSTATE HOST LOGIN[:PASSWORD]@CUSTOMER DATABASE
//	disconnect SESSION
//	sql SESSION 'STATEMENTS' [-> 'ROWS' | fails SQLSTATE,...]
//	begin-sql REQUEST SESSION 'STATEMENTS'
//	end-sql REQUEST [-> 'ROWS' | fails SQLSTATE,...]
//	cancel SESSION
//	load NAME KIND HOST,... LOGIN@CUSTOMER DATABASE [sessions=N] [allow=SQLSTATE,...]
//	progress NAME DURATION
//	end-load NAME
//	outcomes NAME (SQLSTATE|ok|broken)(<=|>=|=)N...
//	fault KIND TARGET [off] [delay=D] [jitter=D] [count=N]
//	stop-host, kill-host, pause-host, resume-host, drain-host, start-host HOST
//	wait-for DURATION CONDITION
//	plans-put, customers-put [-> VAR] ENTRY EXPECTED JSON
//	check DATABASE
//
// Rows are written as 'a|b; c|d', and no rows as '-'. A process=HOST runs in a
// process of its own, so that it can be killed and paused.
package scenario
