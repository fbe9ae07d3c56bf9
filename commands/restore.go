package commands

import "github.com/peterbourgon/ff/v3/ffcli"

func newRestore(deps Deps) *ffcli.Command {
	return newSwitch(deps, "restore", "bring a failure domain or a backend server back", map[string]string{kindDomain: "in", kindBackend: "in"})
}
