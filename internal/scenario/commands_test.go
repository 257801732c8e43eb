package scenario

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/config"
	"github.com/gypsumyard/gypsumyard/internal/emulate"
	"github.com/gypsumyard/gypsumyard/internal/host"
	"github.com/gypsumyard/gypsumyard/internal/site"
	"github.com/rogpeppe/go-internal/testscript"
)

// A command is a command of the script language. An error fails the script.
type command struct {
	// minArgs is the minimum number of arguments.
	minArgs int
	run     func(ctx context.Context, ts *testscript.TestScript, fx *fixture, args []string) error
}

type scriptCommands map[string]func(ts *testscript.TestScript, neg bool, args []string)

func commands() scriptCommands {
	all := scriptCommands{}
	for name, c := range map[string]command{
		"site":           {1, cmdSite},
		"connect":        {4, cmdConnect},
		"refuse":         {4, cmdRefuse},
		"disconnect":     {1, cmdDisconnect},
		"sql":            {2, cmdSQL},
		"begin-sql":      {3, cmdBeginSQL},
		"end-sql":        {1, cmdEndSQL},
		"cancel":         {1, cmdCancel},
		"load":           {5, cmdLoad},
		"progress":       {2, cmdProgress},
		"end-load":       {1, cmdEndLoad},
		"outcomes":       {1, cmdOutcomes},
		"fault":          {2, cmdFault},
		"wait-for":       {2, cmdWaitFor},
		"check":          {1, cmdCheck},
		"stop-host":      {1, cmdStopHost},
		"kill-host":      {1, cmdKillHost},
		"pause-host":     {1, cmdPauseHost},
		"resume-host":    {1, cmdResumeHost},
		"drain-host":     {1, cmdDrainHost},
		"start-host":     {1, cmdStartHost},
		"position":       {2, cmdPosition},
		"owner-of":       {1, cmdOwnerOf},
		"cut":            {0, cmdCut},
		"edit":           {4, cmdEdit},
		"assign":         {3, cmdAssign},
		"begin-edit":     {5, cmdBeginEdit},
		"end-edit":       {2, cmdEndEdit},
		"race":           {9, cmdRace},
		"entry":          {4, cmdEntry},
		"save-lists":     {1, cmdSaveLists},
		"replay-lists":   {1, cmdReplayLists},
		"check-lists":    {0, cmdCheckLists},
		"hostile":        {3, cmdHostile},
		"silent-callers": {2, cmdSilentCallers},
		"journal":        {3, cmdJournal},
		"hold":           {1, cmdHold},
	} {
		all[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if neg || len(args) < c.minArgs {
				ts.Fatalf("%s requires at least %d arguments and cannot be negated with !", name, c.minArgs)
			}
			ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
			defer cancel()
			if err := c.run(ctx, ts, fixtureOf(ts), args); err != nil {
				ts.Fatalf("%v: %s: %v", time.Now().Format("05.000"), name, err)
			}
		}
	}
	return all
}

func cmdSite(ctx context.Context, _ *testscript.TestScript, fx *fixture, args []string) error {
	rest, options := splitOptions(args)
	d, err := site.ByName(rest[0])
	if err != nil {
		return err
	}
	hosts, databases := 3, 1
	o := []site.Option{site.WithJournal(journalEntries), site.WithHostOptions(host.WithPeerDialer(fx.network.dial))}
	for key, value := range options {
		switch key {
		case "hosts":
			hosts, err = strconv.Atoi(value)
		case "databases":
			databases, err = strconv.Atoi(value)
		case "lag":
			d.ReplicationLag, err = time.ParseDuration(value)
		case "cost":
			for i := range d.Databases {
				d.Databases[i].StatementCost, err = time.ParseDuration(value)
			}
		case "process":
			for _, name := range strings.Split(value, ",") {
				fx.processes[name] = nil
				o = append(o, site.WithExternal(name))
			}
		case "slots":
			for i := range d.Databases {
				d.Databases[i].Slots, err = strconv.Atoi(value)
			}
		case "log":
			o = append(o, site.WithLog(config.Log{Level: value, Format: "text"}))
		default:
			err = fmt.Errorf("unknown option %s", key)
		}
		if err != nil {
			return err
		}
	}
	d.Databases = d.Databases[:databases]
	if fx.site, err = site.Start(ctx, d, append(o, site.WithHosts(hosts))...); err != nil {
		return err
	}
	for name := range fx.processes {
		if err := fx.startExternal(name); err != nil {
			return err
		}
	}
	for i := range hosts {
		if c, err := fx.settings(fmt.Sprintf("entry-%d", i+1)); err == nil {
			fx.network.name(c.Listen.Peers, c.Host.Name)
		}
	}
	follow, stop := context.WithCancel(context.Background())
	fx.stop = stop
	fx.background.Go(func() { fx.followLists(follow) })
	return waitFor(commandTimeout, func() error { return fx.checkAgreement(ctx, hosts) })
}

// checkAgreement verifies that all hosts are ready, know each other and agree on
// the owners of the databases.
func (fx *fixture) checkAgreement(ctx context.Context, hosts int) error {
	owners := map[string]string{}
	for i := range hosts {
		name := fmt.Sprintf("entry-%d", i+1)
		o, err := fx.operator(name)
		if err != nil {
			return err
		}
		s, err := o.Status(ctx)
		if err != nil {
			return err
		}
		if !s.Ready || len(s.Members) != hosts {
			return fmt.Errorf("%s: ready %v, members %v", name, s.Ready, s.Members)
		}
		for _, d := range s.Databases {
			if owner, ok := owners[d.Name]; d.Owner == "" || ok && owner != d.Owner {
				return fmt.Errorf("%s: owner of %s is %q, not %q", name, d.Name, d.Owner, owner)
			}
			owners[d.Name] = d.Owner
		}
	}
	return nil
}

