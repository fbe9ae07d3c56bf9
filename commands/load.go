package commands

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"sequoialead"
	"sequoialead/core/report"
	"sequoialead/core/workload"
)

// baselineChanges returns the changes that disable every policy and select
// round-robin routing.
func baselineChanges() []string {
	return []string{"policy.router=round", "policy.early=no", "policy.fair=no", "policy.warm=no", "policy.retries=0", "policy.eject=no"}
}

func newLoad(deps Deps) *ffcli.Command {
	var runner loadRunner
	flags := newFlags("sequoialead load", deps)
	runner.bind(flags)
	flags.StringVar(&runner.site, "site", "", "a folder with site.ini, which gives the entries and the backend servers that actions make cold, slow or failing")
	flags.StringVar(&runner.out, "out", "", "a file for the report in JSON; a plot is written to the same name with .svg added")
	flags.BoolVar(&runner.baseline, "baseline", false, "run the load a second time with every policy disabled, and compare")
	flags.Float64Var(&runner.scale, "scale", 1, "a factor for the mix's rate")
	flags.DurationVar(&runner.settle, "settle", defaultSettle, "the pause between the two runs")
	return &ffcli.Command{
		Name:        "load",
		ShortUsage:  "sequoialead load [FLAGS] MIX",
		ShortHelp:   "run a load test against a running system and report on it",
		FlagSet:     flags,
		Options:     runner.options(),
		Subcommands: []*ffcli.Command{newLoadCompare(deps)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return sequoialead.ErrSettings.New("give one mix file, for example examples/whiskerlane/mixes/steady.ini")
			}
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return sequoialead.ErrSettings.Wrap(err, "%s cannot be read", args[0])
			}
			w, err := workload.Parse(args[0], raw)
			if err != nil {
				return err
			}
			w.Rate *= runner.scale
			reports, err := runner.run(ctx, deps, w)
			if err != nil {
				return err
			}
			if err := runner.write(reports); err != nil {
				return err
			}
			if runner.json {
				return printJSON(deps.Stdout, reports)
			}
			return printTable(deps.Stdout, report.Compare(reports...))
		},
	}
}

// write writes the reports and their plot to files, if --out is given.
func (l *loadRunner) write(reports []*report.Report) error {
	if l.out == "" {
		return nil
	}
	raw, err := json.MarshalIndent(reports, "", " ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(l.out), directoryMode); err != nil {
		return err
	}
	if err := os.WriteFile(l.out, raw, privateFileMode); err != nil {
		return err
	}
	plotFile, err := os.Create(l.out + ".svg")
	if err != nil {
		return err
	}
	return errors.Join(report.Plot(plotFile, reports...), plotFile.Close())
}

func newLoadCompare(deps Deps) *ffcli.Command {
	flags := newFlags("sequoialead load compare", deps)
	return &ffcli.Command{
		Name:       "compare",
		ShortUsage: "sequoialead load compare REPORT...",
		ShortHelp:  "print reports side by side",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			var all []*report.Report
			for _, path := range args {
				raw, err := os.ReadFile(path)
				if err != nil {
					return sequoialead.ErrSettings.Wrap(err, "%s cannot be read", path)
				}
				var some []*report.Report
				if err := json.Unmarshal(raw, &some); err != nil {
					return sequoialead.ErrSettings.Wrap(err, "%s is not a report of 'sequoialead load --out'", path)
				}
				all = append(all, some...)
			}
			if len(all) == 0 {
				return sequoialead.ErrSettings.New("give reports made with 'sequoialead load --out FILE'")
			}
			return printTable(deps.Stdout, report.Compare(all...))
		},
	}
}

// printProgress prints the elapsed time of a load test and the numbers of requests
// sent and in flight.
func printProgress(deps Deps, name string, at, length time.Duration, sent, inFlight int) {
	fmt.Fprintf(deps.Stderr, "%s: %s of %s, %d sent, %d in flight\n", name, at.Round(time.Second), length, sent, inFlight)
}
