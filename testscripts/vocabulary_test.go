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

// fleetCommands returns the vocabulary of the scenarios.
func fleetCommands() map[string]func(*testscript.TestScript, bool, []string) {
	all := map[string]command{
		"fleet":     cmdFleet,
		"start":     each(func(f *fleet, name string) error { return f.run(name) }),
		"term":      each(func(f *fleet, name string) error { return f.end(name, syscall.SIGTERM) }),
		"crash":     each(func(f *fleet, name string) error { return f.end(name, syscall.SIGKILL) }),
		"pause":     each(func(f *fleet, name string) error { return f.signal(name, syscall.SIGSTOP) }),
		"resume":    each(func(f *fleet, name string) error { return f.signal(name, syscall.SIGCONT) }),
		"cut":       links(proxy.Fault{Cut: true}),
		"refuse":    links(proxy.Fault{Refuse: true}),
		"delay":     links(proxy.Fault{Delay: 20 * time.Millisecond, Odd: true}),
		"heal":      links(proxy.Fault{}),
		"silence":   open((*proxy.Proxy).Silence),
		"late":      open(func(p *proxy.Proxy) { p.Late(lateBy) }),
		"cold":      backends(func(f *fleet, name string) error { return f.backendFault(name, fakeengine.Fault{Cold: true}) }),
		"fail":      backends(func(f *fleet, name string) error { return f.backendFault(name, fakeengine.Fault{Fail: true}) }),
		"slow":      backends(func(f *fleet, name string) error { return f.backendFault(name, fakeengine.Fault{Slow: 10}) }),
		"cutstream": backends(func(f *fleet, name string) error { return f.backendFault(name, fakeengine.Fault{Cut: 3}) }),
		"mend":      backends(func(f *fleet, name string) error { return f.backendFault(name, fakeengine.Fault{}) }),
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
	for name, run := range all {
		wrapped[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			err := run(ts, ts.Value(fleetKey{}).(*fleet), args)
			switch {
			case neg && err == nil:
				ts.Fatalf("%s %v went well", name, args)
			case !neg && err != nil:
				ts.Fatalf("%s %v: %v", name, args, err)
			}
		}
	}
	return wrapped
}

func each(do func(*fleet, string) error) command {
	return func(_ *testscript.TestScript, f *fleet, args []string) error {
		for _, name := range args {
			if err := do(f, name); err != nil {
				return err
			}
		}
		return nil
	}
}

func backends(do func(*fleet, string) error) command {
	return each(func(f *fleet, word string) error {
		names := f.selected(word)
		if len(names) == 0 {
			return fmt.Errorf("%q selects no backend server", word)
		}
		for _, name := range names {
			if err := do(f, name); err != nil {
				return err
			}
		}
		return nil
	})
}

func links(fault proxy.Fault) command {
	return open(func(p *proxy.Proxy) { p.Fail(fault) })
}

// lateBy is longer than a connection may be silent before its calls are sent
// again over another.
const lateBy = 1500 * time.Millisecond

// open does something to links and the connections that are open on them.
func open(do func(*proxy.Proxy)) command {
	return each(func(f *fleet, name string) error {
		p := f.proxies[name]
		if p == nil {
			return fmt.Errorf("no link %q", name)
		}
		do(p)
		return nil
	})
}

// cmdFleet starts the fleet of fleet.ini and makes configuration.ini its first
// version, or does so with the example of the name given.
func cmdFleet(ts *testscript.TestScript, f *fleet, args []string) error {
	text, configuration := ts.ReadFile("fleet.ini"), ts.MkAbs("configuration.ini")
	if len(args) > 0 {
		dir := filepath.Join(ts.Getenv("EXAMPLES"), args[0])
		text, configuration = ts.ReadFile(filepath.Join(dir, "site.ini")), filepath.Join(dir, "configuration.ini")
		f.full = true
	}
	if err := f.start(ts.MkAbs("."), []byte(text)); err != nil {
		return err
	}
	var entries []string
	for _, e := range f.site.Entries {
		entries = append(entries, e.Addr.String())
		ts.Setenv(strings.ReplaceAll(e.Name, "-", "_"), e.Addr.String())
	}
	ts.Setenv("SEQUOIALEAD_ENTRY", strings.Join(entries, ","))
	ts.Setenv("SEQUOIALEAD_KEY", f.site.Key)
	if err := f.connected(); err != nil {
		return err
	}
	return ts.Exec("sequoialead", "patch", "--base", "0", "--wait", "--file", configuration, "customer.c.key="+digest.Of(customerKey))
}

// cmdLog sets the log's faults: up, down, mute, lose N, keep N.
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
		fault.Mute = true
	case "lose":
		fault.Lose = n
	case "keep":
		fault.Keep = n
	default:
		return fmt.Errorf("unknown fault %q", args[0])
	}
	return f.logFault(fault)
}

