// Package testscripts runs the scripted scenarios: those of the command line
// in cli, and those of whole fleets of real processes in scenarios.
package testscripts

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/testscript"

	"sequoialead/commands"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"sequoialead": func() {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			os.Exit(commands.Execute(ctx, os.Args[1:], commands.Deps{Stdout: os.Stdout, Stderr: os.Stderr, Now: time.Now}))
		},
	})
}

func TestCommands(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "cli"})
}

// fleetsAtOnce bounds the fleets that run at the same time.
const fleetsAtOnce = 4

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "scenarios",
		Cmds:  fleetCommands(),
		Setup: setup(&ports{}, make(chan struct{}, fleetsAtOnce)),
	})
}

// setup gives each script a fleet of its own, with a bound on those that run
// at the same time.
func setup(given *ports, slots chan struct{}) func(*testscript.Env) error {
	return func(env *testscript.Env) error {
		if err := defaults(env.WorkDir); err != nil {
			return err
		}
		examples, err := filepath.Abs("../examples")
		if err != nil {
			return err
		}
		env.Setenv("EXAMPLES", examples)
		f := &fleet{ports: given}
		env.Values[fleetKey{}] = f
		slots <- struct{}{}
		env.Defer(func() {
			f.close()
			<-slots
		})
		return nil
	}
}

// defaults adds the files that a scenario does not bring itself.
func defaults(dir string) error {
	for _, name := range []string{"fleet.ini", "configuration.ini"} {
		path := filepath.Join(dir, name)
		if _, err := os.Stat(path); err == nil {
			continue
		}
		raw, err := os.ReadFile(filepath.Join("default", name))
		if err != nil {
			return err
		}
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// A scenario that checks nothing proves nothing.
func TestEveryScenarioChecks(t *testing.T) {
	c := qt.New(t)
	files, err := os.ReadDir("scenarios")
	c.Assert(err, qt.IsNil)
	c.Assert(len(files) > 0, qt.IsTrue)
	for _, f := range files {
		raw, err := os.ReadFile("scenarios/" + f.Name())
		c.Assert(err, qt.IsNil)
		c.Assert(strings.Contains(string(raw), "\ncheck\n"), qt.IsTrue, qt.Commentf("%s", f.Name()))
	}
}
