// Package document holds a configuration before it is decoded: named sections
// of string keys and values.
package document

import (
	"maps"
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"sequoialead"
)

// Document is an immutable set of sections. Use New or Parse to make one.
type Document struct {
	// sections maps section names to keys to values. It holds no empty section.
	sections map[string]map[string]string
}

// New returns an empty document.
func New() *Document {
	return &Document{sections: map[string]map[string]string{}}
}

// Parse reads a document in INI format. Every key must be in a section. The name
// of the source appears in errors, which are of kind ErrInvalid.
func Parse(name string, text []byte) (*Document, error) {
	file, err := ini.LoadSources(ini.LoadOptions{
		KeyValueDelimiters:       "=",
		SpaceBeforeInlineComment: true,
		IgnoreContinuation:       true,
	}, text)
	if err != nil {
		return nil, sequoialead.ErrInvalid.Wrap(err, "%s is not valid INI; correct the line named", name)
	}
	doc := New()
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			if section.Name() == ini.DefaultSection {
				return nil, sequoialead.ErrInvalid.New("%s: key %q is outside of any section; move it below a section header", name, key.Name())
			}
			doc.set(section.Name(), key.Name(), key.Value())
		}
	}
	return doc, nil
}

// ParseChange parses a change in the command line's notation: SECTION.KEY=VALUE
// sets a key, -SECTION.KEY removes a key, and -SECTION: removes a whole section.
// The key is what follows the last dot, since section names contain dots too.
func ParseChange(text string) (sequoialead.Change, error) {
	if name, found := strings.CutPrefix(text, "-"); found {
		if section, whole := strings.CutSuffix(name, ":"); whole {
			return sequoialead.Change{Section: section, Remove: true}, nil
		}
		section, key, ok := splitKey(name)
		if !ok {
			return sequoialead.Change{}, sequoialead.ErrInvalid.New("change %q names no key; write -SECTION.KEY, or -SECTION: to remove the whole section", text)
		}
		return sequoialead.Change{Section: section, Key: key, Remove: true}, nil
	}
	name, value, ok := strings.Cut(text, "=")
	section, key, dotted := splitKey(name)
	if !ok || !dotted {
		return sequoialead.Change{}, sequoialead.ErrInvalid.New("change %q is not SECTION.KEY=VALUE; write for example domain.nz-1.state=out", text)
	}
	return sequoialead.Change{Section: section, Key: key, Value: value}, nil
}

func splitKey(name string) (section, key string, ok bool) {
	i := strings.LastIndexByte(name, '.')
	if i <= 0 || i == len(name)-1 {
		return "", "", false
	}
	return name[:i], name[i+1:], true
}

func (d *Document) set(section, key, value string) {
	if d.sections[section] == nil {
		d.sections[section] = map[string]string{}
	}
	d.sections[section][key] = value
}

// Sections returns the names of the sections, sorted.
func (d *Document) Sections() []string {
	return slices.Sorted(maps.Keys(d.sections))
}

// SectionsMatching returns the names of the sections for which matches returns true,
// sorted.
func (d *Document) SectionsMatching(matches func(section string) bool) []string {
	var names []string
	for name := range d.sections {
		if matches(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Keys returns the keys of a section, sorted. It is empty if there is no such
// section.
func (d *Document) Keys(section string) []string {
	return slices.Sorted(maps.Keys(d.sections[section]))
}

// Value returns the value of a key and whether the key exists.
func (d *Document) Value(section, key string) (string, bool) {
	value, ok := d.sections[section][key]
	return value, ok
}

// Apply returns a copy of the document with the changes applied in order.
// Removing a missing key or section has no effect.
func (d *Document) Apply(changes []sequoialead.Change) *Document {
	next := &Document{sections: maps.Clone(d.sections)}
	cloned := map[string]bool{}
	for _, c := range changes {
		if !cloned[c.Section] {
			next.sections[c.Section] = maps.Clone(next.sections[c.Section])
			cloned[c.Section] = true
		}
		next.apply(c)
		if len(next.sections[c.Section]) == 0 {
			delete(next.sections, c.Section)
		}
	}
	return next
}

func (d *Document) apply(c sequoialead.Change) {
	switch {
	case c.Remove && c.Key == "":
		delete(d.sections, c.Section)
	case c.Remove:
		delete(d.sections[c.Section], c.Key)
	default:
		d.set(c.Section, c.Key, c.Value)
	}
}

// Changes returns the changes that turn an empty document into this one.
func (d *Document) Changes() []sequoialead.Change {
	var changes []sequoialead.Change
	for _, section := range d.Sections() {
		for _, key := range d.Keys(section) {
			changes = append(changes, sequoialead.Change{Section: section, Key: key, Value: d.sections[section][key]})
		}
	}
	return changes
}

// String returns the document in INI format, sections and keys sorted.
func (d *Document) String() string {
	var b strings.Builder
	for i, section := range d.Sections() {
		if i > 0 {
			b.WriteByte('\n')
		}
		b.WriteString("[" + section + "]\n")
		for _, key := range d.Keys(section) {
			b.WriteString(key + " = " + d.sections[section][key] + "\n")
		}
	}
	return b.String()
}
