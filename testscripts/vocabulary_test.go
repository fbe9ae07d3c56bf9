package testscripts

import (
	"flag"
	"fmt"
	"io"
	"net/netip"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"sequoialead/common/digest"
	fakeengine "sequoialead/fake/engine"
	fakelog "sequoialead/fake/log"
	"sequoialead/fake/proxy"
)

type command func(ts *testscript.TestScript, f *fleet, args []string) error

// fleetCommands returns the commands of the scenario language by name.
func fleetCommands() map[string]func(*testscript.TestScript, bool, []string) {
	commands := map[string]command{
		"fleet":     cmdFleet,
		"start":     forEachName(func(f *fleet, name string) error { return f.startProcess(name) }),
		"term":      forEachName(func(f *fleet, name string) error { return f.stopProcess(name, syscall.SIGTERM) }),
		"crash":     forEachName(func(f *fleet, name string) error { return f.stopProcess(name, syscall.SIGKILL) }),
		"pause":     forEachName(func(f *fleet, name string) error { return f.signalProcess(name, syscall.SIGSTOP) }),
		"resume":    forEachName(func(f *fleet, name string) error { return f.signalProcess(name, syscall.SIGCONT) }),
		"cut":       setLinkFault(proxy.Fault{Cut: true}),
		"refuse":    setLinkFault(proxy.Fault{Refuse: true}),
		"delay":     setLinkFault(proxy.Fault{Delay: 20 * time.Millisecond, DelayAlternate: true}),
		"heal":      setLinkFault(proxy.Fault{}),
		"silence":   forEachLink((*proxy.Proxy).StallOpen),
		"late":      forEachLink(func(p *proxy.Proxy) { p.DelayOpen(lateDelay) }),
		"cold":      forEachBackend(func(f *fleet, name string) error { return f.setBackendFault(name, fakeengine.Fault{Cold: true}) }),
		"fail":      forEachBackend(func(f *fleet, name string) error { return f.setBackendFault(name, fakeengine.Fault{Fail: true}) }),
		"slow":      forEachBackend(func(f *fleet, name string) error { return f.setBackendFault(name, fakeengine.Fault{Slow: 10}) }),
		"cutstream": forEachBackend(func(f *fleet, name string) error { return f.setBackendFault(name, fakeengine.Fault{Cut: 3}) }),
		"mend":      forEachBackend(func(f *fleet, name string) error { return f.setBackendFault(name, fakeengine.Fault{}) }),
		"log":       cmdLog,
		"leaving":   cmdLeaving,
		"lag":       cmdLag,
		"call":      cmdCall,
		"again":     cmdAgain,
		"join":      cmdJoin,
		"expect":    cmdExpect,
		"mark":      cmdMark,
		"unchanged": cmdUnchanged,
		"changed":   cmdChanged,
		"sleep":     cmdSleep,
		"check":     cmdCheck,
		"over":      cmdOver,
		"stall":     cmdStall,
		"unstall":   cmdUnstall,
		"free":      cmdFree,
		"request":   cmdRequest,
		"answered":  cmdAnswered,
	}
	wrapped := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range commands {
		wrapped[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			err := run(ts, ts.Value(fleetKey{}).(*fleet), args)
			switch {
			case neg && err == nil:
				ts.Fatalf("%s %v succeeded, want an error", name, args)
			case !neg && err != nil:
				ts.Fatalf("%s %v: %v", name, args, err)
			}
		}
	}
	return wrapped
}

// forEachName returns a command that calls do for each of its arguments.
func forEachName(do func(*fleet, string) error) command {
	return func(_ *testscript.TestScript, f *fleet, args []string) error {
		for _, name := range args {
			if err := do(f, name); err != nil {
				return err
			}
		}
		return nil
	}
}

// forEachBackend returns a command that calls do for each backend server that its
// arguments select.
func forEachBackend(do func(*fleet, string) error) command {
	return forEachName(func(f *fleet, selector string) error {
		names := f.selectBackends(selector)
		if len(names) == 0 {
			return fmt.Errorf("%q matches no backend server", selector)
		}
		for _, name := range names {
			if err := do(f, name); err != nil {
				return err
			}
		}
		return nil
	})
}

// setLinkFault returns a command that replaces the fault of each link that it is
// given.
func setLinkFault(fault proxy.Fault) command {
	return forEachLink(func(p *proxy.Proxy) { p.SetFault(fault) })
}

// lateDelay exceeds the time after which an entry closes a silent connection and
// sends its calls again over another one.
const lateDelay = 1500 * time.Millisecond

// forEachLink returns a command that calls do with the proxy of each link that it
// is given.
func forEachLink(do func(*proxy.Proxy)) command {
	return forEachName(func(f *fleet, name string) error {
		p := f.proxies[name]
		if p == nil {
			return fmt.Errorf("no link %q", name)
		}
		do(p)
		return nil
	})
}

