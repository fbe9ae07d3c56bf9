package commands

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"sequoialead/io/console"
	"sequoialead/io/operator"
)

func newStatus(deps Deps) *ffcli.Command {
	return query[operator.StatusResponse]{
		name: "status",
		help: "print an entry's view of the system",
		fetch: func(ctx context.Context, client *console.Client) (operator.StatusResponse, error) {
			return client.Status(ctx)
		},
		print: func(answer operator.StatusResponse) error { return printStatus(deps, answer) },
	}.command(deps)
}

func printStatus(deps Deps, s operator.StatusResponse) error {
	fmt.Fprintf(deps.Stdout, "entry %s in %s: version %d, %d requests open, log read %s ago\n",
		s.Name, s.Domain, s.Version, s.InFlight, age(deps, s.LogRead))
	if len(s.EvacuatedDomains) > 0 {
		fmt.Fprintf(deps.Stdout, "failure domains out: %s\n", strings.Join(s.EvacuatedDomains, " "))
	}
	rows := [][]string{{"AGENT", "POOL", "DOMAIN", "STATE", "LIMIT", "RUNNING", "WAITING", "VERSION"}}
	for _, a := range s.Agents {
		state := "in"
		switch {
		case !a.Connected:
			state = "unreachable"
		case a.Leaving:
			state = "leaving"
		}
		rows = append(rows, []string{
			a.Name, a.Pool, a.Domain, state,
			strconv.Itoa(a.Limit), strconv.Itoa(a.Running), strconv.Itoa(a.Queued),
			strconv.FormatUint(uint64(a.Version), 10),
		})
	}
	return printTable(deps.Stdout, rows)
}

func age(deps Deps, t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return deps.Now().Sub(t).Round(time.Millisecond).String()
}
