package commands

import (
	"context"
	"flag"
	"net/netip"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"sequoialead/core/forward"
	"sequoialead/core/pool"
	"sequoialead/core/retries"
	"sequoialead/core/services"
	"sequoialead/core/settings"
)

// gatewaySettings are the settings of a gateway. bind describes each of them.
type gatewaySettings struct {
	name   string
	domain string
	addr   netip.AddrPort
	ready  netip.AddrPort
	peers  netip.AddrPort
	// reach is the address at which other entries reach this one. If it is not set,
	// they use peers, the address that this entry listens on for them.
	reach   netip.AddrPort
	metrics netip.AddrPort
	store   netip.AddrPort
	// memory is the maximum memory of the process, in MiB.
	memory int
	// files is the maximum number of descriptors of the process; 0 for the limit that the
	// process was started with.
	files int
	// cpu is the processor time that the machine provides, in cores.
	cpu     float64
	entries int
	grace   time.Duration
	revoke  time.Duration
	drain   time.Duration
	apply   time.Duration
	spread  time.Duration
	ratio   float64
	extra   float64
	window  time.Duration
	over    float64
	slack   float64
	hold    time.Duration
	outlier bool
	// admission makes requests be admitted and ended by a prediction for their whole path.
	admission bool
	balance   bool
	// placement selects model engines by the predicted time to the first token.
	placement bool
	// expose and exposeslack bound the requests that a bad version gets in a roll-out. With
	// expose 0, orders of roll-outs are ignored.
	expose      float64
	exposeslack float64
	rollback    time.Duration
	level       int
}

// Defaults of a gateway's settings. They are to be overridden with the values of the
// platform that it runs on.
const (
	defaultGatewayMemory  = 256
	defaultGatewayEntries = 16
	defaultGatewayGrace   = 8 * time.Second
	defaultGatewayRevoke  = 5 * time.Second
	defaultGatewayDrain   = 2 * time.Second
	defaultGatewayApply   = 2 * time.Second
	defaultGatewaySpread  = 3 * time.Second
	defaultRetryRatio     = 0.2
	defaultRetryExtra     = 20
	defaultRetryWindow    = 10 * time.Second
	defaultColdOver       = 1.0
	defaultGatewayHold    = 5 * time.Minute
	defaultRollback       = 5 * time.Second
)

