// Package quarantine finds the parts of prompts that end the backend servers which begin
// to answer them, and keeps requests with these parts from further servers.
//
// A request whose server ends before the first byte of its answer is a suspect, and so
// are the others that the server had not begun to answer. A part that was among the
// suspects of several crashes, and in no answer since, explains them. Entries tell each
// other of crashes, because each sees only its own requests; they leave out parts that
// they have seen answered.
package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"sequoialead"
)

const (
	// minCrashes is the number of crashes that a part has to explain, at minServers
	// backend servers or more. minCrashesOneServer replaces it if all were at one
	// server, which may be faulty itself.
	minCrashes          = 3
	minServers          = 2
	minCrashesOneServer = 5
	// answeredFactor multiplies these numbers for a part that this entry has seen
	// answered before.
	answeredFactor = 2
	// minSpacing is the time within which several crashes count as one. Servers that
	// end at the same moment have a common cause outside of their requests.
	minSpacing = 300 * time.Millisecond
	// evidenceAge is how long a crash counts.
	evidenceAge = 30 * time.Second
	// hold is how long requests are held back after the last crash that a part
	// explains.
	hold = 5 * time.Minute
	// recentAnswer is the age of an answer up to which it contradicts another
	// entry's verdict on the same parts.
	recentAnswer = 10 * time.Second
	// answerMemory is how long an answer speaks for its parts, and maxAnswered the
	// number of parts that are remembered.
	answerMemory = 5 * time.Minute
	maxAnswered  = 8192
)

// Options configures a quarantine.
type Options struct {
	// Entry is the name of this entry.
	Entry string
	Log   klog.Logger
	// Metrics receives counters and the number of verdicts in force.
	Metrics *metrics.Set
	// Now is a clock that also runs while the machine is suspended. Wall is the time
	// of day, by which entries tell each other when something happened.
	Now  func() time.Time
	Wall func() time.Time
	// Spread is the time within which the other entries' reports of a crash arrive.
	Spread time.Duration
}

// verdict holds back requests that have all of its parts. It has one part as soon as the
// evidence tells that part from those that came with it.
type verdict struct {
	parts []uint64
	since time.Time
	until time.Time
	// own is set if this entry contributed to the evidence, and so tells others.
	own bool
}

// Quarantine keeps the evidence of this and other entries, and the verdicts. It is safe
// for concurrent use.
type Quarantine struct {
	opts Options
	// verdicts is replaced as a whole, so that Check needs no lock.
	verdicts atomic.Pointer[[]*verdict]
	changed  chan struct{}

	mu       sync.Mutex
	evidence evidence
	// refuted holds the parts of verdicts that an answer has contradicted, with the
	// time of day.
	refuted map[uint64]time.Time
	// pending is set while there is evidence that was not evaluated.
	pending bool
	// restored is set once the record of an earlier process of this entry was applied.
	restored bool
}

// New returns a quarantine without evidence.
func New(opts Options) *Quarantine {
	q := &Quarantine{
		opts: opts, changed: make(chan struct{}, 1), refuted: map[uint64]time.Time{},
		evidence: newEvidence(opts.Entry, opts.Spread),
	}
	q.verdicts.Store(&[]*verdict{})
	opts.Metrics.NewGauge("sequoialead_quarantined", func() float64 { return float64(len(*q.verdicts.Load())) })
	return q
}

// Check returns until when requests with the given parts are held back; zero if they
// are not.
func (q *Quarantine) Check(parts []sequoialead.PromptPart) time.Time {
	verdicts := *q.verdicts.Load()
	if len(verdicts) == 0 {
		return time.Time{}
	}
	now := q.opts.Now()
	for _, v := range verdicts {
		if now.Before(v.until) && v.matches(parts) {
			return v.until
		}
	}
	return time.Time{}
}

func (v *verdict) matches(parts []sequoialead.PromptPart) bool {
	for _, id := range v.parts {
		if !slices.ContainsFunc(parts, func(p sequoialead.PromptPart) bool { return p.ID == id }) {
			return false
		}
	}
	return true
}

