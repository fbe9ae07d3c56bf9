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
		ShortHelp:  "reconstruct from logs what happened to a request",
		LongHelp:   "Reads the logs of any number of processes, or standard input, and prints the events of one request in order, with the cause of its outcome.",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return sequoialead.ErrInvalid.New("the request's ID is missing; give it first, followed by the log files")
			}
			timeline := explain.New(args[0])
			if len(args) == 1 {
				if err := timeline.ReadLog(os.Stdin); err != nil {
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
		return sequoialead.ErrInvalid.Wrap(err, "log %s cannot be read; give the name of a readable file", name)
	}
	defer func() { _ = file.Close() }() // the file was only read, so no data can be lost
	return timeline.ReadLog(file)
}

func printTimeline(w io.Writer, timeline *explain.Timeline, asJSON bool) error {
	steps := timeline.Steps()
	if len(steps) == 0 {
		return sequoialead.ErrInvalid.New("the logs contain no event of request %s; give the logs of every entry, and look for event=log-dropped, which means that lines were discarded", timeline.ID())
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
