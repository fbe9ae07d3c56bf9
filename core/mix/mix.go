// Package mix describes a load: which requests arrive when, and what happens
// to the system meanwhile. Its exported types are the parts of a mix.
package mix

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"sequoialead"
)

// Mix is a load.
type Mix struct {
	// Rate is the mean number of requests per second.
	Rate float64
	Time time.Duration
	Seed uint64
	// Burst multiplies the rate for BurstTime at the end of each BurstPeriod.
	Burst       float64
	BurstTime   time.Duration
	BurstPeriod time.Duration
	Kinds       []Kind
	// Actions are in the order of their times.
	Actions []Action
}

// Kind is one kind of request.
type Kind struct {
	Name     string
	Pipeline string
	Customer string
	// Key is the customer's key.
	Key string
	// Weight is the kind's share of the requests.
	Weight float64
	// From and Until bound the time in which the kind arrives.
	From  time.Duration
	Until time.Duration
	// Bytes is the length of the text, of which Prefix bytes are one of
	// Prefixes shared starts.
	Bytes    int
	Prefix   int
	Prefixes int
	Stream   bool
	Deadline time.Duration
	// Keyed requests bear an idempotency key.
	Keyed bool
}

// Action is something done to the system.
type Action struct {
	At time.Duration
	// Words are the verb and its arguments.
	Words []string
}

// Arrival is one request to be sent.
type Arrival struct {
	At   time.Duration
	Kind *Kind
	// ID is unique within the load.
	ID   string
	Text string
}

// Verbs that an action may begin with.
const (
	VerbPatch   = "patch"
	VerbDrain   = "drain"
	VerbRestore = "restore"
	VerbCold    = "cold"
	VerbSlow    = "slow"
	VerbFail    = "fail"
	VerbMend    = "mend"
)

// Parse reads a mix in INI form. The name is used in errors.
func Parse(name string, text []byte) (*Mix, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: false}, text)
	if err != nil {
		return nil, sequoialead.ErrSettings.Wrap(err, "%s is not in INI form; correct the line named", name)
	}
	p := &parser{name: name}
	m := &Mix{}
	for _, s := range file.Sections() {
		p.section = s
		kind, label, _ := strings.Cut(s.Name(), ".")
		switch kind {
		case ini.DefaultSection:
		case "load":
			p.load(m)
		case "request":
			m.Kinds = append(m.Kinds, p.kind(label))
		case "action":
			m.Actions = append(m.Actions, p.action())
		default:
			p.fault("section", "is not known; use load, request.NAME or action.NAME")
		}
	}
	if p.err == nil && (m.Rate <= 0 || m.Time <= 0 || len(m.Kinds) == 0) {
		return nil, sequoialead.ErrSettings.New("%s: give rate and time in [load], and at least one [request.NAME]", name)
	}
	sort.SliceStable(m.Actions, func(i, j int) bool { return m.Actions[i].At < m.Actions[j].At })
	return m, p.err
}

type parser struct {
	name    string
	section *ini.Section
	// err is the first fault.
	err error
}

func (p *parser) fault(key, remedy string) {
	if p.err == nil {
		p.err = sequoialead.ErrSettings.New("%s: [%s] %s %s", p.name, p.section.Name(), key, remedy)
	}
}

// time reads a time, which is zero if the key is missing.
func (p *parser) time(key string) time.Duration {
	if !p.section.HasKey(key) {
		return 0
	}
	d, err := p.section.Key(key).Duration()
	if err != nil || d < 0 {
		p.fault(key, "is not a time such as 10s")
	}
	return d
}

func (p *parser) number(key string, fallback float64) float64 {
	if !p.section.HasKey(key) {
		return fallback
	}
	n, err := p.section.Key(key).Float64()
	if err != nil || n < 0 {
		p.fault(key, "is not a number from 0")
	}
	return n
}