// RecordCrash records that a server process ended while it had a request with the given
// parts, of whose answer no byte had come. Begun is set if the head of the answer had.
func (q *Quarantine) RecordCrash(server sequoialead.Server, parts []sequoialead.PromptPart, begun bool) {
	prompt := shared(parts)
	if len(prompt) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	id := crashID{server: server.ID, startedAt: server.StartedAt.UnixMilli()}
	if q.evidence.addOwn(id, prompt, begun, q.opts.Now(), q.opts.Wall()) {
		q.opts.Log.Info("crash-suspect", "server", id.server, "started", server.StartedAt, "begun", begun, "parts", format(prompt))
		q.pending = true
		if begun {
			q.evaluate()
		}
		q.markChanged()
	}
}

// RecordAnswer records that an answer to a prompt with the given parts went on, whose first
// byte came at the given time.
func (q *Quarantine) RecordAnswer(parts []sequoialead.PromptPart, firstByteAt time.Time) {
	prompt := shared(parts)
	if len(prompt) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.evidence.recordAnswer(prompt, firstByteAt) {
		q.markChanged()
	}
	for _, v := range *q.verdicts.Load() {
		if v.matches(parts) && firstByteAt.After(v.since) {
			for _, id := range v.parts {
				q.refuted[id] = q.opts.Wall()
			}
			q.drop(v, "answered")
			q.markChanged()
		}
	}
}

// Refresh evaluates new evidence, and that for which the reports of other entries must have
// arrived. It has to be called several times a second.
func (q *Quarantine) Refresh() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if at := q.evidence.completeAt; !at.IsZero() && !q.opts.Now().Before(at) {
		q.evidence.completeAt = time.Time{}
		q.pending = true
	}
	if q.pending {
		q.evaluate()
	}
}

// evaluate makes verdicts of the evidence, and prolongs those that explain a new crash.
// q.mu must be held.
func (q *Quarantine) evaluate() {
	q.pending = false
	now := q.opts.Now()
	q.evidence.prune(now)
	verdicts := q.current(now)
	for {
		found := q.evidence.explain(q.evidence.unexplained(verdicts), verdicts, now)
		if found == nil {
			break
		}
		found.since, found.until, found.own = now, now.Add(hold), q.evidence.contributed(found)
		verdicts = slices.DeleteFunc(verdicts, func(v *verdict) bool { return containsAll(v.parts, found.parts) })
		verdicts = append(verdicts, found)
		q.opts.Log.Info("quarantine", "parts", format(found.parts), "crashes", q.evidence.count(found), "hold", hold, "own", found.own)
	}
	q.verdicts.Store(&verdicts)
}

// containsAll reports whether a list of parts has all of the given ones.
func containsAll(list, parts []uint64) bool {
	return !slices.ContainsFunc(parts, func(id uint64) bool { return !slices.Contains(list, id) })
}

// current returns copies of the verdicts that have not expired. Those in force are not
// changed, since Check reads them without a lock.
func (q *Quarantine) current(now time.Time) []*verdict {
	kept := make([]*verdict, 0, len(*q.verdicts.Load())+1)
	for _, v := range *q.verdicts.Load() {
		if now.Before(v.until) {
			c := *v
			kept = append(kept, &c)
		} else {
			q.opts.Log.Info("quarantine-end", "parts", format(v.parts), "cause", "expired")
		}
	}
	return kept
}

// drop removes a verdict. q.mu must be held.
func (q *Quarantine) drop(v *verdict, cause string) {
	kept := slices.DeleteFunc(slices.Clone(*q.verdicts.Load()), func(o *verdict) bool { return o == v })
	q.verdicts.Store(&kept)
	q.opts.Log.Info("quarantine-end", "parts", format(v.parts), "cause", cause)
}

// Changed returns a channel that has a value after the result of Record has changed.
func (q *Quarantine) Changed() <-chan struct{} { return q.changed }

func (q *Quarantine) markChanged() {
	select {
	case q.changed <- struct{}{}:
	default:
	}
}
