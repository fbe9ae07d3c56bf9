package commands

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"
	"k8s.io/klog/v2"

	"sequoialead"
	"sequoialead/common/digest"
	"sequoialead/core/claims"
	"sequoialead/core/document"
	"sequoialead/core/services"
	"sequoialead/core/settings"
	"sequoialead/core/site"
	fakeengine "sequoialead/fake/engine"
	fakelist "sequoialead/fake/list"
	fakelog "sequoialead/fake/log"
	"sequoialead/io/console"
	"sequoialead/io/list"
	"sequoialead/io/operator"
	"sequoialead/io/web"
)

const (
	fileSite          = "site.ini"
	fileConfiguration = "configuration.ini"
	devLag            = 100 * time.Millisecond
	devGrace          = 5 * time.Second
	devBlocks         = 4096
	devSetupTimeout   = 10 * time.Second
)

func newDev(deps Deps) *ffcli.Command {
	flags := newFlags("sequoialead dev", deps)
	dir := flags.String("site", "examples/whiskerlane", "the folder with site.ini and configuration.ini")
	verbosity := flags.Int("verbosity", -1, "the verbosity of the log, from 0; negative for errors only")
	return &ffcli.Command{
		Name:       "dev",
		ShortUsage: "sequoialead dev [--site DIR]",
		ShortHelp:  "run a complete system with stand-ins for outside systems in one process",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			s, err := readSite(*dir)
			if err != nil {
				return err
			}
			log, logs := newLogger(deps, *verbosity)
			defer func() { _ = logs.Close() }() // Close always returns nil
			group := services.New()
			if err := buildSite(group, s, log); err != nil {
				return err
			}
			return serve(ctx, &devGroup{Group: group, afterStart: func(ctx context.Context) error {
				if err := applyConfiguration(ctx, s, filepath.Join(*dir, fileConfiguration)); err != nil {
					return err
				}
				fmt.Fprintf(deps.Stdout, "ready: callers at http://%s, operator %q has the key %q; stop with Ctrl-C\n", s.Entries[0].Addr, s.Operator, s.OperatorKey)
				return nil
			}}, log, func() error { return nil })
		},
	}
}

// devGroup is a group that calls afterStart once all services run.
type devGroup struct {
	*services.Group
	afterStart func(context.Context) error
}

// Start starts the services and calls afterStart.
func (g *devGroup) Start(ctx context.Context) error {
	if err := g.Group.Start(ctx); err != nil {
		return err
	}
	return g.afterStart(ctx)
}

func readSite(dir string) (*site.Site, error) {
	path := filepath.Join(dir, fileSite)
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, sequoialead.ErrSettings.Wrap(err, "%s cannot be read; give a folder with --site", path)
	}
	return site.Parse(path, raw)
}

// buildSite adds the stand-ins, agents and entries of a site to a group. Each agent
// and entry has a group of its own, because their services have the same names.
func buildSite(group *services.Group, s *site.Site, log klog.Logger) error {
	group.Add("log", fakeServer(s.LogAddr, fakelog.New()))
	group.Add("list", fakeServer(s.ListAddr, fakelist.New(siteInstances(s))))
	for _, b := range s.Backends {
		engine, err := fakeengine.New(fakeengine.Options{WarmLimit: b.WarmLimit, ColdLimit: b.ColdLimit, ServiceTime: b.ServiceTime, TokenInterval: b.TokenInterval, CacheBlocks: devBlocks})
		if err != nil {
			return err
		}
		group.Add("backend/"+b.Name, fakeServer(b.ServerAddr, engine))
		agentGroup := services.New()
		if err := buildAgent(agentGroup, siteAgent(s, b)); err != nil {
			return err
		}
		group.Add("agent/"+b.Name, agentGroup)
	}
	for _, e := range s.Entries {
		entryGroup := services.New()
		if err := buildEntry(entryGroup, siteEntry(s, e), log.WithValues("role", "entry", "instance", e.Name)); err != nil {
			return err
		}
		group.Add("entry/"+e.Name, entryGroup)
	}
	return nil
}

func fakeServer(addr netip.AddrPort, handler http.Handler) sequoialead.Service {
	return web.New(web.Options{Addr: addr, Handler: handler})
}

func siteInstances(s *site.Site) []list.Instance {
	var instances []list.Instance
	for _, e := range s.Entries {
		instances = append(instances, list.Instance{Name: e.Name, Role: string(sequoialead.RoleEntry), Addr: e.Addr, Domain: e.Domain, Region: s.Region})
	}
	for _, b := range s.Backends {
		instances = append(instances, list.Instance{Name: b.Name, Role: string(sequoialead.RoleAgent), Addr: b.AgentAddr, Pool: b.Pool, Domain: b.Domain, Region: s.Region})
	}
	return instances
}

func siteEntry(s *site.Site, e site.Entry) entrySettings {
	return entrySettings{
		name:      e.Name,
		region:    s.Region,
		domain:    e.Domain,
		addr:      e.Addr,
		log:       s.LogAddr,
		list:      s.ListAddr,
		fleet:     s.FleetKey,
		operators: settings.Operators{digest.Of(s.OperatorKey): s.Operator},
		lag:       devLag,
		grace:     devGrace,
		snapshot:  defaultSnapshot,
		window:    claims.DefaultWindow,
		cover:     defaultCover,
		answer:    defaultAnswer,
	}
}

func siteAgent(s *site.Site, b site.Backend) agentSettings {
	return agentSettings{
		name:    b.Name,
		pool:    b.Pool,
		region:  s.Region,
		domain:  b.Domain,
		addr:    b.AgentAddr,
		backend: b.ServerAddr,
		fleet:   s.FleetKey,
		calls:   defaultCalls,
		memory:  defaultMemory,
		grace:   devGrace,
	}
}

// applyConfiguration applies the file as the first version of the configuration and
// waits until it is in force.
func applyConfiguration(ctx context.Context, s *site.Site, path string) error {
	ctx, cancel := context.WithTimeout(ctx, devSetupTimeout)
	defer cancel()
	raw, err := os.ReadFile(path)
	if err != nil {
		return sequoialead.ErrSettings.Wrap(err, "%s cannot be read", path)
	}
	doc, err := document.Parse(path, raw)
	if err != nil {
		return err
	}
	client, err := console.New(console.Options{Entries: []netip.AddrPort{s.Entries[0].Addr}, Key: s.OperatorKey})
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }() // Close always returns nil
	answer, err := client.Patch(ctx, operator.PatchRequest{ID: uuid.New(), Changes: doc.Changes(), Note: "from " + path})
	if err != nil {
		return err
	}
	if answer.Audit.Verdict != sequoialead.VerdictAccepted {
		return sequoialead.ErrInvalid.New("%s: %s", path, answer.Audit.Reason)
	}
	return waitForSite(ctx, client, answer.Audit.Version)
}

// waitForSite waits until the version is in force and all agents are connected.
func waitForSite(ctx context.Context, client *console.Client, version sequoialead.Version) error {
	for {
		outdated, err := findOutdated(ctx, client, version)
		if err == nil && len(outdated) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return sequoialead.ErrPlatform.New("the system did not become ready in time; entries and agents without the configuration, or not connected: %v", outdated)
		case <-time.After(pollPeriod):
		}
	}
}
