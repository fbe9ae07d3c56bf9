package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"sequoialead"
	"sequoialead/core/explain"
)

func newExplain(deps Deps) *ffcli.Command {
	flags := newFlags("sequoialead explain", deps)
	asJSON := flags.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "sequoialead explain [--json] ID [FILE...]",
		ShortHelp:  "tell from logs what became of a request",
		LongHelp:   "Reads the logs of any number of processes, or standard input, and prints the path of one request in order, with the cause of its end.",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return sequoialead.ErrInvalid.New("the request's ID is missing; give it, and the log files")
			}
			timeline := explain.New(args[0])
			if len(args) == 1 {
				if err := timeline.Read(os.Stdin); err != nil {
					return err
				}
			}
			for _, name := range args[1:] {
				if err := readLog(timeline, name); err != nil {
					return err
				}
			}
			return printTimeline(deps.Stdout, timeline, *asJSON)
		},
	}
}

func readLog(timeline *explain.Timeline, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return sequoialead.ErrInvalid.Wrap(err, "log %s cannot be read; give a file", name)
	}
	defer func() { _ = file.Close() }() // it was only read
	return timeline.Read(file)
}

func printTimeline(w io.Writer, timeline *explain.Timeline, asJSON bool) error {
	steps := timeline.Steps()
	if len(steps) == 0 {
		return sequoialead.ErrInvalid.New("the logs have nothing on %s; give those of every entry, or look for it in failures that were not logged for want of room (event=log-dropped)", timeline.ID())
	}
	if asJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", " ")
		return e.Encode(map[string]any{"id": timeline.ID(), "steps": steps, "cause": timeline.Cause()})
	}
	for _, s := range steps {
		if _, err := fmt.Fprintf(w, "%9s  %-16s %s\n", s.At, s.Instance, s.Text); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "cause: %s\n", timeline.Cause())
	return err
}
