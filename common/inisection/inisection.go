// Package inisection reads typed values from the sections of an INI file.
package inisection

import (
	"net/netip"
	"time"

	"gopkg.in/ini.v1"

	"sequoialead"
)

// Reader reads the keys of one section at a time and keeps the first error, so
// that callers check Err only once. After an error, the remaining values are
// still returned but may be zero.
type Reader struct {
	// name is the name of the file, for errors.
	name    string
	section *ini.Section
	err     error
}

// New returns a reader. The name of the file appears in errors.
func New(name string) *Reader { return &Reader{name: name} }

// SetSection selects the section that the other methods read. It must be called
// before them.
func (r *Reader) SetSection(section *ini.Section) { r.section = section }

// Err returns the first error, of kind ErrSettings.
func (r *Reader) Err() error { return r.err }

// Fail records an error about a key of the current section unless there is one
// already. The text follows the key in the error and should say how to correct it.
func (r *Reader) Fail(key, text string) {
	if r.err == nil {
		r.err = sequoialead.ErrSettings.New("%s: [%s] %s %s", r.name, r.section.Name(), key, text)
	}
}

// Required returns the value of a key. A key that is missing or empty is an error.
func (r *Reader) Required(key string) string {
	value := r.section.Key(key).String()
	if value == "" {
		r.Fail(key, "is missing; add it")
	}
	return value
}

// Optional returns the value of a key, or the fallback if it is missing or empty.
func (r *Reader) Optional(key, fallback string) string {
	return r.section.Key(key).MustString(fallback)
}

// Addr returns an IP address and port. It is an error if the key is missing.
func (r *Reader) Addr(key string) netip.AddrPort {
	addr, err := netip.ParseAddrPort(r.section.Key(key).String())
	if err != nil {
		r.Fail(key, "is missing or not IP:PORT")
	}
	return addr
}

// PositiveInt returns an integer of at least 1. It is an error if the key is
// missing.
func (r *Reader) PositiveInt(key string) int {
	n, err := r.section.Key(key).Int()
	if err != nil || n < 1 {
		r.Fail(key, "is missing or not a whole number of at least 1")
	}
	return n
}

// Float returns a number of at least 0, or the fallback if the key is missing.
func (r *Reader) Float(key string, fallback float64) float64 {
	if !r.section.HasKey(key) {
		return fallback
	}
	n, err := r.section.Key(key).Float64()
	if err != nil || n < 0 {
		r.Fail(key, "is not a number of at least 0")
	}
	return n
}

// Duration returns a duration of at least 0. It is 0 if the key is missing.
func (r *Reader) Duration(key string) time.Duration {
	if !r.section.HasKey(key) {
		return 0
	}
	d, err := r.section.Key(key).Duration()
	if err != nil || d < 0 {
		r.Fail(key, "is not a duration such as 10s")
	}
	return d
}

// Bool returns true for yes, and false for no or if the key is missing.
func (r *Reader) Bool(key string) bool {
	switch r.section.Key(key).String() {
	case "yes":
		return true
	case "", "no":
		return false
	}
	r.Fail(key, "is neither yes nor no")
	return false
}
