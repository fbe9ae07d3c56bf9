// Package workload describes a load test: which requests arrive when, and which faults
// and configuration changes happen to the system meanwhile.
package workload

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"sequoialead"
	"sequoialead/common/inisection"
)

// Workload describes the requests and actions of a load test.
type Workload struct {
	// Rate is the mean number of requests per second outside of bursts. Requests
	// arrive as a Poisson process.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// BurstFactor multiplies Rate for BurstDuration at the end of each
	// BurstPeriod. There are no bursts if BurstPeriod is zero.
	BurstFactor   float64
	BurstDuration time.Duration
	BurstPeriod   time.Duration
	Kinds         []Kind
	// Actions is sorted by time.
	Actions []Action
}

// Kind describes one kind of request.
type Kind struct {
	Name     string
	Pipeline string
	Customer string
	// CustomerKey is the customer's API key.
	CustomerKey string
	// Weight is the kind's share of the requests, relative to the sum of the weights
	// of all kinds.
	Weight float64
	// From and Until bound the time in which requests of the kind are sent, since
	// the start of the test. Outside of this time, arrivals of the kind are dropped
	// and not replaced by other kinds, so that the total rate is lower. There is no
	// upper bound if Until is zero.
	From  time.Duration
	Until time.Duration
	// TextBytes is the approximate length of the request's text. Its first
	// PrefixBytes bytes are one of Prefixes different texts, which requests share so
	// that they can use prefix caches.
	TextBytes   int
	PrefixBytes int
	Prefixes    int
	Stream      bool
	Deadline    time.Duration
	// WithIdempotencyKey sends an idempotency key with each request.
	WithIdempotencyKey bool
}

// Action is a configuration change or a fault that is applied during the test.
type Action struct {
	// At is the time since the start of the test.
	At time.Duration
	// Args holds the verb and its arguments; at least two strings.
	Args []string
}

// Arrival is one scheduled request.
type Arrival struct {
	// At is the time since the start of the test.
	At   time.Duration
	Kind *Kind
	// ID is unique within the schedule.
	ID   string
	Text string
}

// Verbs that an action may start with. VerbPatch, VerbDrain and VerbRestore change
// the configuration. The others set the fault of stand-ins for backend servers:
// VerbCold restarts them cold, VerbSlow multiplies the durations of their calls by a
// factor, VerbFail makes every call fail and VerbRepair removes the fault.
const (
	VerbPatch   = "patch"
	VerbDrain   = "drain"
	VerbRestore = "restore"
	VerbCold    = "cold"
	VerbSlow    = "slow"
	VerbFail    = "fail"
	VerbRepair  = "mend"
)

// Parse reads a workload in INI format. The name of the source appears in
// errors, which are of kind ErrSettings.
func Parse(name string, text []byte) (*Workload, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: false}, text)
	if err != nil {
		return nil, sequoialead.ErrSettings.Wrap(err, "%s is not valid INI; correct the line named", name)
	}
	r := inisection.New(name)
	w := &Workload{}
	for _, s := range file.Sections() {
		r.SetSection(s)
		prefix, label, _ := strings.Cut(s.Name(), ".")
		switch prefix {
		case ini.DefaultSection:
		case "load":
			parseLoad(r, w)
		case "request":
			w.Kinds = append(w.Kinds, parseKind(r, label))
		case "action":
			w.Actions = append(w.Actions, parseAction(r))
		default:
			r.Fail("section", "is not known; use load, request.NAME or action.NAME")
		}
	}
	if r.Err() == nil && (w.Rate <= 0 || w.Duration <= 0 || len(w.Kinds) == 0) {
		return nil, sequoialead.ErrSettings.New("%s: give rate and time in [load], and at least one [request.NAME]", name)
	}
	sort.SliceStable(w.Actions, func(i, j int) bool { return w.Actions[i].At < w.Actions[j].At })
	return w, r.Err()
}

