package testscripts

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"sequoialead"
	fakeengine "sequoialead/fake/engine"
	fakelog "sequoialead/fake/log"
	"sequoialead/fake/proxy"
	"sequoialead/io/caller"
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
		"silence":   cmdSilence,
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
	return each(func(f *fleet, name string) error {
		p := f.proxies[name]
		if p == nil {
			return fmt.Errorf("no link %q", name)
		}
		p.Fail(fault)
		return nil
	})
}

func cmdSilence(_ *testscript.TestScript, f *fleet, args []string) error {
	for _, name := range args {
		if f.proxies[name] == nil {
			return fmt.Errorf("no link %q", name)
		}
		f.proxies[name].Silence()
	}
	return nil
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
	return ts.Exec("sequoialead", "patch", "--base", "0", "--wait", "--file", configuration, "customer.c.key="+digest(customerKey))
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
	for _, e := range f.site.Entries {
		if e.Name == flags.Arg(0) {
			o.entries = append(o.entries, e.Addr)
		}
	}
	o.quit = callTimeout
	g := &group{}
	for _, c := range f.last.calls {
		next := &call{id: c.id, pipeline: c.pipeline, key: c.key}
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

// cmdExpect compares the outcomes of the latest calls: done=3, not-run>0.
func cmdExpect(_ *testscript.TestScript, f *fleet, args []string) error {
	for _, arg := range args {
		i := strings.IndexAny(arg, "=<>")
		want, err := strconv.Atoi(arg[i+1:])
		if err != nil {
			return err
		}
		got := f.last.count(arg[:i])
		ok := map[byte]bool{'=': got == want, '<': got < want, '>': got > want}[arg[i]]
		if !ok {
			return fmt.Errorf("%s: got %d of %s; %s", arg, got, f.last, f.last.trouble())
		}
	}
	return nil
}

// trouble returns the details of some calls that were not done.
func (g *group) trouble() string {
	var some []string
	for _, c := range g.calls {
		if c.outcome != "done" && len(some) < 3 {
			some = append(some, fmt.Sprintf("%s %s %s %s%s", c.id, c.outcome, c.answer.Reason, c.answer.Detail, c.detail))
		}
	}
	return strings.Join(some, "; ")
}

// cmdRequest sends one request as written: request ENTRY PATH KEY BODY.
func cmdRequest(ts *testscript.TestScript, f *fleet, args []string) error {
	body := strings.Join(args[3:], " ")
	if body == "large" {
		body = `{"text":"` + strings.Repeat("a", caller.MaxBody) + `"}`
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+ts.Getenv(args[0])+args[1], strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+args[2])
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	var answer caller.Answer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return err
	}
	f.answered = fmt.Sprint(response.StatusCode, " ", response.Header.Get(caller.HeaderOutcome), " ", answer.Reason)
	if answer.Outcome != sequoialead.OutcomeDone && answer.Remedy == "" {
		return fmt.Errorf("the answer names no remedy")
	}
	return nil
}

// cmdAnswered compares status, outcome and reason of the latest request.
func cmdAnswered(_ *testscript.TestScript, f *fleet, args []string) error {
	if want := strings.Join(args, " "); strings.TrimSpace(f.answered) != want {
		return fmt.Errorf("answered %q, not %q", f.answered, want)
	}
	return nil
}

func (f *fleet) callCounts() (map[string]int, error) {
	counts := map[string]int{}
	for _, name := range f.selected("all") {
		if p := f.procs["backend:"+name]; p.cmd == nil {
			continue
		}
		s, err := f.stats(name)
		if err != nil {
			return nil, err
		}
		counts[name] = s.Calls
	}
	return counts, nil
}

// cmdMark remembers how many calls each backend server has taken.
func cmdMark(_ *testscript.TestScript, f *fleet, _ []string) error {
	counts, err := f.callCounts()
	f.marked = counts
	return err
}

func (f *fleet) taken(word string) (int, error) {
	counts, err := f.callCounts()
	sum := 0
	for _, name := range f.selected(word) {
		sum += counts[name] - f.marked[name]
	}
	return sum, err
}

func cmdUnchanged(_ *testscript.TestScript, f *fleet, args []string) error {
	for _, word := range args {
		if n, err := f.taken(word); err != nil || n != 0 {
			return fmt.Errorf("%s took %d calls since the mark: %w", word, n, err)
		}
	}
	return nil
}

func cmdChanged(_ *testscript.TestScript, f *fleet, args []string) error {
	for _, word := range args {
		if n, err := f.taken(word); err != nil || n == 0 {
			return fmt.Errorf("%s took no calls since the mark: %w", word, err)
		}
	}
	return nil
}

func cmdSleep(_ *testscript.TestScript, _ *fleet, args []string) error {
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return err
}

// records returns what all backend servers recorded.
func (f *fleet) records() (runs map[string]int, over int, err error) {
	runs = map[string]int{}
	all := append([]fakeengine.Stats(nil), f.gone...)
	for _, name := range f.selected("all") {
		if f.procs["backend:"+name].cmd == nil {
			continue
		}
		s, err := f.stats(name)
		if err != nil {
			return nil, 0, err
		}
		all = append(all, s)
	}
	for _, s := range all {
		over += s.Over
		for work, n := range s.Runs {
			runs[work] += n
		}
	}
	return runs, over, nil
}

// cmdCheck checks what must always hold against what the backend servers
// recorded.
func cmdCheck(_ *testscript.TestScript, f *fleet, _ []string) error {
	runs, over, err := f.records()
	if err != nil {
		return err
	}
	if over > 0 {
		return fmt.Errorf("cold backend servers were given more than they bear %d times", over)
	}
	for work, n := range runs {
		if strings.HasPrefix(work, "invoke:") && n > 1 {
			return fmt.Errorf("%s ran %d times", work, n)
		}
	}
	for _, c := range f.calls {
		if wrong := c.wrong(runs); wrong != "" {
			return fmt.Errorf("call %s of %s: %s", c.id, c.pipeline, wrong)
		}
	}
	return nil
}

// cmdOver fails unless some cold backend server was given too much.
func cmdOver(_ *testscript.TestScript, f *fleet, _ []string) error {
	_, over, err := f.records()
	if err == nil && over == 0 {
		return fmt.Errorf("no backend server was given too much")
	}
	return err
}
