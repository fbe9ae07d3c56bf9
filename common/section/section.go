// Package section reads typed values from one section of an INI file.
package section

import (
	"net/netip"
	"time"

	"gopkg.in/ini.v1"

	"sequoialead"
)

// Reader reads the sections of a file and keeps the first fault.
type Reader struct {
	name    string
	section *ini.Section
	err     error
}

// New returns a reader for the file of the given name, which errors bear.
func New(name string) *Reader { return &Reader{name: name} }

// Enter makes a section the one that is read.
func (r *Reader) Enter(section *ini.Section) { r.section = section }

// Err returns the first fault.
func (r *Reader) Err() error { return r.err }

// Fault keeps a fault of a key with its remedy.
func (r *Reader) Fault(key, remedy string) {
	if r.err == nil {
		r.err = sequoialead.ErrSettings.New("%s: [%s] %s %s", r.name, r.section.Name(), key, remedy)
	}
}

// Text returns a text, which must not be empty.
func (r *Reader) Text(key string) string {
	value := r.section.Key(key).String()
	if value == "" {
		r.Fault(key, "is missing; add it")
	}
	return value
}

// Optional returns a text, or the fallback if the key is missing.
func (r *Reader) Optional(key, fallback string) string {
	return r.section.Key(key).MustString(fallback)
}

// Addr returns an address.
func (r *Reader) Addr(key string) netip.AddrPort {
	addr, err := netip.ParseAddrPort(r.section.Key(key).String())
	if err != nil {
		r.Fault(key, "is not IP:PORT")
	}
	return addr
}

// Count returns a whole number from 1.
func (r *Reader) Count(key string) int {
	n, err := r.section.Key(key).Int()
	if err != nil || n < 1 {
		r.Fault(key, "is not a whole number from 1")
	}
	return n
}

// Number returns a number from 0, or the fallback if the key is missing.
func (r *Reader) Number(key string, fallback float64) float64 {
	if !r.section.HasKey(key) {
		return fallback
	}
	n, err := r.section.Key(key).Float64()
	if err != nil || n < 0 {
		r.Fault(key, "is not a number from 0")
	}
	return n
}

// Time returns a time, which is zero if the key is missing.
func (r *Reader) Time(key string) time.Duration {
	if !r.section.HasKey(key) {
		return 0
	}
	d, err := r.section.Key(key).Duration()
	if err != nil || d < 0 {
		r.Fault(key, "is not a time such as 10s")
	}
	return d
}

// Flag returns whether a key is yes; it is no if the key is missing.
func (r *Reader) Flag(key string) bool {
	switch r.section.Key(key).String() {
	case "yes":
		return true
	case "", "no":
		return false
	}
	r.Fault(key, "is neither yes nor no")
	return false
}
