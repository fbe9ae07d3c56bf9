package commands

import (
	"context"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"sequoialead"
	"sequoialead/io/console"
)

func newAudit(deps Deps) *ffcli.Command {
	return query[[]sequoialead.Audit]{
		name: "audit",
		help: "print the audit trail of changes",
		ask: func(ctx context.Context, client *console.Console) ([]sequoialead.Audit, error) {
			return client.Audit(ctx)
		},
		print: func(audits []sequoialead.Audit) error { return printAudit(deps, audits) },
	}.command(deps)
}

func printAudit(deps Deps, audits []sequoialead.Audit) error {
	rows := [][]string{{"TIME", "WHO", "BASE", "VERDICT", "VERSION", "NOTE", "CHANGES"}}
	for _, a := range audits {
		rows = append(rows, []string{
			a.Time.UTC().Format(time.RFC3339), a.Who,
			strconv.FormatUint(uint64(a.Base), 10), string(a.Verdict),
			strconv.FormatUint(uint64(a.Version), 10), a.Note, shorten(sequoialead.JoinChanges(a.Changes)),
		})
	}
	return printTable(deps.Stdout, rows)
}

// shorten cuts a text that would not fit a terminal's line.
func shorten(text string) string {
	const most = 100
	if len(text) <= most {
		return text
	}
	return text[:most] + "..."
}
