package commands

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"

	"sequoialead/io/console"
)

// query defines a command that fetches something from an entry and prints it.
type query[T any] struct {
	name, help string
	// bind adds flags to those that all operators' commands have. It may be nil.
	bind  func(*flag.FlagSet)
	fetch func(context.Context, *console.Client) (T, error)
	// print writes the answer in readable form. With --json it is not called.
	print func(T) error
}

func (q query[T]) command(deps Deps) *ffcli.Command {
	var c consoleFlags
	flags := newFlags("sequoialead "+q.name, deps)
	c.bind(flags)
	if q.bind != nil {
		q.bind(flags)
	}
	return &ffcli.Command{
		Name:       q.name,
		ShortUsage: "sequoialead " + q.name + " [FLAGS]",
		ShortHelp:  q.help,
		FlagSet:    flags,
		Options:    c.options(),
		Exec: func(ctx context.Context, _ []string) error {
			client, err := c.open()
			if err != nil {
				return err
			}
			defer func() { _ = client.Close() }() // Close always returns nil
			answer, err := q.fetch(ctx, client)
			if err != nil {
				return err
			}
			if c.json {
				return printJSON(deps.Stdout, answer)
			}
			return q.print(answer)
		},
	}
}
