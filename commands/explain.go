package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"sequoialead"
	"sequoialead/core/explain"
)

func newExplain(deps Deps) *ffcli.Command {
	flags := newFlags("sequoialead explain", deps)
	asJSON := flags.Bool("json", false, "print JSON")
	summary := flags.Bool("summary", false, "count the causes of all refusals, failures and late answers in the logs, with the ID of an example of each")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "sequoialead explain [--json] ID [FILE...] | --summary [--json] [FILE...]",
		ShortHelp:  "reconstruct from logs what happened to a request",
		LongHelp:   "Reads the logs of any number of processes, or standard input, and prints the events of one request in order, with the cause of its outcome. With --summary, it counts the causes of all requests that were not answered in time, and compares predicted with actual times. Of requests that were answered in time, logs hold only a sample.",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			if *summary {
				return explainSummary(deps.Stdout, args, *asJSON)
			}
			if len(args) == 0 {
				return sequoialead.ErrInvalid.New("the request's ID is missing; give it first, followed by the log files")
			}
			timeline := explain.New(args[0])
			if err := readLogs(timeline, args[1:]); err != nil {
				return err
			}
			return printTimeline(deps.Stdout, timeline, *asJSON)
		},
	}
}

// logReader collects events from logs.
type logReader interface {
	ReadLog(r io.Reader) error
}

// readLogs reads the named logs, or standard input if there are none.
func readLogs(to logReader, names []string) error {
	if len(names) == 0 {
		return to.ReadLog(os.Stdin)
	}
	for _, name := range names {
		if err := readLog(to, name); err != nil {
			return err
		}
	}
	return nil
}

func readLog(to logReader, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return sequoialead.ErrInvalid.Wrap(err, "log %s cannot be read; give the name of a readable file", name)
	}
	defer func() { _ = file.Close() }() // the file was only read, so no data can be lost
	return to.ReadLog(file)
}

// explainSummary prints the causes of all requests in the named logs.
func explainSummary(w io.Writer, names []string, asJSON bool) error {
	summary := explain.NewSummary()
	if err := readLogs(summary, names); err != nil {
		return err
	}
	if summary.Requests() == 0 {
		return sequoialead.ErrInvalid.New("the logs contain no event of any request; give the logs of every entry")
	}
	causes, predictions := summary.Causes(), summary.Predictions()
	if asJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", " ")
		return e.Encode(map[string]any{"requests": summary.Requests(), "causes": causes, "predictions": predictions})
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "%d requests\ncount\toutcome\treason\tcause\texample\n", summary.Requests()) // Flush returns the first error of a write
	for _, c := range causes {
		_, _ = fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\n", c.Count, c.Outcome, c.Reason, c.Text, c.Example)
	}
	if len(predictions) > 0 {
		_, _ = fmt.Fprintln(t, "\nlogged answers\tpool\troute\tpredicted p50, p90\tactual p50, p90")
	}
	for _, p := range predictions {
		_, _ = fmt.Fprintf(t, "%d\t%s\t%s\t%s, %s\t%s, %s\n", p.Count, p.Pool, p.Route, formatMillis(p.PredictedP50), formatMillis(p.PredictedP90), formatMillis(p.ActualP50), formatMillis(p.ActualP90))
	}
	return t.Flush()
}

func formatMillis(d time.Duration) string { return d.Round(time.Millisecond).String() }

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