func (s *gatewaySettings) bind(flags *flag.FlagSet) {
	settings.Name(flags, &s.name, "name", "the instance's name, unique among the entries")
	settings.Name(flags, &s.domain, "domain", "the failure domain that the instance is in")
	flags.TextVar(&s.addr, "addr", netip.AddrPort{}, "IP:PORT to listen on for callers")
	flags.TextVar(&s.ready, "ready", netip.AddrPort{}, "IP:PORT to listen on for the balancer's readiness checks")
	flags.TextVar(&s.peers, "peers", netip.AddrPort{}, "IP:PORT to listen on for the other entries")
	flags.TextVar(&s.reach, "reach", netip.AddrPort{}, "IP:PORT at which the other entries reach this one, if it differs from peers")
	flags.TextVar(&s.metrics, "metrics", netip.AddrPort{}, "IP:PORT to serve metrics on; no metrics if missing")
	flags.TextVar(&s.store, "store", netip.AddrPort{}, "IP:PORT of the platform's store")
	flags.IntVar(&s.memory, "memory", defaultGatewayMemory, "the maximum memory in megabytes, such as 256")
	flags.Func("files", "the maximum number of open files and connections, such as 1024; the process's own limit if missing or empty", func(value string) (err error) {
		s.files = 0
		if value != "" { // a platform that states no limit renders nothing
			s.files, err = strconv.Atoi(value)
		}
		return err
	})
	flags.Float64Var(&s.cpu, "cpu", 0, "the processor time that the machine provides, in cores, such as 0.3; entries with much of it work for the others")
	flags.IntVar(&s.entries, "entries", defaultGatewayEntries, "the number of entries to assume until the store has been read")
	flags.DurationVar(&s.grace, "grace", defaultGatewayGrace, "the maximum time from the signal to stop until the process exits, such as 8s")
	flags.DurationVar(&s.revoke, "revoke", defaultGatewayRevoke, "the time within which a revoked key is refused, such as 5s")
	flags.DurationVar(&s.apply, "apply", defaultGatewayApply, "the time within which a new configuration is in force, such as 2s")
	flags.DurationVar(&s.drain, "drain", defaultGatewayDrain, "the time within which a backend server that is leaving gets no more requests, such as 2s")
	flags.DurationVar(&s.spread, "spread", defaultGatewaySpread, "the time within which the entries know of prompts that crash backend servers, such as 3s")
	flags.Float64Var(&s.ratio, "ratio", defaultRetryRatio, "the number of retries allowed per request, over all entries, such as 0.2")
	flags.Float64Var(&s.extra, "extra", defaultRetryExtra, "the number of retries allowed in each window in addition to ratio, over all entries, such as 20")
	flags.DurationVar(&s.window, "window", defaultRetryWindow, "the sliding time window in which requests and retries are counted, such as 10s")
	flags.Float64Var(&s.over, "over", defaultColdOver, "the factor on the configured request rate of a cold backend server, such as 1.5")
	flags.Float64Var(&s.slack, "slack", 0, "the requests per second that a cold backend server may get in addition, such as 5")
	flags.DurationVar(&s.hold, "hold", defaultGatewayHold, "the longest time for which a backend server that wants no requests for a while gets none, such as 5m")
	flags.BoolVar(&s.outlier, "outlier", false, "eject backend servers that fail all requests although their records look good")
	flags.BoolVar(&s.admission, "admission", false, "admit requests, and end them, by a prediction for their whole path, and tell refused callers when a place is likely")
	flags.BoolVar(&s.balance, "balance", false, "whether pieces of stages are made wherever they are made soonest, and what is of no use any more is withdrawn")
	flags.BoolVar(&s.placement, "placement", false, "choose model engines by the predicted time to the first token")
	optionalFloat(flags, &s.expose, "expose", "the part of a service's requests that a bad version may get in a roll-out, over all entries, such as 0.1; orders of roll-outs are ignored if it is 0")
	optionalFloat(flags, &s.exposeslack, "exposeslack", "the number of requests that a bad version may get in addition to expose, such as 50")
	optionalDuration(flags, &s.rollback, "rollback", defaultRollback, "the time within which a bad version gets no more requests, such as 5s")
	flags.IntVar(&s.level, "level", 0, "the verbosity of the log, from 0")
}

// advertisedAddr returns the address at which other entries reach this one.
func (s *gatewaySettings) advertisedAddr() netip.AddrPort {
	if s.reach.IsValid() {
		return s.reach
	}
	return s.peers
}

// limits returns the settings that may change while the process runs.
func (s *gatewaySettings) limits() forward.Limits {
	return forward.Limits{
		Revoke: s.revoke,
		Limits: pool.Limits{
			Retries:    retries.Options{Ratio: s.ratio, Extra: s.extra, Window: s.window},
			ColdFactor: s.over, ColdSlack: s.slack, MaxHold: s.hold, Outlier: s.outlier,
		},
	}
}

func newGateway(deps Deps) *ffcli.Command {
	var s gatewaySettings
	flags := newFlags("sequoialead gateway", deps)
	s.bind(flags)
	check := flags.Bool("check", false, "only check the settings and exit")
	file := flags.String("config", "", "the INI file with these settings")
	parser := settings.New(flags, gatewayKeys()...)
	return &ffcli.Command{
		Name:       "gateway",
		ShortUsage: "sequoialead gateway --config FILE [--check] [FLAGS]",
		ShortHelp:  "run a gateway: an entry on the users' platform, which passes requests through",
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
			defer func() { _ = logs.Close() }() // Close always returns nil
			log = log.WithValues("role", "gateway", "instance", s.name)
			group := services.New()
			buildGateway(group, s, log)
			if *file != "" {
				addReloader(group, *file, s, log)
			}
			return serve(ctx, group, log, func() error { return stopGateway(group, s.grace) })
		},
	}
}

// gatewayKeys returns the names of the settings that are required.
func gatewayKeys() []string { return []string{"name", "domain", "addr", "ready", "peers", "store"} }
