package commands

import (
	"context"
	"flag"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"sequoialead/io/console"
	"sequoialead/io/operator"
)

func newShow(deps Deps) *ffcli.Command {
	version := ""
	return query[operator.ShowResponse]{
		name: "show",
		help: "print the configuration",
		bind: func(flags *flag.FlagSet) {
			flags.StringVar(&version, "version", "", "the version to print; the current one if not given")
		},
		fetch: func(ctx context.Context, client *console.Client) (operator.ShowResponse, error) {
			return client.Show(ctx, version)
		},
		print: func(answer operator.ShowResponse) error {
			_, err := fmt.Fprintf(deps.Stdout, "; version %d\n%s", answer.Version, answer.Text)
			return err
		},
	}.command(deps)
}
