package commands

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func newShow(deps Deps) *ffcli.Command {
	var c consoleFlags
	flags := newFlags("sequoialead show", deps)
	c.bind(flags)
	version := flags.String("version", "", "an earlier version")
	return &ffcli.Command{
		Name:       "show",
		ShortUsage: "sequoialead show [FLAGS]",
		ShortHelp:  "print the configuration",
		FlagSet:    flags,
		Options:    c.options(),
		Exec: func(ctx context.Context, _ []string) error {
			client, err := c.open()
			if err != nil {
				return err
			}
			defer func() { _ = client.Close() }() // always nil
			answer, err := client.Show(ctx, *version)
			if err != nil {
				return err
			}
			if c.json {
				return printJSON(deps.Stdout, answer)
			}
			_, err = fmt.Fprintf(deps.Stdout, "; version %d\n%s", answer.Version, answer.Text)
			return err
		},
	}
}
