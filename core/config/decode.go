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

// Routing policies, as written in a configuration.
const (
	// RouterTwoChoices picks the less loaded of two random candidates.
	RouterTwoChoices = "two"
	// RouterRoundRobin picks the candidates in turn.
	RouterRoundRobin = "round"
	// RouterAffinity prefers backend servers that have served the same prompt
	// prefix.
	RouterAffinity = "affinity"
)

// kindCustomer is the prefix of customers' section names. Customers are decoded
// separately from the other sections: there may be thousands of them, and Update
// decodes only those that have changed.
const kindCustomer = "customer"

type decoder struct {
	doc *document.Document
	// sections holds the names of all sections except customers', sorted.
	sections []string
	config   *Config
	stages   map[string]Stage
	errs     []error
}

// Decode decodes and validates a document. The error, of kind ErrInvalid, lists
// every invalid value and how to correct it.
func Decode(doc *document.Document) (*Config, error) {
	d := newDecoder(doc)
	for _, section := range doc.SectionsMatching(isCustomer) {
		d.customer(section)
	}
	return d.decode()
}

// Update decodes the document to incrementally, with the same result as Decode.
// The document must be the result of applying changes to from, and old must be
// the valid configuration decoded from from. Update is faster than Decode because
// it decodes only those customers that the changes name.
func Update(old *Config, from, to *document.Document, changes []sequoialead.Change) (*Config, error) {
	d := newDecoder(to)
	d.updateCustomers(old, from, changes)
	return d.decode()
}

func isCustomer(section string) bool {
	kind, name, ok := strings.Cut(section, ".")
	return ok && kind == kindCustomer && name != ""
}

func newDecoder(doc *document.Document) *decoder {
	return &decoder{
		doc:      doc,
		sections: doc.SectionsMatching(func(section string) bool { return !isCustomer(section) }),
		stages:   map[string]Stage{},
		config: &Config{
			Pipelines:        map[string]Pipeline{},
			Pools:            map[string]Pool{},
			Customers:        map[string]Customer{},
			EvacuatedDomains: map[string]bool{},
			DrainedBackends:  map[string]bool{},
			Policy:           Policy{Router: RouterAffinity, RejectLate: true, FairShare: true, WarmUp: true, RetryPercent: 10, EjectOutliers: true},
		},
	}
}

// decode decodes all sections except customers'.
func (d *decoder) decode() (*Config, error) {
	d.forEach("pool", d.pool)
	d.forEach("stage", d.stage)
	d.forEach("pipeline", d.pipeline)
	d.forEach("domain", d.domain)
	d.forEach("backend", d.backend)
	d.policy()
	d.checkSections()
	if len(d.errs) > 0 {
		return nil, sequoialead.ErrInvalid.New("%s", errors.Join(d.errs...).Error())
	}
	return d.config, nil
}

func (d *decoder) addError(section, key, format string, args ...any) {
	d.errs = append(d.errs, fmt.Errorf("[%s] %s: %s", section, key, fmt.Sprintf(format, args...)))
}

func (d *decoder) forEach(kind string, decode func(section, name string)) {
	for _, section := range d.sections {
		if name, ok := strings.CutPrefix(section, kind+"."); ok && name != "" {
			decode(section, name)
		}
	}
}

func (d *decoder) checkSections() {
	kinds := []string{"pool", "stage", "pipeline", kindCustomer, "domain", "backend"}
next:
	for _, section := range d.sections {
		if section == "policy" {
			continue
		}
		for _, kind := range kinds {
			if name, ok := strings.CutPrefix(section, kind+"."); ok && name != "" {
				continue next
			}
		}
		d.addError(section, "section", "is not known; use policy, or one of %s followed by a dot and a name", strings.Join(kinds, ", "))
	}
}

