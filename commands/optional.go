package commands

import (
	"flag"
	"strconv"
	"strings"
	"time"
)

// The settings files of gateways are rendered from a template, in which a value that a
// deployment doesn't have leaves nothing, or the unit alone. The flags below take that as
// if the setting were missing.

// optionalFloat defines a flag whose empty value is 0.
func optionalFloat(flags *flag.FlagSet, target *float64, name, usage string) {
	flags.Func(name, usage, func(value string) (err error) {
		*target = 0
		if value != "" {
			*target, err = strconv.ParseFloat(value, 64)
		}
		return err
	})
}

// optionalDuration defines a flag whose value is the default if it holds no number.
func optionalDuration(flags *flag.FlagSet, target *time.Duration, name string, byDefault time.Duration, usage string) {
	*target = byDefault
	flags.Func(name, usage, func(value string) (err error) {
		*target = byDefault
		if strings.ContainsAny(value, "0123456789") {
			*target, err = time.ParseDuration(value)
		}
		return err
	})
}
