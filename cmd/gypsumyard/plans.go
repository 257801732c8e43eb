package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/operator"
	"github.com/gypsumyard/gypsumyard/internal/planlist"
	"github.com/tailscale/hujson"
	"github.com/urfave/cli/v3"
)

// inForcePollInterval is the time between two polls of where a change is in force.
const inForcePollInterval = 100 * time.Millisecond

func plansCommand() *cli.Command {
	wait := &cli.DurationFlag{
		Name:  "wait",
		Usage: "wait up to `DURATION` until the change is in force on all hosts of the region",
	}
	expected := &cli.Uint64Flag{
		Name:  "expected",
		Usage: "fail unless the entry is at `VERSION`, as get shows it; 0 means it never existed",
		Value: planlist.AnyVersion, HideDefault: true,
	}
	return &cli.Command{
		Name:  "plans",
		Usage: "show and edit the lists of plans, customers and databases",
		Description: "LIST is plans, customers or databases. FILE holds the entry as JSON, comments allowed;\n" +
			"- is standard input.",
		Commands: []*cli.Command{
			{
				Name: "get", Usage: "print an entry with its version", ArgsUsage: "LIST ENTRY",
				Flags: hostFlags(), Action: getEntry,
			},
			{
				Name: "put", Usage: "replace an entry", ArgsUsage: "LIST ENTRY FILE",
				Flags: append(hostFlags(), wait, expected), Action: putEntry,
			},
			{
				Name: "delete", Usage: "remove an entry", ArgsUsage: "LIST ENTRY",
				Flags: append(hostFlags(), wait, expected), Action: deleteEntry,
			},
			{
				Name: "wait", Usage: "wait until an edit is in force on all hosts of the region",
				ArgsUsage: "OBJECT VERSION", Flags: append(hostFlags(), wait), Action: waitEntry,
			},
			checkListsCommand(),
		},
	}
}

// entryArguments returns the list and the entry that the arguments name. It fails
// unless there are count arguments.
func entryArguments(c *cli.Command, count int) (kind planlist.Kind, name string, err error) {
	if c.Args().Len() != count {
		return "", "", usageError{fmt.Errorf("want %s", c.ArgsUsage)}
	}
	kind, err = planlist.ParseKind(c.Args().Get(0))
	if err != nil {
		return "", "", usageError{err}
	}
	return kind, c.Args().Get(1), nil
}

func getEntry(ctx context.Context, c *cli.Command) error {
	kind, name, err := entryArguments(c, 2)
	if err != nil {
		return err
	}
	o, err := newClient(c)
	if err != nil {
		return err
	}
	e, err := o.Get(ctx, kind, name)
	if err != nil {
		return err
	}
	return printJSON(c, e)
}

func putEntry(ctx context.Context, c *cli.Command) error {
	kind, name, err := entryArguments(c, 3)
	if err != nil {
		return err
	}
	value, err := readEntry(c.Args().Get(2))
	if err != nil {
		return usageError{err}
	}
	o, err := newClient(c)
	if err != nil {
		return err
	}
	a, err := o.Put(ctx, kind, name, c.Uint64("expected"), value)
	if err != nil {
		return err
	}
	return reportEdit(ctx, c, o, a)
}

func deleteEntry(ctx context.Context, c *cli.Command) error {
	kind, name, err := entryArguments(c, 2)
	if err != nil {
		return err
	}
	o, err := newClient(c)
	if err != nil {
		return err
	}
	a, err := o.Delete(ctx, kind, name, c.Uint64("expected"))
	if err != nil {
		return err
	}
	return reportEdit(ctx, c, o, a)
}

func waitEntry(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return usageError{fmt.Errorf("want %s", c.ArgsUsage)}
	}
	o, err := newClient(c)
	if err != nil {
		return err
	}
	a := planlist.EditResult{Object: c.Args().Get(0)}
	if _, err := fmt.Sscan(c.Args().Get(1), &a.Version); err != nil || a.Version == 0 {
		return usageError{errors.New("VERSION must be a number above 0")}
	}
	return waitInForce(ctx, c, o, a)
}

// readEntry reads JSON with comments from the file and returns standard JSON.
func readEntry(file string) ([]byte, error) {
	var data []byte
	var err error
	if file == "-" {
		data, err = io.ReadAll(os.Stdin)
	} else {
		data, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, err
	}
	value, err := hujson.Standardize(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return bytes.TrimSpace(value), nil
}

func reportEdit(ctx context.Context, c *cli.Command, o *operator.Client, a planlist.EditResult) error {
	if err := printJSON(c, a); err != nil {
		return err
	}
	if !c.IsSet("wait") {
		return nil
	}
	return waitInForce(ctx, c, o, a)
}

// waitInForce polls until the change is in force everywhere.
func waitInForce(ctx context.Context, c *cli.Command, o *operator.Client, a planlist.EditResult) error {
	limit := c.Duration("wait")
	if limit <= 0 {
		limit = 10 * time.Second
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		response, err := o.InForce(ctx, a.Object, a.Version)
		if err == nil && response.Everywhere {
			return printJSON(c, response)
		}
		select {
		case <-time.After(inForcePollInterval):
		case <-ctx.Done():
			missing, _ := json.Marshal(response.Hosts)
			return fmt.Errorf("%w: %s", errNotInForce, missing)
		}
	}
}
