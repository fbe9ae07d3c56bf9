package commands

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"

	"sequoialead"
	"sequoialead/core/document"
	"sequoialead/io/console"
	"sequoialead/io/operator"
)

const (
	defaultPatchWait = 20 * time.Second
	maxPatchAttempts = 5
	pollPeriod       = 100 * time.Millisecond
)

// patchFlags are the flags of commands that change the configuration.
type patchFlags struct {
	consoleFlags
	note string
	// wait is whether the command waits until the change is in force everywhere. It
	// waits for timeout at most.
	wait    bool
	timeout time.Duration
}

func newPatch(deps Deps) *ffcli.Command {
	var p patchFlags
	flags := newFlags("sequoialead patch", deps)
	p.bind(flags)
	base := flags.Int64("base", -1, "the version that the change is based on, as printed by 'sequoialead show'")
	file := flags.String("file", "", "an INI file; every key in it is set to its value there")
	id := flags.String("id", "", "the ID of an earlier attempt whose outcome is not known")
	p.bindWait(flags)
	return &ffcli.Command{
		Name:       "patch",
		ShortUsage: "sequoialead patch --base N [FLAGS] SECTION.KEY=VALUE... [-- -SECTION.KEY... -SECTION:...]",
		ShortHelp:  "change the configuration",
		LongHelp:   "Exit codes: 0 accepted, 3 conflict, 4 invalid, 5 denied, 6 outcome not known.",
		FlagSet:    flags,
		Options:    p.options(),
		Exec: func(ctx context.Context, args []string) error {
			if *base < 0 {
				return sequoialead.ErrSettings.New("--base is missing; give the version that 'sequoialead show' printed")
			}
			changes, err := readChanges(*file, args)
			if err != nil {
				return err
			}
			request := operator.PatchRequest{ID: uuid.New(), Base: sequoialead.Version(*base), Changes: changes, Note: p.note}
			if *id != "" {
				if request.ID, err = uuid.Parse(*id); err != nil {
					return sequoialead.ErrSettings.New("--id %q is not an ID; give the one that an earlier attempt printed", *id)
				}
			}
			return p.submit(ctx, deps, request)
		},
	}
}

func (p *patchFlags) bindWait(flags *flag.FlagSet) {
	flags.StringVar(&p.note, "note", "", "a note for the audit trail")
	flags.BoolVar(&p.wait, "wait", false, "wait until the change is in force everywhere")
	flags.DurationVar(&p.timeout, "timeout", defaultPatchWait, "the maximum time for sending the change, and again for --wait")
}

func readChanges(file string, args []string) ([]sequoialead.Change, error) {
	var changes []sequoialead.Change
	if file != "" {
		raw, err := os.ReadFile(file)
		if err != nil {
			return nil, sequoialead.ErrSettings.Wrap(err, "--file %s cannot be read", file)
		}
		doc, err := document.Parse(file, raw)
		if err != nil {
			return nil, err
		}
		changes = doc.Changes()
	}
	for _, arg := range args {
		change, err := document.ParseChange(arg)
		if err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	if len(changes) == 0 {
		return nil, sequoialead.ErrSettings.New("no change given; write for example domain.nz-1.state=out")
	}
	return changes, nil
}

// submit sends a patch and prints the verdict. While the outcome is not known it
// retries with the same ID, so that the patch is applied at most once.
func (p *patchFlags) submit(ctx context.Context, deps Deps, request operator.PatchRequest) error {
	client, err := p.open()
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }() // Close always returns nil
	answer, err := backoff.Retry(ctx, func() (operator.PatchResponse, error) {
		answer, err := client.Patch(ctx, request)
		if err == nil && answer.Error != "" {
			err = sequoialead.ErrPlatform.New("%s", answer.Error)
		}
		if exitCode(err) != ExitUnknown && err != nil {
			err = backoff.Permanent(err)
		}
		return answer, err
	}, backoff.WithMaxTries(maxPatchAttempts), backoff.WithMaxElapsedTime(p.timeout))
	if err != nil {
		return sequoialead.ErrPlatform.Wrap(err, "the outcome of patch %s is not known; run the command again with --id %s", request.ID, request.ID)
	}
	if err := p.print(deps, answer); err != nil {
		return err
	}
	if p.wait {
		return p.waitInForce(ctx, deps, client, answer.Audit.Version)
	}
	return nil
}

func (p *patchFlags) print(deps Deps, answer operator.PatchResponse) error {
	if p.json {
		if err := printJSON(deps.Stdout, answer); err != nil {
			return err
		}
	}
	audit := answer.Audit
	switch audit.Verdict {
	case sequoialead.VerdictAccepted:
		if !p.json {
			fmt.Fprintf(deps.Stdout, "accepted: version %d\n", audit.Version)
		}
		return nil
	case sequoialead.VerdictConflict:
		if !p.json {
			printConflicts(deps, answer)
		}
		return sequoialead.ErrConflict.New("the configuration is at version %d, not %d; look at the changes with 'sequoialead show', then patch with --base %d", answer.Current, audit.Base, answer.Current)
	case sequoialead.VerdictInvalid:
		return sequoialead.ErrInvalid.New("the patch is not valid:\n%s", audit.Reason)
	}
	return sequoialead.ErrInvalid.New("the patch was not accepted (verdict %q): %s", audit.Verdict, audit.Reason)
}

func printConflicts(deps Deps, answer operator.PatchResponse) {
	for _, p := range answer.Since {
		fmt.Fprintf(deps.Stdout, "version %d by %s at %s: %s\n", p.Version, p.Author, p.CreatedAt.Format(time.RFC3339), sequoialead.JoinChanges(p.Changes))
	}
}

// waitInForce waits until the version is in force at every entry and agent.
func (p *patchFlags) waitInForce(ctx context.Context, deps Deps, client *console.Client, version sequoialead.Version) error {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	start := deps.Now()
	for {
		outdated, err := findOutdated(ctx, client, version)
		if err == nil && len(outdated) == 0 {
			if !p.json {
				fmt.Fprintf(deps.Stdout, "in force everywhere after %s\n", deps.Now().Sub(start).Round(time.Millisecond))
			}
			return nil
		}
		select {
		case <-ctx.Done():
			if err != nil {
				return err
			}
			return sequoialead.ErrPlatform.New("version %d is accepted but not yet in force at: %s; see 'sequoialead status'", version, strings.Join(outdated, ", "))
		case <-time.After(pollPeriod):
		}
	}
}

// findOutdated returns the names of the entries and agents at which the version is
// not yet in force. Agents that are leaving are not counted.
func findOutdated(ctx context.Context, client *console.Client, version sequoialead.Version) ([]string, error) {
	first, err := client.Status(ctx)
	if err != nil {
		return nil, err
	}
	var outdated []string
	listed := map[string]bool{}
	for _, e := range first.Entries {
		status, err := client.StatusOf(ctx, e.Addr)
		if err != nil {
			outdated = append(outdated, e.Name+" (no answer)")
			continue
		}
		if status.Version < version {
			outdated = append(outdated, e.Name)
		}
		for _, a := range status.Agents {
			if listed[a.Name] || a.Leaving || a.Connected && a.Version >= version {
				continue
			}
			listed[a.Name] = true
			outdated = append(outdated, a.Name)
		}
	}
	return outdated, nil
}
