package config

import (
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"sequoialead"
	"sequoialead/core/document"
)

// Routing policies that a configuration may name.
const (
	RouterTwo      = "two"
	RouterRound    = "round"
	RouterAffinity = "affinity"
)

// kindCustomer is the kind of the sections of which there are many.
const kindCustomer = "customer"

type decoder struct {
	doc *document.Document
	// names holds the sections other than those of customers, in order.
	names  []string
	config *Config
	stages map[string]Stage
	faults []error
}

// Decode checks a document as a whole. The error names every fault with its
// remedy.
func Decode(doc *document.Document) (*Config, error) {
	d := newDecoder(doc)
	for _, section := range doc.Select(isCustomer) {
		d.customer(section)
	}
	return d.decode()
}

// Update does the same for a document that was made from a valid one by
// changes. It decodes again only those customers that the changes name.
func Update(old *Config, from, to *document.Document, changes []sequoialead.Change) (*Config, error) {
	d := newDecoder(to)
	d.customers(old, from, changes)
	return d.decode()
}

func isCustomer(section string) bool {
	kind, name, ok := strings.Cut(section, ".")
	return ok && kind == kindCustomer && name != ""
}

func newDecoder(doc *document.Document) *decoder {
	return &decoder{
		doc:    doc,
		names:  doc.Select(func(section string) bool { return !isCustomer(section) }),
		stages: map[string]Stage{},
		config: &Config{
			Pipelines: map[string]Pipeline{},
			Pools:     map[string]Pool{},
			Customers: map[string]Customer{},
			Out:       map[string]bool{},
			Drained:   map[string]bool{},
			Policy:    Policy{Router: RouterAffinity, Early: true, Fair: true, Warm: true, Retries: 10, Eject: true},
		},
	}
}

// decode decodes all sections but those of customers.
func (d *decoder) decode() (*Config, error) {
	d.each("pool", d.pool)
	d.each("stage", d.stage)
	d.each("pipeline", d.pipeline)
	d.each("domain", d.domain)
	d.each("backend", d.backend)
	d.policy()
	d.unknown()
	if len(d.faults) > 0 {
		return nil, sequoialead.ErrInvalid.New("%s", errors.Join(d.faults...).Error())
	}
	return d.config, nil
}

func (d *decoder) fault(section, key, format string, args ...any) {
	d.faults = append(d.faults, fmt.Errorf("[%s] %s: %s", section, key, fmt.Sprintf(format, args...)))
}

func (d *decoder) each(kind string, decode func(section, name string)) {
	for _, section := range d.names {
		if name, ok := strings.CutPrefix(section, kind+"."); ok && name != "" {
			decode(section, name)
		}
	}
}

func (d *decoder) unknown() {
	kinds := []string{"pool", "stage", "pipeline", kindCustomer, "domain", "backend"}
next:
	for _, section := range d.names {
		if section == "policy" {
			continue
		}
		for _, kind := range kinds {
			if name, ok := strings.CutPrefix(section, kind+"."); ok && name != "" {
				continue next
			}
		}
		d.fault(section, "section", "is not known; use policy, or one of %s followed by a dot and a name", strings.Join(kinds, ", "))
	}
}

// known reports keys of a section that are not among the given ones.
func (d *decoder) known(section string, keys ...string) {
	for _, key := range d.doc.Keys(section) {
		found := false
		for _, k := range keys {
			found = found || k == key
		}
		if !found {
			d.fault(section, key, "is not known; use one of %s", strings.Join(keys, ", "))
		}
	}
}

func (d *decoder) text(section, key, fallback string) string {
	if value, ok := d.doc.Value(section, key); ok {
		return value
	}
	return fallback
}

func (d *decoder) number(section, key string, fallback, low, high int) int {
	value, ok := d.doc.Value(section, key)
	if !ok {
		return fallback
	}
	n, err := strconv.Atoi(value)
	if err != nil || n < low || n > high {
		d.fault(section, key, "%q is not a whole number from %d to %d", value, low, high)
		return fallback
	}
	return n
}

func (d *decoder) flag(section, key string, fallback bool) bool {
	value, ok := d.doc.Value(section, key)
	if !ok {
		return fallback
	}
	switch value {
	case "yes":
		return true
	case "no":
		return false
	}
	d.fault(section, key, "%q is neither yes nor no", value)
	return fallback
}

func (d *decoder) pool(section, name string) {
	d.known(section, "full", "cold", "queue")
	full := d.number(section, "full", 8, 1, MaxLimit)
	p := Pool{Name: name, Full: full}
	p.Cold = d.number(section, "cold", 1, 1, MaxLimit)
	p.Queue = d.number(section, "queue", full, 0, MaxLimit)
	if p.Cold > p.Full {
		d.fault(section, "cold", "%d is above full, which is %d; lower it", p.Cold, p.Full)
	}
	d.config.Pools[name] = p
}

