package commands

import (
	"context"
	"fmt"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"

	"sequoialead"
	"sequoialead/io/operator"
)

const (
	kindDomain  = "domain"
	kindBackend = "backend"
)

func newDrain(deps Deps) *ffcli.Command {
	return newSetState(deps, "drain", "take a failure domain or a backend server out of service", map[string]string{kindDomain: "out", kindBackend: "drained"})
}

// newSetState returns a command that sets the state of a failure domain or backend
// server. states maps kindDomain and kindBackend to the state to set.
func newSetState(deps Deps, name, help string, states map[string]string) *ffcli.Command {
	var p patchFlags
	flags := newFlags("sequoialead "+name, deps)
	p.bind(flags)
	p.bindWait(flags)
	base := flags.Int64("base", -1, "the version that the change is based on; the current one if not given")
	return &ffcli.Command{
		Name:       name,
		ShortUsage: fmt.Sprintf("sequoialead %s [FLAGS] domain|backend NAME", name),
		ShortHelp:  help,
		FlagSet:    flags,
		Options:    p.options(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 2 || states[args[0]] == "" {
				return sequoialead.ErrSettings.New("give domain or backend and a name, for example: sequoialead %s domain nz-1", name)
			}
			version, err := p.baseVersion(ctx, *base)
			if err != nil {
				return err
			}
			change := sequoialead.Change{Section: args[0] + "." + args[1], Key: "state", Value: states[args[0]]}
			return p.submit(ctx, deps, operator.PatchRequest{ID: uuid.New(), Base: version, Changes: []sequoialead.Change{change}, Note: p.note})
		},
	}
}

// baseVersion returns the given version, or the current one if it is negative.
func (p *patchFlags) baseVersion(ctx context.Context, given int64) (sequoialead.Version, error) {
	if given >= 0 {
		return sequoialead.Version(given), nil
	}
	client, err := p.open()
	if err != nil {
		return 0, err
	}
	defer func() { _ = client.Close() }() // Close always returns nil
	answer, err := client.Show(ctx, "")
	return answer.Version, err
}
