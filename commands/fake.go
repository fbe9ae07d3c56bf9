package commands

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"sequoialead"
	"sequoialead/core/services"
	fakeengine "sequoialead/fake/engine"
	fakelist "sequoialead/fake/list"
	fakelog "sequoialead/fake/log"
	iolist "sequoialead/io/list"
	"sequoialead/io/web"
)

func newFake(deps Deps) *ffcli.Command {
	return &ffcli.Command{
		Name:        "fake",
		ShortUsage:  "sequoialead fake log|list|engine [FLAGS]",
		ShortHelp:   "run a stand-in for an outside system",
		FlagSet:     newFlags("sequoialead fake", deps),
		Subcommands: []*ffcli.Command{newFakeLog(deps), newFakeList(deps), newFakeEngine(deps)},
		Exec: func(context.Context, []string) error {
			return sequoialead.ErrSettings.New("give the name of a stand-in: log, list or engine")
		},
	}
}

func newFakeLog(deps Deps) *ffcli.Command {
	var addr netip.AddrPort
	flags := newFlags("sequoialead fake log", deps)
	flags.TextVar(&addr, "addr", netip.AddrPort{}, "IP:PORT to listen on")
	return &ffcli.Command{
		Name:      "log",
		ShortHelp: "run a stand-in for the platform's log",
		FlagSet:   flags,
		Exec: func(ctx context.Context, _ []string) error {
			return serveFake(ctx, deps, "log", addr, fakelog.New())
		},
	}
}

func newFakeList(deps Deps) *ffcli.Command {
	var addr netip.AddrPort
	flags := newFlags("sequoialead fake list", deps)
	flags.TextVar(&addr, "addr", netip.AddrPort{}, "IP:PORT to listen on")
	file := flags.String("file", "", "a JSON file with the instances")
	return &ffcli.Command{
		Name:      "list",
		ShortHelp: "run a stand-in for the platform's instance list",
		FlagSet:   flags,
		Exec: func(ctx context.Context, _ []string) error {
			instances := []iolist.Instance{}
			if *file != "" {
				raw, err := os.ReadFile(*file)
				if err != nil {
					return sequoialead.ErrSettings.Wrap(err, "--file %s cannot be read", *file)
				}
				if err := json.Unmarshal(raw, &instances); err != nil {
					return sequoialead.ErrSettings.Wrap(err, "--file %s is not a JSON list of instances", *file)
				}
			}
			return serveFake(ctx, deps, "list", addr, fakelist.New(instances))
		},
	}
}

func newFakeEngine(deps Deps) *ffcli.Command {
	var addr netip.AddrPort
	var o fakeengine.Options
	flags := newFlags("sequoialead fake engine", deps)
	flags.TextVar(&addr, "addr", netip.AddrPort{}, "IP:PORT to listen on")
	flags.IntVar(&o.WarmLimit, "full", 8, "calls that run at once when warm")
	flags.IntVar(&o.ColdLimit, "cold", 1, "calls that run at once right after a start")
	flags.DurationVar(&o.ServiceTime, "work", 10*time.Millisecond, "time of a call, or to a generation's first token")
	flags.DurationVar(&o.TokenInterval, "token", time.Millisecond, "time between tokens of one stream")
	flags.BoolVar(&o.Fence, "fence", false, "refuse calls that name an earlier boot ID")
	flags.BoolVar(&o.Record, "record", false, "count how often the work of each call is run")
	flags.IntVar(&o.CacheBlocks, "blocks", 4096, "the capacity of the prefix cache in prompt blocks")
	return &ffcli.Command{
		Name:      "engine",
		ShortHelp: "run a stand-in for a backend server of any kind",
		FlagSet:   flags,
		Exec: func(ctx context.Context, _ []string) error {
			engine, err := fakeengine.New(o)
			if err != nil {
				return err
			}
			return serveFake(ctx, deps, "engine", addr, engine)
		},
	}
}

func serveFake(ctx context.Context, deps Deps, kind string, addr netip.AddrPort, handler http.Handler) error {
	if !addr.IsValid() {
		return sequoialead.ErrSettings.New("--addr is missing; give IP:PORT")
	}
	group := services.New()
	group.Add(nameWeb, web.New(web.Options{Addr: addr, Handler: handler}))
	log, logs := newLogger(deps, 0)
	defer func() { _ = logs.Close() }() // Close always returns nil
	log = log.WithValues("role", "fake", "kind", kind, "addr", addr)
	return serve(ctx, group, log, func() error { return nil })
}