func (p *parser) flag(key string) bool {
	switch p.section.Key(key).String() {
	case "yes":
		return true
	case "", "no":
		return false
	}
	p.fault(key, "is neither yes nor no")
	return false
}

func (p *parser) load(m *Mix) {
	m.Rate = p.number("rate", 0)
	m.Time = p.time("time")
	m.Seed = uint64(p.number("seed", 1))
	m.Burst = p.number("burst", 1)
	m.BurstTime = p.time("burst-time")
	m.BurstPeriod = p.time("burst-period")
}

func (p *parser) kind(name string) Kind {
	k := Kind{
		Name:     name,
		Pipeline: p.section.Key("pipeline").String(),
		Customer: p.section.Key("customer").String(),
		Weight:   p.number("weight", 1),
		From:     p.time("from"),
		Until:    p.time("until"),
		Bytes:    int(p.number("bytes", 64)),
		Prefix:   int(p.number("prefix", 0)),
		Prefixes: int(p.number("prefixes", 1)),
		Stream:   p.flag("stream"),
		Deadline: p.time("deadline"),
		Keyed:    p.flag("keyed"),
	}
	k.Key = p.section.Key("key").MustString(k.Customer + "-key")
	if k.Pipeline == "" || k.Customer == "" || k.Deadline == 0 {
		p.fault("pipeline, customer and deadline", "are needed; add them")
	}
	return k
}

func (p *parser) action() Action {
	a := Action{At: p.time("at"), Words: strings.Fields(p.section.Key("do").String())}
	if len(a.Words) < 2 {
		p.fault("do", "has no verb with arguments; write for example drain domain nz-1")
		return a
	}
	switch a.Words[0] {
	case VerbPatch, VerbDrain, VerbRestore, VerbCold, VerbSlow, VerbFail, VerbMend:
	default:
		p.fault("do", "has an unknown verb; use patch, drain, restore, cold, slow, fail or mend")
	}
	return a
}

// rate returns the rate at a time.
func (m *Mix) rate(at time.Duration) float64 {
	if m.BurstPeriod > 0 && at%m.BurstPeriod >= m.BurstPeriod-m.BurstTime {
		return m.Rate * m.Burst
	}
	return m.Rate
}

// Schedule returns all arrivals in order. It depends on the mix alone.
func (m *Mix) Schedule() []Arrival {
	random := rand.New(rand.NewPCG(m.Seed, m.Seed))
	var arrivals []Arrival
	for at := time.Duration(0); ; {
		gap := random.ExpFloat64() / m.rate(at)
		at += time.Duration(gap * float64(time.Second))
		if at >= m.Time {
			return arrivals
		}
		if k := m.draw(random, at); k != nil {
			id := fmt.Sprintf("%d-%d", m.Seed, len(arrivals))
			arrivals = append(arrivals, Arrival{At: at, Kind: k, ID: id, Text: k.text(random, id)})
		}
	}
}

// draw returns a kind by weight, or nil where the drawn one does not arrive at
// this time.
func (m *Mix) draw(random *rand.Rand, at time.Duration) *Kind {
	sum := 0.0
	for _, k := range m.Kinds {
		sum += k.Weight
	}
	x := random.Float64() * sum
	for i := range m.Kinds {
		k := &m.Kinds[i]
		if x -= k.Weight; x >= 0 {
			continue
		}
		if at < k.From || k.Until > 0 && at >= k.Until {
			return nil
		}
		return k
	}
	return nil
}

func (k *Kind) text(random *rand.Rand, id string) string {
	prefix := ""
	if k.Prefix > 0 {
		start := fmt.Sprintf("%s %d ", k.Name, random.IntN(max(k.Prefixes, 1)))
		prefix = strings.Repeat(start, k.Prefix/len(start)+1)[:k.Prefix]
	}
	rest := max(k.Bytes-k.Prefix-len(id), 0)
	return prefix + id + strings.Repeat(" w", rest/2)
}