func cmdConnect(ctx context.Context, _ *testscript.TestScript, fx *fixture, args []string) error {
	rest, parameters := splitOptions(args)
	s, err := fx.connect(ctx, rest[1], rest[2], rest[3], parameters)
	if err != nil {
		return err
	}
	fx.sessions[rest[0]] = s
	return nil
}

func cmdRefuse(ctx context.Context, _ *testscript.TestScript, fx *fixture, args []string) error {
	rest, parameters := splitOptions(args)
	s, err := fx.connect(ctx, rest[1], rest[2], rest[3], parameters)
	if err == nil {
		s.abort()
		return fmt.Errorf("connected, want SQLSTATE %s", rest[0])
	}
	return expectation{states: strings.Split(rest[0], ",")}.check(answer{state: stateOf(err), err: err})
}

func cmdDisconnect(_ context.Context, _ *testscript.TestScript, fx *fixture, args []string) error {
	s, err := fx.session(args[0])
	if err != nil {
		return err
	}
	s.abort()
	delete(fx.sessions, args[0])
	return nil
}

func (fx *fixture) session(name string) (*session, error) {
	s, ok := fx.sessions[name]
	if !ok {
		return nil, fmt.Errorf("no session %q", name)
	}
	return s, nil
}

func cmdSQL(ctx context.Context, _ *testscript.TestScript, fx *fixture, args []string) error {
	s, err := fx.session(args[0])
	if err != nil {
		return err
	}
	x, err := parseExpectation(args[2:])
	if err != nil {
		return err
	}
	return x.check(s.run(ctx, args[1]))
}

func cmdBeginSQL(_ context.Context, _ *testscript.TestScript, fx *fixture, args []string) error {
	s, err := fx.session(args[1])
	if err != nil {
		return err
	}
	fx.requests[args[0]] = fx.startRequest(s, args[2])
	return nil
}

func cmdEndSQL(_ context.Context, _ *testscript.TestScript, fx *fixture, args []string) error {
	r, ok := fx.requests[args[0]]
	if !ok {
		return fmt.Errorf("no request %q", args[0])
	}
	rest, options := splitOptions(args[1:])
	within := commandTimeout
	if d, ok := options["within"]; ok {
		var err error
		if within, err = time.ParseDuration(d); err != nil {
			return err
		}
	}
	x, err := parseExpectation(rest)
	if err != nil {
		return err
	}
	a, err := r.wait(within)
	if err != nil {
		return err
	}
	return x.check(a)
}

func cmdCancel(ctx context.Context, _ *testscript.TestScript, fx *fixture, args []string) error {
	s, err := fx.session(args[0])
	if err != nil {
		return err
	}
	return s.conn.PgConn().CancelRequest(ctx)
}

func cmdPosition(_ context.Context, ts *testscript.TestScript, fx *fixture, args []string) error {
	s, err := fx.session(args[0])
	if err != nil {
		return err
	}
	ts.Setenv(args[1], s.position())
	return nil
}

func cmdLoad(_ context.Context, _ *testscript.TestScript, fx *fixture, args []string) (err error) {
	rest, options := splitOptions(args)
	clients, pause := 4, 2*time.Millisecond
	for key, value := range options {
		switch key {
		case "sessions":
			clients, err = strconv.Atoi(value)
		case "pause":
			pause, err = time.ParseDuration(value)
		default:
			err = fmt.Errorf("unknown option %s", key)
		}
		if err != nil {
			return err
		}
	}
	fx.workloads[rest[0]], err = fx.startWorkload(rest[0], rest[1], rest[2], rest[3], rest[4], clients, pause)
	return err
}

func (fx *fixture) workload(name string) (*workload, error) {
	l, ok := fx.workloads[name]
	if !ok {
		return nil, fmt.Errorf("no load %q", name)
	}
	return l, nil
}

func cmdProgress(_ context.Context, _ *testscript.TestScript, fx *fixture, args []string) error {
	l, err := fx.workload(args[0])
	if err != nil {
		return err
	}
	d, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	return l.progress(d)
}

func cmdEndLoad(_ context.Context, ts *testscript.TestScript, fx *fixture, args []string) error {
	l, err := fx.workload(args[0])
	if err != nil {
		return err
	}
	l.cancel()
	l.wg.Wait()
	ts.Logf("%s: %v", l.name, l.outcomes)
	return nil
}

func cmdOutcomes(_ context.Context, _ *testscript.TestScript, fx *fixture, args []string) error {
	l, err := fx.workload(args[0])
	if err != nil {
		return err
	}
	return l.checkOutcomes(args[1:])
}

func cmdFault(_ context.Context, _ *testscript.TestScript, fx *fixture, args []string) (err error) {
	rest, options := splitOptions(args)
	f := emulate.Fault{Kind: rest[0], Target: rest[1]}
	f.Off = len(rest) > 2 && rest[2] == "off"
	for key, value := range options {
		var d time.Duration
		switch key {
		case "delay":
			d, err = time.ParseDuration(value)
			f.Delay = gypsumyard.Duration(d)
		case "jitter":
			d, err = time.ParseDuration(value)
			f.Jitter = gypsumyard.Duration(d)
		case "count":
			f.Count, err = strconv.Atoi(value)
		default:
			err = fmt.Errorf("unknown option %s", key)
		}
		if err != nil {
			return err
		}
	}
	return fx.site.Environment.Apply(f)
}

func cmdCheck(_ context.Context, _ *testscript.TestScript, fx *fixture, args []string) error {
	return fx.check(args[0])
}
