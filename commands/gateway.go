package commands

import (
	"context"
	"flag"
	"net/netip"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"sequoialead/core/forward"
	"sequoialead/core/kernel"
	"sequoialead/core/pool"
	"sequoialead/core/retries"
	"sequoialead/core/settings"
)

// gatewaySettings are the settings of an entry on the users' platform.
type gatewaySettings struct {
	name   string
	domain string
	addr   netip.AddrPort
	ready  netip.AddrPort
	peers  netip.AddrPort
	// reach is where other entries find peers, if that is another address.
	reach   netip.AddrPort
	metrics netip.AddrPort
	store   netip.AddrPort
	// memory is the most that the process may use, in megabytes.
	memory  int
	entries int
	grace   time.Duration
	revoke  time.Duration
	drain   time.Duration
	apply   time.Duration
	ratio   float64
	extra   float64
	window  time.Duration
	over    float64
	slack   float64
	level   int
}

// Defaults of a gateway's settings, which the platform's own figures replace.
const (
	defaultGatewayMemory  = 256
	defaultGatewayEntries = 16
	defaultGatewayGrace   = 8 * time.Second
	defaultGatewayRevoke  = 5 * time.Second
	defaultGatewayDrain   = 2 * time.Second
	defaultGatewayApply   = 2 * time.Second
	defaultRetryRatio     = 0.2
	defaultRetryExtra     = 20
	defaultRetryWindow    = 10 * time.Second
	defaultColdOver       = 1.0
)

func (s *gatewaySettings) bind(flags *flag.FlagSet) {
	settings.Name(flags, &s.name, "name", "the instance's name, unlike that of any other entry")
	settings.Name(flags, &s.domain, "domain", "the failure domain that the instance is in")
	flags.TextVar(&s.addr, "addr", netip.AddrPort{}, "IP:PORT to listen on for callers")
	flags.TextVar(&s.ready, "ready", netip.AddrPort{}, "IP:PORT to listen on for the balancer's readiness checks")
	flags.TextVar(&s.peers, "peers", netip.AddrPort{}, "IP:PORT to listen on for the other entries")
	flags.TextVar(&s.reach, "reach", netip.AddrPort{}, "IP:PORT where the other entries reach peers, if not there")
	flags.TextVar(&s.metrics, "metrics", netip.AddrPort{}, "IP:PORT to serve metrics on; none if missing")
	flags.TextVar(&s.store, "store", netip.AddrPort{}, "IP:PORT of the platform's store")
	flags.IntVar(&s.memory, "memory", defaultGatewayMemory, "the most memory in megabytes, such as 256")
	flags.IntVar(&s.entries, "entries", defaultGatewayEntries, "the number of entries to go by until the store was read")
	flags.DurationVar(&s.grace, "grace", defaultGatewayGrace, "the time between the signal to stop and the end, such as 8s")
	flags.DurationVar(&s.revoke, "revoke", defaultGatewayRevoke, "the time within which a key that was taken away is refused, such as 5s")
	flags.DurationVar(&s.apply, "apply", defaultGatewayApply, "the time within which a configuration is in force, such as 2s")
	flags.DurationVar(&s.drain, "drain", defaultGatewayDrain, "the time within which a backend server that leaves gets nothing more, such as 2s")
	flags.Float64Var(&s.ratio, "ratio", defaultRetryRatio, "the retries allowed for each request, by all entries together, such as 0.2")
	flags.Float64Var(&s.extra, "extra", defaultRetryExtra, "the retries allowed besides, by all entries together, such as 20")
	flags.DurationVar(&s.window, "window", defaultRetryWindow, "the time in which retries are counted, such as 10s")
	flags.Float64Var(&s.over, "over", defaultColdOver, "the factor on the rate that a cold backend server bears, such as 1.5")
	flags.Float64Var(&s.slack, "slack", 0, "the requests a second that a cold backend server bears besides, such as 5")
	flags.IntVar(&s.level, "level", 0, "the level of log events, from 0")
}

// announced returns the address that other entries are told.
func (s *gatewaySettings) announced() netip.AddrPort {
	if s.reach.IsValid() {
		return s.reach
	}
	return s.peers
}

// bounds returns the settings that may change while the process runs.
func (s *gatewaySettings) bounds() forward.Bounds {
	return forward.Bounds{
		Revoke: s.revoke,
		Bounds: pool.Bounds{
			Retries:  retries.Options{Ratio: s.ratio, Extra: s.extra, Window: s.window},
			ColdOver: s.over, ColdSlack: s.slack,
		},
	}
}

func newGateway(deps Deps) *ffcli.Command {
	var s gatewaySettings
	flags := newFlags("sequoialead gateway", deps)
	s.bind(flags)
	check := flags.Bool("check", false, "only tell whether the settings can be used")
	file := flags.String("config", "", "the INI file with these settings")
	parser := settings.New(flags, gatewayKeys()...)
	return &ffcli.Command{
		Name:       "gateway",
		ShortUsage: "sequoialead gateway --config FILE [--check] [FLAGS]",
		ShortHelp:  "run an entry on the users' platform, which passes requests through",
		FlagSet:    flags,
		Options:    parser.Options(),
		Exec: func(ctx context.Context, _ []string) error {
			if err := parser.CheckRequired(); err != nil {
				return err
			}
			if *check {
				return nil
			}
			log, logs := newLogger(deps, s.level)
			defer func() { _ = logs.Close() }() // always nil
			log = log.WithValues("role", "gateway", "instance", s.name)
			k := kernel.New()
			buildGateway(k, s, log)
			if *file != "" {
				addReload(k, *file, s, log)
			}
			return serve(ctx, k, log, func() error { return stopGateway(k, s.grace) })
		},
	}
}

// gatewayKeys returns the settings that must be given.
func gatewayKeys() []string { return []string{"name", "domain", "addr", "ready", "peers", "store"} }
