package commands

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3"

	"sequoialead"
	"sequoialead/core/settings"
	"sequoialead/io/console"
)

// consoleFlags are the flags that all operators' commands have.
type consoleFlags struct {
	entries string
	key     string
	json    bool
}

func (c *consoleFlags) bind(flags *flag.FlagSet) {
	flags.StringVar(&c.entries, "entry", "127.0.0.1:7800", "IP:PORT of one or more entries, separated by commas and tried in order")
	flags.StringVar(&c.key, "key", "", "the operator's key; prefer the environment variable SEQUOIALEAD_KEY")
	flags.BoolVar(&c.json, "json", false, "print JSON")
}

func (c *consoleFlags) options() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix(settings.Prefix)}
}

func (c *consoleFlags) parseEntries() ([]netip.AddrPort, error) {
	var entries []netip.AddrPort
	for _, text := range strings.Split(c.entries, ",") {
		entry, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return nil, sequoialead.ErrSettings.New("--entry %q is not IP:PORT", text)
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

func (c *consoleFlags) open() (*console.Client, error) {
	entries, err := c.parseEntries()
	if err != nil {
		return nil, err
	}
	return console.New(console.Options{Entries: entries, Key: c.key})
}

func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printTable prints rows in aligned columns.
func printTable(w io.Writer, rows [][]string) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	return table.Flush()
}
