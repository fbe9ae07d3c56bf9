package commands

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func newCompletion(deps Deps, root *ffcli.Command) *ffcli.Command {
	return &ffcli.Command{
		Name:       "completion",
		ShortUsage: "sequoialead completion",
		ShortHelp:  "print a completion script for bash",
		LongHelp:   "Use it with: source <(sequoialead completion)",
		FlagSet:    newFlags("sequoialead completion", deps),
		Exec: func(context.Context, []string) error {
			_, err := fmt.Fprint(deps.Stdout, completion(root))
			return err
		},
	}
}

func completion(root *ffcli.Command) string {
	var names []string
	var cases strings.Builder
	for _, c := range root.Subcommands {
		names = append(names, c.Name)
		var words []string
		for _, sub := range c.Subcommands {
			words = append(words, sub.Name)
		}
		c.FlagSet.VisitAll(func(f *flag.Flag) { words = append(words, "--"+f.Name) })
		fmt.Fprintf(&cases, "    %s) words=%q ;;\n", c.Name, strings.Join(words, " "))
	}
	return fmt.Sprintf(`_sequoialead() {
  local words=%q
  case "${COMP_WORDS[1]}" in
%s  esac
  [ "$COMP_CWORD" -eq 1 ] && words=%q
  COMPREPLY=($(compgen -W "$words" -- "${COMP_WORDS[COMP_CWORD]}"))
}
complete -o default -F _sequoialead sequoialead
`, strings.Join(names, " "), cases.String(), strings.Join(names, " "))
}
