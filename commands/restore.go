package commands

import "github.com/peterbourgon/ff/v3/ffcli"

func newRestore(deps Deps) *ffcli.Command {
	return newSetState(deps, "restore", "return a failure domain or a backend server to service", map[string]string{kindDomain: "in", kindBackend: "in"})
}
