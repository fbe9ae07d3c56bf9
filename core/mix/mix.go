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
	"sequoialead/common/section"
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
	r := section.New(name)
	m := &Mix{}
	for _, s := range file.Sections() {
		r.Enter(s)
		word, label, _ := strings.Cut(s.Name(), ".")
		switch word {
		case ini.DefaultSection:
		case "load":
			load(r, m)
		case "request":
			m.Kinds = append(m.Kinds, kind(r, label))
		case "action":
			m.Actions = append(m.Actions, action(r))
		default:
			r.Fault("section", "is not known; use load, request.NAME or action.NAME")
		}
	}
	if r.Err() == nil && (m.Rate <= 0 || m.Time <= 0 || len(m.Kinds) == 0) {
		return nil, sequoialead.ErrSettings.New("%s: give rate and time in [load], and at least one [request.NAME]", name)
	}
	sort.SliceStable(m.Actions, func(i, j int) bool { return m.Actions[i].At < m.Actions[j].At })
	return m, r.Err()
}

func load(r *section.Reader, m *Mix) {
	m.Rate = r.Number("rate", 0)
	m.Time = r.Time("time")
	m.Seed = uint64(r.Number("seed", 1))
	m.Burst = r.Number("burst", 1)
	m.BurstTime = r.Time("burst-time")
	m.BurstPeriod = r.Time("burst-period")
}

func kind(r *section.Reader, name string) Kind {
	k := Kind{
		Name:     name,
		Pipeline: r.Optional("pipeline", ""),
		Customer: r.Optional("customer", ""),
		Weight:   r.Number("weight", 1),
		From:     r.Time("from"),
		Until:    r.Time("until"),
		Bytes:    int(r.Number("bytes", 64)),
		Prefix:   int(r.Number("prefix", 0)),
		Prefixes: int(r.Number("prefixes", 1)),
		Stream:   r.Flag("stream"),
		Deadline: r.Time("deadline"),
		Keyed:    r.Flag("keyed"),
	}
	k.Key = r.Optional("key", k.Customer+"-key")
	if k.Pipeline == "" || k.Customer == "" || k.Deadline == 0 {
		r.Fault("pipeline, customer and deadline", "are needed; add them")
	}
	return k
}

func action(r *section.Reader) Action {
	a := Action{At: r.Time("at"), Words: strings.Fields(r.Optional("do", ""))}
	if len(a.Words) < 2 {
		r.Fault("do", "has no verb with arguments; write for example drain domain nz-1")
		return a
	}
	switch a.Words[0] {
	case VerbPatch, VerbDrain, VerbRestore, VerbCold, VerbSlow, VerbFail, VerbMend:
	default:
		r.Fault("do", "has an unknown verb; use patch, drain, restore, cold, slow, fail or mend")
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
