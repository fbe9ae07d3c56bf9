// Package settings reads a process's settings from an INI file, environment
// variables and flags, and validates them when the process starts.
package settings

import (
	"flag"
	"fmt"
	"io"
	"net/netip"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"gopkg.in/ini.v1"

	"sequoialead"
)

// Prefix is the prefix of the environment variables, followed by an underscore
// and the key in upper case.
const Prefix = "SEQUOIALEAD"

// Parser reads the settings of one command.
type Parser struct {
	flags *flag.FlagSet
	// required lists the keys that must have a value.
	required []string
}

// New returns a parser for the keys that the flag set defines, some of which are
// required. The flag set should define "config" for the name of the INI file.
func New(flags *flag.FlagSet, required ...string) *Parser {
	return &Parser{flags: flags, required: required}
}

// Options returns the options with which ff reads the flag set's values from the
// file named by --config and from the environment.
func (p *Parser) Options() []ff.Option {
	return []ff.Option{
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(p.parseFile),
		ff.WithEnvVarPrefix(Prefix),
	}
}

// KeyError returns an ErrSettings about the value of a key. Its text names the
// settings file, if there is one.
func (p *Parser) KeyError(key string, err error) error {
	return sequoialead.ErrSettings.New("%skey %q: %s", p.filePrefix(), key, strings.TrimPrefix(err.Error(), sequoialead.ErrSettings.FullName()+": "))
}

// filePrefix returns the start of error texts: the name of the settings file and
// a colon, or nothing if there is no file.
func (p *Parser) filePrefix() string {
	if f := p.flags.Lookup("config"); f != nil && f.Value.String() != "" {
		return f.Value.String() + ": "
	}
	return ""
}

// CheckRequired returns an ErrSettings for the first required key without a value.
// An address counts as missing if it is the zero netip.AddrPort.
func (p *Parser) CheckRequired() error {
	for _, key := range p.required {
		f := p.flags.Lookup(key)
		if f.Value.String() == "" || f.Value.String() == (netip.AddrPort{}).String() {
			return sequoialead.ErrSettings.New("%skey %q is missing; add it to the file, or give --%s or %s_%s", p.filePrefix(), key, key, Prefix, strings.ToUpper(key))
		}
	}
	return nil
}

func (p *Parser) parseFile(r io.Reader, set func(name, value string) error) error {
	name := p.flags.Lookup("config").Value.String()
	raw, err := io.ReadAll(r)
	if err != nil {
		return sequoialead.ErrSettings.Wrap(err, "%s cannot be read; check the file", name)
	}
	file, err := ini.Load(raw)
	if err != nil {
		return sequoialead.ErrSettings.Wrap(err, "%s is not valid INI; correct the line named", name)
	}
	for _, section := range file.Sections() {
		if section.Name() != ini.DefaultSection {
			return sequoialead.ErrSettings.New("%s: section %q is not known; settings have no sections, remove its header", name, section.Name())
		}
		for _, key := range section.Keys() {
			if err := p.parseKey(name, key, set); err != nil {
				return err
			}
		}
	}
	return nil
}

func (p *Parser) parseKey(file string, key *ini.Key, set func(name, value string) error) error {
	f := p.flags.Lookup(key.Name())
	if f == nil || key.Name() == "config" {
		return sequoialead.ErrSettings.New("%s: key %q is not known; use one of %s", file, key.Name(), p.keyNames())
	}
	if err := set(key.Name(), key.Value()); err != nil {
		return sequoialead.ErrSettings.New("%s: key %q: %q is not valid; give %s", file, key.Name(), key.Value(), f.Usage)
	}
	return nil
}

func (p *Parser) keyNames() string {
	var keys []string
	p.flags.VisitAll(func(f *flag.Flag) {
		if f.Name != "config" {
			keys = append(keys, f.Name)
		}
	})
	return strings.Join(keys, ", ")
}

// Operators maps the SHA-256 of each operator's key, in lower-case hexadecimal, to
// the operator's name. Operators may use the operators' HTTP API.
type Operators map[string]string

var _ flag.Value = (*Operators)(nil)

// String returns the operators' names without their keys, separated by commas.
func (o *Operators) String() string {
	if o == nil || len(*o) == 0 {
		return ""
	}
	var names []string
	for _, name := range *o {
		names = append(names, name)
	}
	return strings.Join(names, ",")
}

// Set parses a list of NAME:SHA256, separated by commas, and replaces the map.
func (o *Operators) Set(text string) error {
	next := Operators{}
	for _, item := range strings.Split(text, ",") {
		name, key, ok := strings.Cut(strings.TrimSpace(item), ":")
		if !ok || name == "" || len(key) != 64 {
			return fmt.Errorf("%q is not NAME:SHA256", item)
		}
		next[strings.ToLower(key)] = name
	}
	*o = next
	return nil
}
