package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/peterbourgon/ff/v3/ffcli"

	"sequoialead"
	"sequoialead/core/site"
)

const (
	privateFileMode = 0o600
	directoryMode   = 0o755
)

func newSettings(deps Deps) *ffcli.Command {
	flags := newFlags("sequoialead settings", deps)
	dir := flags.String("site", "examples/whiskerlane", "a folder with site.ini")
	out := flags.String("out", "out/settings", "the folder to write to")
	return &ffcli.Command{
		Name:       "settings",
		ShortUsage: "sequoialead settings [--site DIR] [--out DIR]",
		ShortHelp:  "write the settings files of a site's processes",
		LongHelp:   "Writes entry-NAME.ini and agent-NAME.ini for the daemons, and instances.json for 'sequoialead fake list'.",
		FlagSet:    flags,
		Exec: func(context.Context, []string) error {
			s, err := readSite(*dir)
			if err != nil {
				return err
			}
			if err := writeSettings(s, *out); err != nil {
				return sequoialead.ErrSettings.Wrap(err, "the settings files cannot be written to %s; give another folder with --out", *out)
			}
			_, err = fmt.Fprintf(deps.Stdout, "wrote settings of %d entries and %d agents to %s\n", len(s.Entries), len(s.Backends), *out)
			return err
		},
	}
}

func writeSettings(s *site.Site, dir string) error {
	if err := os.MkdirAll(dir, directoryMode); err != nil {
		return err
	}
	for _, e := range s.Entries {
		if err := os.WriteFile(filepath.Join(dir, "entry-"+e.Name+".ini"), []byte(s.EntrySettings(e)), privateFileMode); err != nil {
			return err
		}
	}
	for _, b := range s.Backends {
		if err := os.WriteFile(filepath.Join(dir, "agent-"+b.Name+".ini"), []byte(s.AgentSettings(b)), privateFileMode); err != nil {
			return err
		}
	}
	raw, err := json.MarshalIndent(siteInstances(s), "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "instances.json"), raw, privateFileMode)
}
