package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"sequoialead"
)

const (
	// maxCrashes bounds the number of crashes in memory, maxPrompts the number of suspects
	// that an entry reports for one of them, and maxParts that of a suspect's parts.
	maxCrashes = 256
	maxPrompts = 8
	maxParts   = 32
)

// evidence holds the crashes that are known and the parts that were answered.
type evidence struct {
	// self is the name of this entry.
	self string
	// spread is the time within which the other entries' reports arrive.
	spread  time.Duration
	crashes map[crashID]*crash
	// answers maps parts to the time of the first byte of the newest answer.
	answers *simplelru.LRU[uint64, time.Time]
	// reported holds the parts of this entry's own suspects.
	reported map[uint64]bool
	// lastReport is when this entry last reported a suspect.
	lastReport time.Time
	// completeAt is when the other entries' reports of the latest crash without an answer
	// that had begun must have arrived; zero if that was evaluated.
	completeAt time.Time
	// unanswered counts, for parts with an earlier answer, the server processes of this
	// entry that have ended under them since.
	unanswered map[uint64]map[crashID]bool
}

func newEvidence(self string, spread time.Duration) evidence {
	answers, err := simplelru.NewLRU[uint64, time.Time](maxAnswered, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return evidence{self: self, spread: spread, crashes: map[crashID]*crash{}, answers: answers, reported: map[uint64]bool{}, unanswered: map[uint64]map[crashID]bool{}}
}

// answered returns the time of the first byte of the newest answer to a prompt with the
// given part; zero if there was none.
func (e *evidence) answered(part uint64) time.Time {
	at, _ := e.answers.Peek(part)
	return at
}

// remembered reports whether a part was answered within answerMemory.
func (e *evidence) remembered(part uint64, now time.Time) bool {
	at, ok := e.answers.Peek(part)
	return ok && now.Sub(at) <= answerMemory
}

// shared returns the IDs of the parts that other requests may have too: all but the last.
func shared(parts []sequoialead.PromptPart) []uint64 {
	if len(parts) < 2 {
		return nil
	}
	parts = parts[:min(len(parts)-1, maxParts)]
	ids := make([]uint64, len(parts))
	for i, p := range parts {
		ids[i] = p.ID
	}
	return ids
}

// format returns the IDs as they are logged.
func format(ids []uint64) string {
	texts := make([]string, len(ids))
	for i, id := range ids {
		texts[i] = strconv.FormatUint(id, 16)
	}
	return strings.Join(texts, ",")
}

// addOwn adds a suspect of this entry, without the parts that were answered before, unless
// several servers have ended under them since the last answer. It reports false if there is
// nothing to add.
func (e *evidence) addOwn(id crashID, prompt []uint64, begun bool, now, wall time.Time) bool {
	kept := make([]uint64, 0, len(prompt))
	for _, part := range prompt {
		if !e.remembered(part, now) || e.countUnanswered(part, id) >= minCrashes {
			kept = append(kept, part)
		}
	}
	if len(kept) == 0 || !e.add(e.self, id, kept, begun, now, wall) {
		return false
	}
	e.lastReport = now
	if !begun {
		e.completeAt = now.Add(e.spread)
	}
	for _, part := range kept {
		e.reported[part] = true
	}
	return true
}

// countUnanswered returns the number of server processes that have ended under a part since
// its last answer, this one included.
func (e *evidence) countUnanswered(part uint64, id crashID) int {
	ended := e.unanswered[part]
	if ended == nil {
		ended = map[crashID]bool{}
		e.unanswered[part] = ended
	}
	ended[id] = true
	return len(ended)
}

// add adds a suspect. It reports false if it was known, or too many are.
func (e *evidence) add(entry string, id crashID, prompt []uint64, begun bool, at, wall time.Time) bool {
	c := e.crash(id, at, wall)
	if c == nil {
		return false
	}
	r := c.reports[entry]
	if r == nil {
		r = &suspects{}
		c.reports[entry] = r
	}
	list := &r.waiting
	if begun {
		list = &r.begun
	}
	if len(*list) >= maxPrompts || slices.ContainsFunc(*list, func(p []uint64) bool { return slices.Equal(p, prompt) }) {
		return false
	}
	*list = append(*list, prompt)
	return true
}

// crash returns a crash, which it adds if necessary; nil if there are too many.
func (e *evidence) crash(id crashID, at, wall time.Time) *crash {
	c := e.crashes[id]
	if c == nil && len(e.crashes) < maxCrashes {
		c = &crash{at: at, happenedAt: wall, reports: map[string]*suspects{}}
		e.crashes[id] = c
	}
	return c
}

// recordAnswer records an answer. It reports whether other entries should know that a part
// which this entry has reported was answered since.
func (e *evidence) recordAnswer(prompt []uint64, firstByteAt time.Time) (withdrawn bool) {
	for _, part := range prompt {
		previous := e.answered(part)
		if !firstByteAt.After(previous) {
			continue
		}
		e.answers.Add(part, firstByteAt)
		delete(e.unanswered, part)
		withdrawn = withdrawn || previous.Before(e.lastReport) && e.reported[part] && e.withdraws(part, previous, firstByteAt)
	}
	return withdrawn
}

// withdraws reports whether an answer clears a part of which this entry has reported a
// crash since the previous answer, and which is a suspect of other crashes too.
func (e *evidence) withdraws(id uint64, previous, answer time.Time) bool {
	own, crashes := false, 0
	for _, c := range e.crashes {
		if !contain(c.prompts(), id) {
			continue
		}
		crashes++
		r := c.reports[e.self]
		own = own || r != nil && c.at.Before(answer) && !c.at.Before(previous) && contain(slices.Concat(r.begun, r.waiting), id)
	}
	return own && crashes > 1
}

func contain(prompts [][]uint64, id uint64) bool {
	return slices.ContainsFunc(prompts, func(p []uint64) bool { return slices.Contains(p, id) })
}

// prune removes the crashes that no longer count.
func (e *evidence) prune(now time.Time) {
	pruned := false
	for id, c := range e.crashes {
		if now.Sub(c.at) > evidenceAge {
			delete(e.crashes, id)
			pruned = true
		}
	}
	if !pruned {
		return
	}
	clear(e.reported)
	for part, ended := range e.unanswered {
		for id := range ended {
			if e.crashes[id] == nil && now.Sub(e.answered(part)) > answerMemory {
				delete(ended, id)
			}
		}
		if len(ended) == 0 {
			delete(e.unanswered, part)
		}
	}
	for _, c := range e.crashes {
		if r := c.reports[e.self]; r != nil {
			for _, id := range slices.Concat(slices.Concat(r.begun, r.waiting)...) {
				e.reported[id] = true
			}
		}
	}
}

// unexplained returns the crashes that no verdict explains. A verdict is prolonged by
// each crash that it explains.
func (e *evidence) unexplained(verdicts []*verdict) map[crashID]bool {
	left := map[crashID]bool{}
	for id, c := range e.crashes {
		left[id] = true
		for _, v := range verdicts {
			if c.has(v) {
				left[id] = false
				if until := c.at.Add(hold); until.After(v.until) {
					v.until = until
				}
			}
		}
	}
	return left
}

// explain returns the verdict that explains the most crashes, among them an unexplained
// one; nil if there is none. A part of an earlier verdict needs only one unexplained
// crash with an answer that had begun: it was there without some of the other parts.
func (e *evidence) explain(unexplained map[crashID]bool, verdicts []*verdict, now time.Time) *verdict {
	var best []crashID
	bestPart := uint64(0)
	for part, crashes := range e.byPart(now) {
		if len(crashes) < minCrashes || len(crashes) < len(best) || len(crashes) == len(best) && part > bestPart {
			continue
		}
		fresh := slices.DeleteFunc(slices.Clone(crashes), func(id crashID) bool { return !unexplained[id] })
		known := slices.ContainsFunc(verdicts, func(v *verdict) bool { return slices.Contains(v.parts, part) })
		if known && slices.ContainsFunc(fresh, func(id crashID) bool { return e.crashes[id].begun() }) {
			fresh = crashes
		}
		factor := 1
		if e.remembered(part, now) {
			factor = answeredFactor
		}
		if len(fresh) > 0 && e.enough(fresh, factor) {
			best, bestPart = crashes, part
		}
	}
	if best == nil {
		return nil
	}
	return &verdict{parts: e.common(bestPart, best)}
}

// byPart returns for each part of a suspect the crashes after which it was not answered,
// in the order in which they happened.
func (e *evidence) byPart(now time.Time) map[uint64][]crashID {
	ids := slices.SortedFunc(maps.Keys(e.crashes), func(a, b crashID) int {
		return cmp.Or(e.crashes[a].happenedAt.Compare(e.crashes[b].happenedAt), cmp.Compare(a.server, b.server), cmp.Compare(a.startedAt, b.startedAt))
	})
	index := map[uint64][]crashID{}
	for _, id := range ids {
		c := e.crashes[id]
		if !e.counts(c, now) {
			continue
		}
		for _, prompt := range c.prompts() {
			for _, part := range prompt {
				list := index[part]
				if (len(list) == 0 || list[len(list)-1] != id) && !e.answered(part).After(c.at) {
					index[part] = append(list, id)
				}
			}
		}
	}
	return index
}

// counts reports whether a crash tells anything yet. If no answer is known to have begun,
// the request that caused it may be at another entry, whose report is under way; and the
// requests that other entries had waiting there say little.
func (e *evidence) counts(c *crash, now time.Time) bool {
	return c.begun() || c.reports[e.self] != nil && now.Sub(c.at) >= e.spread
}

// enough reports whether the crashes, in the order in which they happened, are enough for
// a verdict. The factor multiplies the numbers that are asked for.
func (e *evidence) enough(list []crashID, factor int) bool {
	servers := map[string]bool{}
	n := 0
	var last time.Time
	for _, id := range list {
		servers[id.server] = true
		if at := e.crashes[id].happenedAt; n == 0 || at.Sub(last) >= minSpacing {
			n, last = n+1, at
		}
	}
	return n >= factor*minCrashes && len(servers) >= minServers || n >= factor*minCrashesOneServer
}

// common returns the parts that stood beside the given part in each suspect of the
// crashes, and that were not answered since the first.
func (e *evidence) common(part uint64, list []crashID) []uint64 {
	var kept []uint64
	for _, id := range list {
		for _, p := range e.crashes[id].prompts() {
			switch {
			case !slices.Contains(p, part):
			case kept == nil:
				kept = slices.Clone(p)
			default:
				kept = slices.DeleteFunc(kept, func(id uint64) bool { return !slices.Contains(p, id) })
			}
		}
	}
	first := e.crashes[list[0]].at
	kept = slices.DeleteFunc(kept, func(id uint64) bool { return id != part && e.answered(id).After(first) })
	slices.Sort(kept)
	return slices.Compact(kept)
}

// contributed reports whether this entry has reported a suspect with all parts of a
// verdict.
func (e *evidence) contributed(v *verdict) bool {
	for _, c := range e.crashes {
		if r := c.reports[e.self]; r != nil {
			own := crash{reports: map[string]*suspects{e.self: r}}
			if own.has(v) {
				return true
			}
		}
	}
	return false
}

// count returns the number of crashes that a verdict explains.
func (e *evidence) count(v *verdict) int {
	n := 0
	for _, c := range e.crashes {
		if c.has(v) {
			n++
		}
	}
	return n
}
