package commands

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func newAudit(deps Deps) *ffcli.Command {
	var c consoleFlags
	flags := newFlags("sequoialead audit", deps)
	c.bind(flags)
	return &ffcli.Command{
		Name:       "audit",
		ShortUsage: "sequoialead audit [FLAGS]",
		ShortHelp:  "print the audit trail of changes",
		FlagSet:    flags,
		Options:    c.options(),
		Exec: func(ctx context.Context, _ []string) error {
			client, err := c.open()
			if err != nil {
				return err
			}
			defer func() { _ = client.Close() }() // always nil
			audits, err := client.Audit(ctx)
			if err != nil {
				return err
			}
			if c.json {
				return printJSON(deps.Stdout, audits)
			}
			rows := [][]string{{"TIME", "WHO", "BASE", "VERDICT", "VERSION", "NOTE", "CHANGES"}}
			for _, a := range audits {
				var changes []string
				for _, change := range a.Changes {
					changes = append(changes, change.String())
				}
				rows = append(rows, []string{
					a.Time.UTC().Format(time.RFC3339), a.Who,
					strconv.FormatUint(uint64(a.Base), 10), string(a.Verdict),
					strconv.FormatUint(uint64(a.Version), 10), a.Note, shorten(strings.Join(changes, " ")),
				})
			}
			return printTable(deps.Stdout, rows)
		},
	}
}

// shorten cuts a text that would not fit a terminal's line.
func shorten(text string) string {
	const most = 100
	if len(text) <= most {
		return text
	}
	return text[:most] + "..."
}
