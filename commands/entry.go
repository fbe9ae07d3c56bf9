package commands

import (
	"context"
	"flag"
	"net/netip"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"sequoialead/core/claims"
	"sequoialead/core/mac"
	"sequoialead/core/services"
	"sequoialead/core/settings"
)

// Defaults of an entry's settings.
const (
	defaultLag      = 5 * time.Second
	defaultGrace    = 30 * time.Second
	defaultSnapshot = 10 * time.Minute
	defaultCover    = 4
	defaultAnswer   = 4 << 20
)

func (s *entrySettings) bind(flags *flag.FlagSet) {
	settings.Name(flags, &s.name, "name", "the instance's name in the instance list")
	settings.Name(flags, &s.region, "region", "the region that the instance is in")
	settings.Name(flags, &s.domain, "domain", "the failure domain that the instance is in")
	flags.TextVar(&s.addr, "addr", netip.AddrPort{}, "IP:PORT to listen on")
	flags.TextVar(&s.log, "log", netip.AddrPort{}, "IP:PORT of the platform's log")
	flags.TextVar(&s.list, "list", netip.AddrPort{}, "IP:PORT of the platform's instance list")
	flags.StringVar(&s.fleet, "fleet", "", "the fleet's key, the same in every process")
	flags.Var(&s.operators, "operators", "NAME:SHA256 of each operator's key, separated by commas")
	flags.DurationVar(&s.lag, "lag", defaultLag, "how long the balancer takes to notice that the entry is stopping, such as 5s")
	flags.DurationVar(&s.grace, "grace", defaultGrace, "the maximum wait for requests in flight when stopping, such as 30s")
	flags.DurationVar(&s.snapshot, "snapshot", defaultSnapshot, "the maximum time between snapshots in the log, less than the log's retention, such as 10m")
	flags.DurationVar(&s.window, "window", claims.DefaultWindow, "how long an idempotency key is remembered, less than the log's retention, such as 1h")
	flags.IntVar(&s.cover, "cover", defaultCover, "the number of entries that connect to each agent of a large pool")
	flags.IntVar(&s.answer, "answer", defaultAnswer, "the maximum size of an answer in bytes")
}

func newEntry(deps Deps) *ffcli.Command {
	var s entrySettings
	flags := newFlags("sequoialead entry", deps)
	s.bind(flags)
	verbosity := flags.Int("verbosity", 0, "the verbosity of the log, from 0")
	flags.String("config", "", "the INI file with these settings")
	parser := settings.New(flags, "name", "domain", "addr", "log", "list", "fleet", "operators")
	return &ffcli.Command{
		Name:       "entry",
		ShortUsage: "sequoialead entry --config FILE [FLAGS]",
		ShortHelp:  "run an entry, which accepts callers' requests",
		FlagSet:    flags,
		Options:    parser.Options(),
		Exec: func(ctx context.Context, _ []string) error {
			if err := parser.CheckRequired(); err != nil {
				return err
			}
			if _, err := mac.New(s.fleet); err != nil {
				return parser.KeyError("fleet", err)
			}
			log, logs := newLogger(deps, *verbosity)
			defer func() { _ = logs.Close() }() // Close always returns nil
			log = log.WithValues("role", "entry", "instance", s.name)
			group := services.New()
			if err := buildEntry(group, s, log); err != nil {
				return err
			}
			return serve(ctx, group, log, func() error { return stopEntry(group, s.lag) })
		},
	}
}
