package commands

import (
	"context"
	"flag"
	"net/netip"

	"github.com/peterbourgon/ff/v3/ffcli"

	"sequoialead/core/mac"
	"sequoialead/core/services"
	"sequoialead/core/settings"
)

// Defaults of an agent's settings.
const (
	defaultCalls  = 8192
	defaultMemory = 64 << 20
)

func (s *agentSettings) bind(flags *flag.FlagSet) {
	settings.Name(flags, &s.name, "name", "the instance's name in the instance list")
	settings.Name(flags, &s.pool, "pool", "the pool that the backend server belongs to")
	settings.Name(flags, &s.region, "region", "the region that the instance is in")
	settings.Name(flags, &s.domain, "domain", "the failure domain that the instance is in")
	flags.TextVar(&s.addr, "addr", netip.AddrPort{}, "IP:PORT to listen on")
	flags.TextVar(&s.backend, "backend", netip.AddrPort{}, "IP:PORT of the backend server")
	flags.StringVar(&s.fleet, "fleet", "", "the fleet's key, the same in every process")
	flags.IntVar(&s.calls, "calls", defaultCalls, "the maximum number of calls that are tracked at once")
	flags.IntVar(&s.memory, "memory", defaultMemory, "the maximum number of bytes of requests and answers held at once")
	flags.DurationVar(&s.grace, "grace", defaultGrace, "the maximum wait for calls in flight when stopping, such as 30s")
}

func newAgent(deps Deps) *ffcli.Command {
	var s agentSettings
	flags := newFlags("sequoialead agent", deps)
	s.bind(flags)
	verbosity := flags.Int("verbosity", 0, "the verbosity of the log, from 0")
	flags.String("config", "", "the INI file with these settings")
	parser := settings.New(flags, "name", "pool", "domain", "addr", "backend", "fleet")
	return &ffcli.Command{
		Name:       "agent",
		ShortUsage: "sequoialead agent --config FILE [FLAGS]",
		ShortHelp:  "run an agent, which controls the load of one backend server",
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
			log = log.WithValues("role", "agent", "instance", s.name)
			group := services.New()
			if err := buildAgent(group, s); err != nil {
				return err
			}
			return serve(ctx, group, log, func() error { return stopAgent(group, s.grace) })
		},
	}
}
