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
	"sequoialead/core/mix"
	"sequoialead/core/report"
)

// baselineChanges turn every policy into its plain baseline.
func baselineChanges() []string {
	return []string{"policy.router=round", "policy.early=no", "policy.fair=no", "policy.warm=no", "policy.retries=0", "policy.eject=no"}
}

func newLoad(deps Deps) *ffcli.Command {
	var l loader
	flags := newFlags("sequoialead load", deps)
	l.bind(flags)
	flags.StringVar(&l.site, "site", "", "a folder with site.ini, for the entries and the backend servers that actions turn cold, slow or broken")
	flags.StringVar(&l.out, "out", "", "a file for the report in JSON; a plot goes beside it as .svg")
	flags.BoolVar(&l.baseline, "baseline", false, "run the load a second time with each policy's plain baseline, and compare")
	flags.Float64Var(&l.scale, "scale", 1, "a factor for the mix's rate")
	flags.DurationVar(&l.settle, "settle", defaultSettle, "the pause between two runs")
	return &ffcli.Command{
		Name:        "load",
		ShortUsage:  "sequoialead load [FLAGS] MIX",
		ShortHelp:   "drive a running system with a load and report on it",
		FlagSet:     flags,
		Options:     l.options(),
		Subcommands: []*ffcli.Command{newLoadCompare(deps)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return sequoialead.ErrSettings.New("give one mix file, for example examples/whiskerlane/mixes/steady.ini")
			}
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return sequoialead.ErrSettings.Wrap(err, "%s cannot be read", args[0])
			}
			m, err := mix.Parse(args[0], raw)
			if err != nil {
				return err
			}
			m.Rate *= l.scale
			reports, err := l.run(ctx, deps, m)
			if err != nil {
				return err
			}
			if err := l.write(reports); err != nil {
				return err
			}
			if l.json {
				return printJSON(deps.Stdout, reports)
			}
			return printTable(deps.Stdout, report.Compare(reports...))
		},
	}
}

// write stores the reports and their plot.
func (l *loader) write(reports []*report.Report) error {
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
	if err := os.WriteFile(l.out, raw, settingsMode); err != nil {
		return err
	}
	picture, err := os.Create(l.out + ".svg")
	if err != nil {
		return err
	}
	return errors.Join(report.Plot(picture, reports...), picture.Close())
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
					return sequoialead.ErrSettings.Wrap(err, "%s is no report of 'sequoialead load --out'", path)
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

// progress prints a line while a load runs.
func progress(deps Deps, name string, at, length time.Duration, sent, open int) {
	fmt.Fprintf(deps.Stderr, "%s: %s of %s, %d sent, %d open\n", name, at.Round(time.Second), length, sent, open)
}
