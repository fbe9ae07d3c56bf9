// Package testscripts runs end-to-end tests written as txtar scripts: cli tests
// the command line, scenarios tests whole fleets of real processes.
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
	testscript.Run(t, testscript.Params{Dir: "cli", Cmds: storeCommands()})
}

// maxParallelFleets is the number of fleets that may run at the same time.
const maxParallelFleets = 4

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "scenarios",
		Cmds:  fleetCommands(),
		Setup: setupFleet(&portAllocator{}, make(chan struct{}, maxParallelFleets)),
	})
}

// setupFleet returns a setup function that gives each script its own fleet. The
// capacity of slots limits the number of fleets that run at the same time.
func setupFleet(allocator *portAllocator, slots chan struct{}) func(*testscript.Env) error {
	return func(env *testscript.Env) error {
		if err := writeDefaultFiles(env.WorkDir); err != nil {
			return err
		}
		examples, err := filepath.Abs("../examples")
		if err != nil {
			return err
		}
		env.Setenv("EXAMPLES", examples)
		f := &fleet{ports: allocator}
		env.Values[fleetKey{}] = f
		slots <- struct{}{}
		env.Defer(func() {
			f.close()
			<-slots
		})
		return nil
	}
}

// writeDefaultFiles copies fleet.ini and configuration.ini from the folder default,
// unless the scenario has its own.
func writeDefaultFiles(dir string) error {
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

// TestEveryScenarioChecks guards against scenarios without the check command, which
// would pass whatever the system did.
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