func cmdLeaving(_ *testscript.TestScript, f *fleet, args []string) error {
	leaving := map[string]bool{}
	for _, name := range args {
		leaving[name] = true
	}
	return f.setList(leaving)
}

func cmdLag(_ *testscript.TestScript, f *fleet, args []string) error {
	lag, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	return post(f.site.List, "/fault", map[string]any{"lag": lag})
}

// cmdCall makes calls: call [flags] ENTRY,...|any PIPELINE.
func cmdCall(_ *testscript.TestScript, f *fleet, args []string) error {
	var o order
	flags := flag.NewFlagSet("call", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.IntVar(&o.n, "n", 1, "")
	flags.IntVar(&o.at, "at", 1, "")
	flags.StringVar(&o.key, "key", "", "")
	flags.BoolVar(&o.stream, "stream", false, "")
	flags.StringVar(&o.deadline, "deadline", "", "")
	flags.DurationVar(&o.pause, "pause", 0, "")
	flags.DurationVar(&o.quit, "quit", callTimeout, "")
	name := flags.String("bg", "", "")
	if err := flags.Parse(args); err != nil || flags.NArg() != 2 {
		return fmt.Errorf("usage: call [flags] ENTRY PIPELINE: %w", err)
	}
	o.pipeline = flags.Arg(1)
	o.balanced = flags.Arg(0) == "any"
	for _, e := range f.site.Entries {
		if o.balanced || strings.Contains(","+flags.Arg(0)+",", ","+e.Name+",") {
			o.entries = append(o.entries, e.Addr)
		}
	}
	if len(o.entries) == 0 {
		return fmt.Errorf("no entry %q", flags.Arg(0))
	}
	g := f.launch(o)
	if *name != "" {
		f.groups[*name] = g
		return nil
	}
	g.done.Wait()
	f.last = g
	return nil
}

// cmdAgain sends the latest calls once more, with their keys, to an entry.
func cmdAgain(_ *testscript.TestScript, f *fleet, args []string) error {
	var o order
	flags := flag.NewFlagSet("again", flag.ContinueOnError)
	flags.IntVar(&o.at, "at", 1, "")
	if err := flags.Parse(args); err != nil || flags.NArg() != 1 {
		return fmt.Errorf("usage: again [-at N] ENTRY: %w", err)
	}
	e, err := f.entry(flags.Arg(0))
	if err != nil {
		return err
	}
	o.entries = []netip.AddrPort{e.Addr}
	o.quit = callTimeout
	g := &group{}
	for _, c := range f.last.calls {
		next := &call{id: c.id, pipeline: c.pipeline, key: c.key, shared: true}
		g.calls = append(g.calls, next)
		f.calls = append(f.calls, next)
	}
	o.work(g)
	g.done.Wait()
	f.last = g
	return nil
}

func cmdJoin(ts *testscript.TestScript, f *fleet, args []string) error {
	g := f.groups[args[0]]
	if g == nil {
		return fmt.Errorf("no calls %q", args[0])
	}
	g.done.Wait()
	f.last = g
	ts.Logf("%s: %s", args[0], g)
	return nil
}
