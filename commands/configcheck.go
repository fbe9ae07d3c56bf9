package commands

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/peterbourgon/ff/v3/ffcli"

	"sequoialead"
	"sequoialead/core/configcheck"
	"sequoialead/core/proxyconfig"
	"sequoialead/io/http1"
	"sequoialead/platform"
)

// storeReadTimeout is the timeout of reading the configuration in force. An operator waits
// for it, and a store that needs longer is not in a state to write to either.
const storeReadTimeout = 5 * time.Second

const storeReadTries = 3

func newConfig(deps Deps) *ffcli.Command {
	return &ffcli.Command{
		Name:        "config",
		ShortUsage:  "sequoialead config check [FLAGS] FILE",
		ShortHelp:   "check a configuration of the gateways before it is written",
		FlagSet:     newFlags("sequoialead config", deps),
		Subcommands: []*ffcli.Command{newConfigCheck(deps)},
		Exec: func(context.Context, []string) error {
			return sequoialead.ErrSettings.New("give what to do: check")
		},
	}
}

func newConfigCheck(deps Deps) *ffcli.Command {
	var check configCheck
	flags := newFlags("sequoialead config check", deps)
	flags.StringVar(&check.against, "against", "", "a file with the configuration in force, to list what changes")
	flags.TextVar(&check.store, "store", netip.AddrPort{}, "IP:PORT of the platform's store, to list what changes from the configuration in force")
	flags.BoolVar(&check.json, "json", false, "print JSON")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "sequoialead config check [--against FILE | --store IP:PORT] [--json] FILE",
		ShortHelp:  "report faults of a configuration, and what it changes",
		LongHelp: "Prints one finding a line: its place, severity, code, path and text. Errors make gateways ignore the version; with warnings it doesn't work as written; changes are no faults.\n\n" +
			"Exit codes: 0 no faults, 1 errors or warnings, 2 bad usage, or a file or the store cannot be read.",
		FlagSet: flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return sequoialead.ErrSettings.New("give one file with a configuration, after the flags")
			}
			return check.run(ctx, deps, args[0])
		},
	}
}

type configCheck struct {
	against string
	store   netip.AddrPort
	json    bool
}

// configReport is the result of a check in JSON. Faults and Changes are never null.
type configReport struct {
	File    string                `json:"file"`
	Version sequoialead.Version   `json:"version"`
	Faults  []configcheck.Finding `json:"faults"`
	Changes []configcheck.Finding `json:"changes"`
}

func (c *configCheck) run(ctx context.Context, deps Deps, name string) error {
	raw, err := os.ReadFile(name)
	if err != nil {
		return sequoialead.ErrSettings.Wrap(err, "%s cannot be read", name)
	}
	inForce, err := c.readInForce(ctx)
	if err != nil {
		return err
	}
	source := platform.Decoder{}.Source(raw)
	report := configReport{File: name, Faults: []configcheck.Finding{}, Changes: []configcheck.Finding{}}
	findings := configcheck.Check(source)
	if source.Config != nil {
		report.Version = source.Config.Version
		if inForce != nil {
			findings = append(findings, configcheck.Compare(inForce, source)...)
		}
	}
	for _, f := range findings {
		if f.Severity == configcheck.SeverityChange {
			report.Changes = append(report.Changes, f)
		} else {
			report.Faults = append(report.Faults, f)
		}
	}
	if c.json {
		err = printJSON(deps.Stdout, report)
	} else {
		err = report.print(deps.Stdout)
	}
	if err == nil && len(report.Faults) > 0 {
		err = sequoialead.ErrFailed.New("%s has errors or warnings: %d", name, len(report.Faults))
	}
	return err
}

func (r configReport) print(w io.Writer) error {
	for _, f := range append(r.Faults, r.Changes...) {
		place := r.File
		if f.Line > 0 {
			place = fmt.Sprintf("%s:%d:%d", r.File, f.Line, f.Column)
		}
		path := ""
		if f.Path != "" {
			path = " " + f.Path
		}
		if _, err := fmt.Fprintf(w, "%s: %s %s%s: %s\n", place, f.Severity, f.Code, path, f.Text); err != nil {
			return err
		}
	}
	return nil
}

// readInForce returns the configuration to compare with; nil if no flag asks for it. All
// errors are ErrSettings.
func (c *configCheck) readInForce(ctx context.Context) (*proxyconfig.Config, error) {
	switch {
	case c.against != "" && c.store.IsValid():
		return nil, sequoialead.ErrSettings.New("give --against or --store, not both")
	case c.against != "":
		raw, err := os.ReadFile(c.against)
		if err != nil {
			return nil, sequoialead.ErrSettings.Wrap(err, "--against %s cannot be read", c.against)
		}
		conf, err := platform.Decoder{}.Config(raw)
		if err != nil {
			return nil, sequoialead.ErrSettings.Wrap(err, "--against %s is not a configuration; check it by itself", c.against)
		}
		return conf, nil
	case c.store.IsValid():
		return readStoredConfig(ctx, c.store)
	}
	return nil, nil
}

// readStoredConfig returns the newest configuration in the store, which is empty if there
// is none. All errors are ErrSettings.
func readStoredConfig(ctx context.Context, addr netip.AddrPort) (*proxyconfig.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	client := http1.New(http1.Options{ConnectTimeout: connectTimeout, AckTimeout: ackTimeout, IdleTimeout: idleConnTimeout})
	defer func() { _ = client.Close() }() // there are no requests left to fail
	page, err := backoff.Retry(ctx, func() (sequoialead.Page, error) {
		return platform.NewStore(client, addr).Newest(ctx, sequoialead.TopicOperator)
	}, backoff.WithMaxTries(storeReadTries))
	if err != nil {
		return nil, sequoialead.ErrSettings.Wrap(err, "--store %s cannot be read", addr)
	}
	decoder := platform.Decoder{}
	for _, item := range page.Items {
		if configuration, _ := decoder.Operator(item.Key); !configuration || len(item.Value) == 0 {
			continue
		}
		conf, err := decoder.Config(item.Value)
		if err != nil {
			return nil, sequoialead.ErrSettings.Wrap(err, "the newest configuration in the store at %s cannot be decoded; gateways use an earlier one, so give that with --against", addr)
		}
		return conf, nil
	}
	return &proxyconfig.Config{}, nil
}