// cmdFleet starts the fleet described by fleet.ini and applies configuration.ini as
// version 1. With an argument, it takes both from the example of that name.
func cmdFleet(ts *testscript.TestScript, f *fleet, args []string) error {
	siteText, configuration := ts.ReadFile("fleet.ini"), ts.MkAbs("configuration.ini")
	if len(args) > 0 {
		dir := filepath.Join(ts.Getenv("EXAMPLES"), args[0])
		siteText, configuration = ts.ReadFile(filepath.Join(dir, "site.ini")), filepath.Join(dir, "configuration.ini")
		f.fullForm = true
	}
	if err := f.start(ts.MkAbs("."), []byte(siteText)); err != nil {
		return err
	}
	var entries []string
	for _, e := range f.site.Entries {
		entries = append(entries, e.Addr.String())
		ts.Setenv(strings.ReplaceAll(e.Name, "-", "_"), e.Addr.String())
	}
	ts.Setenv("SEQUOIALEAD_ENTRY", strings.Join(entries, ","))
	ts.Setenv("SEQUOIALEAD_KEY", f.site.OperatorKey)
	if err := f.awaitConnections(); err != nil {
		return err
	}
	return ts.Exec("sequoialead", "patch", "--base", "0", "--wait", "--file", configuration, "customer.c.key="+digest.Of(customerKey))
}

// cmdLog injects a fault into the stand-in for the log: down fails all requests, mute
// fails reads only, lose N drops the answers to N appends, keep N truncates each stream
// to its latest N records. up clears the fault.
func cmdLog(_ *testscript.TestScript, f *fleet, args []string) error {
	var fault fakelog.Fault
	n := 0
	if len(args) > 1 {
		var err error
		if n, err = strconv.Atoi(args[1]); err != nil {
			return err
		}
	}
	switch args[0] {
	case "up":
	case "down":
		fault.Down = true
	case "mute":
		fault.FailReads = true
	case "lose":
		fault.LoseAnswers = n
	case "keep":
		fault.Keep = n
	default:
		return fmt.Errorf("unknown fault %q", args[0])
	}
	return f.setLogFault(fault)
}

// cmdLeaving marks the named instances as leaving in the instance list, and no others.
func cmdLeaving(_ *testscript.TestScript, f *fleet, args []string) error {
	leaving := map[string]bool{}
	for _, name := range args {
		leaving[name] = true
	}
	return f.publishList(leaving)
}

// cmdLag sets the time by which the instance list lags behind changes.
func cmdLag(_ *testscript.TestScript, f *fleet, args []string) error {
	lag, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	return post(f.site.ListAddr, "/fault", map[string]any{"lag": lag})
}

// cmdCall sends requests: call [flags] ENTRY,...|any PIPELINE. With -bg it does not
// wait for them.
func cmdCall(_ *testscript.TestScript, f *fleet, args []string) error {
	var spec callSpec
	flags := flag.NewFlagSet("call", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.IntVar(&spec.count, "n", 1, "")
	flags.IntVar(&spec.concurrency, "at", 1, "")
	flags.StringVar(&spec.idempotencyKey, "key", "", "")
	flags.BoolVar(&spec.stream, "stream", false, "")
	flags.StringVar(&spec.deadline, "deadline", "", "")
	flags.DurationVar(&spec.interval, "pause", 0, "")
	flags.DurationVar(&spec.timeout, "quit", callTimeout, "")
	name := flags.String("bg", "", "")
	if err := flags.Parse(args); err != nil || flags.NArg() != 2 {
		return fmt.Errorf("usage: call [flags] ENTRY PIPELINE: %w", err)
	}
	spec.pipeline = flags.Arg(1)
	spec.useBalancer = flags.Arg(0) == "any"
	for _, e := range f.site.Entries {
		if spec.useBalancer || strings.Contains(","+flags.Arg(0)+",", ","+e.Name+",") {
			spec.entries = append(spec.entries, e.Addr)
		}
	}
	if len(spec.entries) == 0 {
		return fmt.Errorf("no entry %q", flags.Arg(0))
	}
	g := f.launchCalls(spec)
	if *name != "" {
		f.groups[*name] = g
		return nil
	}
	g.workers.Wait()
	f.lastGroup = g
	return nil
}

// cmdAgain repeats the latest calls, with the same idempotency keys, at an entry.
func cmdAgain(_ *testscript.TestScript, f *fleet, args []string) error {
	var spec callSpec
	flags := flag.NewFlagSet("again", flag.ContinueOnError)
	flags.IntVar(&spec.concurrency, "at", 1, "")
	if err := flags.Parse(args); err != nil || flags.NArg() != 1 {
		return fmt.Errorf("usage: again [-at N] ENTRY: %w", err)
	}
	e, err := f.entry(flags.Arg(0))
	if err != nil {
		return err
	}
	spec.entries = []netip.AddrPort{e.Addr}
	spec.timeout = callTimeout
	g := &callGroup{}
	for _, c := range f.lastGroup.calls {
		repeated := &call{id: c.id, pipeline: c.pipeline, idempotencyKey: c.idempotencyKey, sharedWork: true}
		g.calls = append(g.calls, repeated)
		f.calls = append(f.calls, repeated)
	}
	spec.startCalls(g)
	g.workers.Wait()
	f.lastGroup = g
	return nil
}

// cmdJoin waits for background calls, which become the latest calls.
func cmdJoin(ts *testscript.TestScript, f *fleet, args []string) error {
	g := f.groups[args[0]]
	if g == nil {
		return fmt.Errorf("no background calls %q", args[0])
	}
	g.workers.Wait()
	f.lastGroup = g
	ts.Logf("%s: %s", args[0], g)
	return nil
}
