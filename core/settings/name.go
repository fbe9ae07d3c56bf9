package settings

import (
	"errors"
	"flag"
	"unicode"
)

// maxNameBytes bounds the length of names because they are repeated in log lines,
// metrics and records of the platform.
const maxNameBytes = 128

// name is a flag.Value that accepts only valid names; see Name.
type name struct{ target *string }

// Name defines a setting that names an instance, a region, a pool or a failure
// domain. Values must be printable, without spaces, and at most 128 bytes long.
func Name(flags *flag.FlagSet, target *string, key, usage string) {
	flags.Var(&name{target: target}, key, usage+", printable, without spaces, at most 128 bytes")
}

// String returns the current value.
func (n *name) String() string {
	if n == nil || n.target == nil {
		return ""
	}
	return *n.target
}

// Set validates and stores a name.
func (n *name) Set(text string) error {
	if len(text) > maxNameBytes {
		return errors.New("longer than 128 bytes")
	}
	for _, r := range text {
		if !unicode.IsGraphic(r) || unicode.IsSpace(r) || r == unicode.ReplacementChar {
			return errors.New("contains a space or a character that is not printable")
		}
	}
	*n.target = text
	return nil
}
