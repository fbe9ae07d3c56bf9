package commands

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"

	"sequoialead/io/console"
)

// query is an operators' command that asks for something and prints it.
type query[T any] struct {
	name, help string
	// bind adds the command's own flags, if set.
	bind func(*flag.FlagSet)
	ask  func(context.Context, *console.Console) (T, error)
	// print prints for people; --json is common to all.
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
			defer func() { _ = client.Close() }() // always nil
			answer, err := q.ask(ctx, client)
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
