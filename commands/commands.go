// Package commands implements the command line, with one file for each command.
package commands

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"github.com/peterbourgon/ff/v3/ffcli"
	"k8s.io/klog/v2"

	"sequoialead"
	"sequoialead/common/asynclog"
	"sequoialead/common/logfmt"
)

// Exit codes of the command line. ExitUnknown means that the outcome of a command
// is not known, because the platform or an entry did not answer.
const (
	ExitDone     = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3
	ExitInvalid  = 4
	ExitDenied   = 5
	ExitUnknown  = 6
)

// Deps holds the external dependencies of commands.
type Deps struct {
	Stdout io.Writer
	Stderr io.Writer
	Now    func() time.Time
}

// Execute runs the command that the arguments name, without the program's own name,
// and returns the exit code. Daemons run until the context ends.
func Execute(ctx context.Context, args []string, deps Deps) int {
	if len(args) > 0 && slices.Contains([]string{"entry", "agent", "gateway"}, args[0]) {
		// SIGHUP requests a reload of the settings file, which only a gateway with
		// --config supports. Its default action would terminate the other daemons, and
		// a gateway that does not handle it yet. A SIGHUP ignored during the start is
		// no loss, because the settings are read then anyway.
		signal.Ignore(syscall.SIGHUP)
	}
	root := newRoot(deps)
	err := root.Parse(args)
	parsed := err == nil
	if parsed {
		err = root.Run(ctx)
	}
	if err == nil {
		return ExitDone
	}
	if errors.Is(err, flag.ErrHelp) {
		if len(args) > 0 && strings.Contains(strings.Join(args, " "), "-h") {
			return ExitDone
		}
		return ExitUsage
	}
	fmt.Fprintf(deps.Stderr, "sequoialead: %s\n", errorText(err))
	if code := exitCode(err); parsed || code != ExitFailed {
		return code
	}
	return ExitUsage // an unknown flag or an invalid value of one
}

// errorText returns an error's text without the names of the error types that
// errorx puts in front, and without ff's prefix for settings files.
func errorText(err error) string {
	text := err.Error()
	for _, kind := range []*errorx.Type{
		sequoialead.ErrSettings, sequoialead.ErrInvalid, sequoialead.ErrConflict, sequoialead.ErrDenied,
		sequoialead.ErrPlatform, sequoialead.ErrProtocol, sequoialead.ErrLost, sequoialead.ErrFailed,
	} {
		text = strings.ReplaceAll(text, kind.FullName()+": ", "")
	}
	return strings.TrimPrefix(text, "error parsing config file: ")
}

func exitCode(err error) int {
	switch {
	case errorx.IsOfType(err, sequoialead.ErrConflict):
		return ExitConflict
	case errorx.IsOfType(err, sequoialead.ErrInvalid):
		return ExitInvalid
	case errorx.IsOfType(err, sequoialead.ErrDenied):
		return ExitDenied
	case errorx.IsOfType(err, sequoialead.ErrPlatform), errorx.IsOfType(err, sequoialead.ErrLost):
		return ExitUnknown
	case errorx.IsOfType(err, sequoialead.ErrSettings):
		return ExitUsage
	}
	return ExitFailed
}

func newRoot(deps Deps) *ffcli.Command {
	flags := newFlags("sequoialead", deps)
	root := &ffcli.Command{
		Name:       "sequoialead",
		ShortUsage: "sequoialead COMMAND [FLAGS] [ARGUMENTS]",
		ShortHelp:  "serve multi-stage model pipelines",
		FlagSet:    flags,
		Exec:       func(context.Context, []string) error { return flag.ErrHelp },
	}
	root.Subcommands = []*ffcli.Command{
		newDev(deps),
		newEntry(deps),
		newAgent(deps),
		newGateway(deps),
		newPatch(deps),
		newShow(deps),
		newStatus(deps),
		newAudit(deps),
		newDrain(deps),
		newRestore(deps),
		newLoad(deps),
		newExplain(deps),
		newKey(deps),
		newSettings(deps),
		newConfig(deps),
		newFake(deps),
	}
	root.Subcommands = append(root.Subcommands, newCompletion(deps, root))
	return root
}

func newFlags(name string, deps Deps) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(deps.Stderr)
	return flags
}

// Limits of a daemon's log: bytes buffered, lines per second and lines per burst. They
// are far above what the analysis of an incident needs, and low enough that logging
// uses a negligible part of a CPU core.
const (
	logBytes = 1 << 20
	logLines = 2000
	logBurst = 10000
)

// newLogger returns a logger that writes to standard output and never blocks. Closing
// the io.Closer writes the lines that are still buffered, so the caller closes it after
// the last event was logged.
func newLogger(deps Deps, verbosity int) (klog.Logger, io.Closer) {
	writer := asynclog.New(asynclog.Options{Output: deps.Stdout, MaxBytes: logBytes, LinesPerSecond: logLines, Burst: logBurst, Now: deps.Now})
	return logfmt.New(writer, verbosity, deps.Now), writer
}
