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
		fetch: func(ctx context.Context, client *console.Client) ([]sequoialead.Audit, error) {
			return client.Audit(ctx)
		},
		print: func(audits []sequoialead.Audit) error { return printAudit(deps, audits) },
	}.command(deps)
}

func printAudit(deps Deps, audits []sequoialead.Audit) error {
	rows := [][]string{{"TIME", "WHO", "BASE", "VERDICT", "VERSION", "NOTE", "CHANGES"}}
	for _, a := range audits {
		rows = append(rows, []string{
			a.Time.UTC().Format(time.RFC3339), a.Author,
			strconv.FormatUint(uint64(a.Base), 10), string(a.Verdict),
			strconv.FormatUint(uint64(a.Version), 10), a.Note, shorten(sequoialead.JoinChanges(a.Changes)),
		})
	}
	return printTable(deps.Stdout, rows)
}

// shorten truncates a text to maxLength bytes plus an ellipsis, to keep the rows of the
// table short enough for a terminal.
func shorten(text string) string {
	const maxLength = 100
	if len(text) <= maxLength {
		return text
	}
	return text[:maxLength] + "..."
}