// checkKeys records an error for each key of a section that is not in keys.
func (d *decoder) checkKeys(section string, keys ...string) {
	for _, key := range d.doc.Keys(section) {
		found := false
		for _, k := range keys {
			found = found || k == key
		}
		if !found {
			d.addError(section, key, "is not known; use one of %s", strings.Join(keys, ", "))
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
		d.addError(section, key, "%q is not a whole number from %d to %d", value, low, high)
		return fallback
	}
	return n
}

func (d *decoder) boolean(section, key string, fallback bool) bool {
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
	d.addError(section, key, "%q is neither yes nor no", value)
	return fallback
}

func (d *decoder) pool(section, name string) {
	d.checkKeys(section, "full", "cold", "queue")
	full := d.number(section, "full", 8, 1, MaxLimit)
	p := Pool{Name: name, WarmLimit: full}
	p.ColdLimit = d.number(section, "cold", 1, 1, MaxLimit)
	p.QueueLimit = d.number(section, "queue", full, 0, MaxLimit)
	if p.ColdLimit > p.WarmLimit {
		d.addError(section, "cold", "%d is above full, which is %d; lower it", p.ColdLimit, p.WarmLimit)
	}
	d.config.Pools[name] = p
}

func (d *decoder) stage(section, name string) {
	d.checkKeys(section, "pool", "op", "path", "idempotent", "tokens", "top")
	s := Stage{Name: name}
	s.Pool = d.text(section, "pool", "")
	s.Op = sequoialead.Op(d.text(section, "op", ""))
	s.Path = d.text(section, "path", "")
	s.Idempotent = d.boolean(section, "idempotent", s.Op != sequoialead.OpInvoke)
	s.MaxTokens = d.number(section, "tokens", 256, 1, MaxTokens)
	s.MaxResults = d.number(section, "top", 8, 1, MaxLimit)
	if _, ok := d.config.Pools[s.Pool]; !ok {
		d.addError(section, "pool", "pool %q is not defined; add a section [pool.%s]", s.Pool, s.Pool)
	}
	if !s.Op.Valid() {
		d.addError(section, "op", "%q is not known; use embed, search, rerank, generate or invoke", s.Op)
	}
	if s.Op == sequoialead.OpInvoke && !strings.HasPrefix(s.Path, "/") {
		d.addError(section, "path", "%q does not start with a slash; give the service's path", s.Path)
	}
	d.stages[name] = s
}

func (d *decoder) pipeline(section, name string) {
	d.checkKeys(section, "deadline", "stages")
	p := Pipeline{Name: name}
	value := d.text(section, "deadline", "")
	deadline, err := time.ParseDuration(value)
	if err != nil || deadline <= 0 || deadline > MaxDeadline {
		d.addError(section, "deadline", "%q is not a duration above zero and up to %s; write for example 5s", value, MaxDeadline)
	}
	p.Deadline = deadline
	names := strings.Fields(d.text(section, "stages", ""))
	if len(names) == 0 || len(names) > MaxStages {
		d.addError(section, "stages", "lists %d stages; list 1 to %d, separated by spaces", len(names), MaxStages)
	}
	for _, n := range names {
		stage, ok := d.stages[n]
		if !ok {
			d.addError(section, "stages", "stage %q is not defined; add a section [stage.%s]", n, n)
		}
		p.Stages = append(p.Stages, stage)
	}
	d.config.Pipelines[name] = p
}

// updateCustomers copies the customers of an old configuration and decodes again
// those that the changes name.
func (d *decoder) updateCustomers(old *Config, from *document.Document, changes []sequoialead.Change) {
	changed := map[string]bool{}
	for _, c := range changes {
		if isCustomer(c.Section) {
			changed[c.Section] = true
		}
	}
	d.config.Customers = old.Customers
	if len(changed) == 0 {
		return
	}
	d.config.Customers = maps.Clone(old.Customers)
	for section := range changed {
		delete(d.config.Customers, customerKey(from, section))
	}
	for _, section := range slices.Sorted(maps.Keys(changed)) {
		if len(d.doc.Keys(section)) > 0 {
			d.customer(section)
		}
	}
}

// customerKey returns a customer's key in Config.Customers.
func customerKey(doc *document.Document, section string) string {
	key, _ := doc.Value(section, "key")
	return strings.ToLower(key)
}

func (d *decoder) customer(section string) {
	d.checkKeys(section, "key", "share")
	name := strings.TrimPrefix(section, kindCustomer+".")
	key := customerKey(d.doc, section)
	if raw, err := hex.DecodeString(key); err != nil || len(raw) != 32 {
		d.addError(section, "key", "is not a SHA-256 in hexadecimal; make one with 'sequoialead key'")
		return
	}
	if other, ok := d.config.Customers[key]; ok {
		d.addError(section, "key", "is also the key of customer %q; make another with 'sequoialead key'", other.Name)
	}
	d.config.Customers[key] = Customer{Name: name, Weight: d.number(section, "share", 1, 1, MaxWeight)}
}

func (d *decoder) domain(section, name string) {
	if d.hasState(section, "out") {
		d.config.EvacuatedDomains[name] = true
	}
}

func (d *decoder) backend(section, name string) {
	if d.hasState(section, "drained") {
		d.config.DrainedBackends[name] = true
	}
}

// hasState reports whether a section's state is the given one. The only other
// valid state is "in", which is the default.
func (d *decoder) hasState(section, want string) bool {
	d.checkKeys(section, "state")
	switch value := d.text(section, "state", "in"); value {
	case want:
		return true
	case "in":
	default:
		d.addError(section, "state", "%q is not known; use in or %s", value, want)
	}
	return false
}

func (d *decoder) policy() {
	const section = "policy"
	d.checkKeys(section, "router", "early", "fair", "warm", "retries", "eject")
	p := &d.config.Policy
	p.Router = d.text(section, "router", p.Router)
	switch p.Router {
	case RouterTwoChoices, RouterRoundRobin, RouterAffinity:
	default:
		d.addError(section, "router", "%q is not known; use two, round or affinity", p.Router)
	}
	p.RejectLate = d.boolean(section, "early", p.RejectLate)
	p.FairShare = d.boolean(section, "fair", p.FairShare)
	p.WarmUp = d.boolean(section, "warm", p.WarmUp)
	p.RetryPercent = d.number(section, "retries", p.RetryPercent, 0, 100)
	p.EjectOutliers = d.boolean(section, "eject", p.EjectOutliers)
}