func parseLoad(r *inisection.Reader, w *Workload) {
	w.Rate = r.Float("rate", 0)
	w.Duration = r.Duration("time")
	w.Seed = uint64(r.Float("seed", 1))
	w.BurstFactor = r.Float("burst", 1)
	w.BurstDuration = r.Duration("burst-time")
	w.BurstPeriod = r.Duration("burst-period")
}

func parseKind(r *inisection.Reader, name string) Kind {
	k := Kind{
		Name:               name,
		Pipeline:           r.Optional("pipeline", ""),
		Customer:           r.Optional("customer", ""),
		Weight:             r.Float("weight", 1),
		From:               r.Duration("from"),
		Until:              r.Duration("until"),
		TextBytes:          int(r.Float("bytes", 64)),
		PrefixBytes:        int(r.Float("prefix", 0)),
		Prefixes:           int(r.Float("prefixes", 1)),
		Stream:             r.Bool("stream"),
		Deadline:           r.Duration("deadline"),
		WithIdempotencyKey: r.Bool("keyed"),
	}
	k.CustomerKey = r.Optional("key", k.Customer+"-key")
	if k.Pipeline == "" || k.Customer == "" || k.Deadline == 0 {
		r.Fail("pipeline, customer and deadline", "are required; add them")
	}
	return k
}

func parseAction(r *inisection.Reader) Action {
	a := Action{At: r.Duration("at"), Args: strings.Fields(r.Optional("do", ""))}
	if len(a.Args) < 2 {
		r.Fail("do", "has no verb with arguments; write for example drain domain nz-1")
		return a
	}
	switch a.Args[0] {
	case VerbPatch, VerbDrain, VerbRestore, VerbCold, VerbSlow, VerbFail, VerbRepair:
	default:
		r.Fail("do", "has an unknown verb; use patch, drain, restore, cold, slow, fail or mend")
	}
	return a
}

// rateAt returns the arrival rate per second at a time since the start.
func (w *Workload) rateAt(at time.Duration) float64 {
	if w.BurstPeriod > 0 && at%w.BurstPeriod >= w.BurstPeriod-w.BurstDuration {
		return w.Rate * w.BurstFactor
	}
	return w.Rate
}

// Schedule returns all arrivals in order. It is deterministic: two calls for the
// same workload, with the same seed, return the same arrivals.
func (w *Workload) Schedule() []Arrival {
	random := rand.New(rand.NewPCG(w.Seed, w.Seed))
	var arrivals []Arrival
	for at := time.Duration(0); ; {
		gap := random.ExpFloat64() / w.rateAt(at)
		at += time.Duration(gap * float64(time.Second))
		if at >= w.Duration {
			return arrivals
		}
		if k := w.drawKind(random, at); k != nil {
			id := fmt.Sprintf("%d-%d", w.Seed, len(arrivals))
			arrivals = append(arrivals, Arrival{At: at, Kind: k, ID: id, Text: k.makeText(random, id)})
		}
	}
}

// drawKind returns a random kind with a probability proportional to its weight, or
// nil if the drawn kind is not sent at this time.
func (w *Workload) drawKind(random *rand.Rand, at time.Duration) *Kind {
	sum := 0.0
	for _, k := range w.Kinds {
		sum += k.Weight
	}
	x := random.Float64() * sum
	for i := range w.Kinds {
		k := &w.Kinds[i]
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

func (k *Kind) makeText(random *rand.Rand, id string) string {
	prefix := ""
	if k.PrefixBytes > 0 {
		start := fmt.Sprintf("%s %d ", k.Name, random.IntN(max(k.Prefixes, 1)))
		prefix = strings.Repeat(start, k.PrefixBytes/len(start)+1)[:k.PrefixBytes]
	}
	rest := max(k.TextBytes-k.PrefixBytes-len(id), 0)
	return prefix + id + strings.Repeat(" w", rest/2)
}