func (d *decoder) stage(section, name string) {
	d.known(section, "pool", "op", "path", "idempotent", "tokens", "top")
	s := Stage{Name: name}
	s.Pool = d.text(section, "pool", "")
	s.Op = sequoialead.Op(d.text(section, "op", ""))
	s.Path = d.text(section, "path", "")
	s.Idempotent = d.flag(section, "idempotent", s.Op != sequoialead.OpInvoke)
	s.Tokens = d.number(section, "tokens", 256, 1, MaxTokens)
	s.Top = d.number(section, "top", 8, 1, MaxLimit)
	if _, ok := d.config.Pools[s.Pool]; !ok {
		d.fault(section, "pool", "%q is no pool; add a section [pool.%s]", s.Pool, s.Pool)
	}
	if !s.Op.Valid() {
		d.fault(section, "op", "%q is not known; use embed, search, rerank, generate or invoke", s.Op)
	}
	if s.Op == sequoialead.OpInvoke && !strings.HasPrefix(s.Path, "/") {
		d.fault(section, "path", "%q does not start with a slash; give the service's path", s.Path)
	}
	d.stages[name] = s
}

func (d *decoder) pipeline(section, name string) {
	d.known(section, "deadline", "stages")
	p := Pipeline{Name: name}
	value := d.text(section, "deadline", "")
	deadline, err := time.ParseDuration(value)
	if err != nil || deadline <= 0 || deadline > MaxDeadline {
		d.fault(section, "deadline", "%q is not a time up to %s; write for example 5s", value, MaxDeadline)
	}
	p.Deadline = deadline
	names := strings.Fields(d.text(section, "stages", ""))
	if len(names) == 0 || len(names) > MaxStages {
		d.fault(section, "stages", "has %d names; give 1 to %d, with spaces between", len(names), MaxStages)
	}
	for _, n := range names {
		stage, ok := d.stages[n]
		if !ok {
			d.fault(section, "stages", "%q is no stage; add a section [stage.%s]", n, n)
		}
		p.Stages = append(p.Stages, stage)
	}
	d.config.Pipelines[name] = p
}

// customers takes the customers of an old configuration, less those that
// changes name, and decodes the latter.
func (d *decoder) customers(old *Config, from *document.Document, changes []sequoialead.Change) {
	named := map[string]bool{}
	for _, c := range changes {
		if isCustomer(c.Section) {
			named[c.Section] = true
		}
	}
	d.config.Customers = old.Customers
	if len(named) == 0 {
		return
	}
	d.config.Customers = maps.Clone(old.Customers)
	for section := range named {
		delete(d.config.Customers, customerKey(from, section))
	}
	for _, section := range slices.Sorted(maps.Keys(named)) {
		if len(d.doc.Keys(section)) > 0 {
			d.customer(section)
		}
	}
}

// customerKey returns the key by which a customer is found.
func customerKey(doc *document.Document, section string) string {
	key, _ := doc.Value(section, "key")
	return strings.ToLower(key)
}

func (d *decoder) customer(section string) {
	d.known(section, "key", "share")
	name := strings.TrimPrefix(section, kindCustomer+".")
	key := customerKey(d.doc, section)
	if raw, err := hex.DecodeString(key); err != nil || len(raw) != 32 {
		d.fault(section, "key", "is not a SHA-256 in hexadecimal; make one with 'sequoialead key'")
		return
	}
	if other, ok := d.config.Customers[key]; ok {
		d.fault(section, "key", "is also the key of customer %q; make another with 'sequoialead key'", other.Name)
	}
	d.config.Customers[key] = Customer{Name: name, Share: d.number(section, "share", 1, 1, MaxShare)}
}

func (d *decoder) domain(section, name string) {
	if d.state(section, "out") {
		d.config.Out[name] = true
	}
}

func (d *decoder) backend(section, name string) {
	if d.state(section, "drained") {
		d.config.Drained[name] = true
	}
}

// state reports whether the section's state is the given one and not "in".
func (d *decoder) state(section, away string) bool {
	d.known(section, "state")
	switch value := d.text(section, "state", "in"); value {
	case away:
		return true
	case "in":
	default:
		d.fault(section, "state", "%q is not known; use in or %s", value, away)
	}
	return false
}

func (d *decoder) policy() {
	const section = "policy"
	d.known(section, "router", "early", "fair", "warm", "retries", "eject")
	p := &d.config.Policy
	p.Router = d.text(section, "router", p.Router)
	switch p.Router {
	case RouterTwo, RouterRound, RouterAffinity:
	default:
		d.fault(section, "router", "%q is not known; use two, round or affinity", p.Router)
	}
	p.Early = d.flag(section, "early", p.Early)
	p.Fair = d.flag(section, "fair", p.Fair)
	p.Warm = d.flag(section, "warm", p.Warm)
	p.Retries = d.number(section, "retries", p.Retries, 0, 100)
	p.Eject = d.flag(section, "eject", p.Eject)
}
