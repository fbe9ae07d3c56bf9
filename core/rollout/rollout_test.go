package rollout_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead/core/rollout"
)

const (
	share      = 0.1
	slack      = 50
	rollback   = 5 * time.Second
	tick       = 10 * time.Millisecond
	reportTime = 400 * time.Millisecond
	readTime   = 400 * time.Millisecond
	updateTime = 200 * time.Millisecond
	// loadWindow is the time over which the load of the new servers is measured.
	loadWindow = 300 * time.Millisecond
)

// answer is what the new version makes of a request.
type answer struct {
	fails bool
	// factor multiplies the usual time to the first byte.
	factor float64
}

// version describes the new version. since is the time from the order, and load the part
// of its full load that the version's servers have.
type version func(random *rand.Rand, since time.Duration, load float64, route string) answer

func sound(*rand.Rand, time.Duration, float64, string) answer { return answer{factor: 1} }

// failing returns a version of which a part of the answers fails if when is true.
func failing(part float64, when func(since time.Duration, load float64, route string) bool) version {
	return func(random *rand.Rand, since time.Duration, load float64, route string) answer {
		return answer{fails: when(since, load, route) && random.Float64() < part, factor: 1}
	}
}

// load describes the load and the faults of one run.
type load struct {
	entries  int
	rate     float64
	duration time.Duration
	servers  int
	version  version
	bad      bool
	// stream is how long an answer goes on after its first byte.
	stream time.Duration
	// targets returns the number of usable servers of the target; nil for all of them.
	targets func(since time.Duration) int
	// storeDown tells when the store can't be reached; nil if it always can.
	storeDown func(since time.Duration) bool
	// writerDies ends the process of the writer, 70% into the duration.
	writerDies bool
	// restarts starts all entries again, halfway.
	restarts bool
	// oldFails is the part of the old version's answers that fails.
	oldFails float64
	// brokenServer makes one of the new servers fail everything.
	brokenServer bool
	// blind is the number of entries that read nothing from halfway on.
	blind int
	// alike sends requests to the servers of both versions alike, as without the decision.
	alike bool
}

type request struct {
	entry     int
	side      rollout.Side
	route     string
	server    string
	sentAt    time.Duration
	first     time.Duration
	end       time.Duration
	fails     bool
	firstDone bool
}

type storedReport struct {
	report *rollout.Report
	at     time.Duration
}

type simEntry struct {
	r        *rollout.Rollout
	orderAt  time.Duration
	urgent   bool
	storedAt time.Duration
	lowerAt  time.Duration
	offset   time.Duration
	dead     bool
	inFlight int
	reports  map[string]rollout.Received
	readAt   time.Duration
	statusAt time.Duration
}

type result struct {
	state      rollout.State
	at         time.Duration
	writes     []rollout.State
	requests   int
	exposed    int
	lateSends  int
	cut        int
	badAnswers int
}

// allowed is the number of requests that a bad version may get.
func (r result) allowed() float64 { return share*float64(r.requests) + slack }

func (r result) String() string {
	return fmt.Sprintf("%s after %s, %d of %d requests, allowed %.0f, cut %d, late %d, writes %v", r.state, r.at, r.exposed, r.requests, r.allowed(), r.cut, r.lateSends, r.writes)
}

type simulation struct {
	load
	random   *rand.Rand
	start    time.Time
	entries  []*simEntry
	stored   map[string]storedReport
	state    rollout.State
	inFlight []*request
	sentNew  []time.Duration
	result   result
	fiftieth time.Duration
}

func (s *simulation) wall(t time.Duration) time.Time { return s.start.Add(t) }

func (s *simulation) newRollout(e *simEntry, t time.Duration, known bool) *rollout.Rollout {
	started := s.wall(e.lowerAt)
	if !known {
		started = s.wall(t)
	}
	return rollout.New(rollout.Options{
		Entry: "e", Target: "v2", Duration: s.duration, Bounds: rollout.Bounds{Share: share, Slack: slack},
		StartedAt: started, StartKnown: known, Phase: s.random.Float64(),
	})
}

func (s *simulation) down(t time.Duration) bool { return s.storeDown != nil && s.storeDown(t) }

func (s *simulation) name(i int) string { return fmt.Sprintf("e%d", i) }

// rank is the order of the entries by number, without those that are dead for long.
func (s *simulation) rank(i int, t time.Duration) int {
	rank := 0
	for j := range i {
		e := s.entries[j]
		own := s.entries[i]
		if !e.dead || t-own.reports[s.name(j)].At.Sub(s.start) < 2*time.Second {
			rank++
		}
	}
	return rank
}

// run plays the time from the order to some seconds after its deadline.
func run(l load, seed uint64) result {
	s := &simulation{load: l, random: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1000, 0), stored: map[string]storedReport{}}
	for range l.entries {
		e := &simEntry{orderAt: time.Duration(s.random.Int64N(int64(time.Second))), offset: time.Duration(s.random.Int64N(int64(reportTime/tick))) * tick, reports: map[string]rollout.Received{}, readAt: -time.Hour, statusAt: -time.Hour}
		e.orderAt = e.orderAt.Truncate(tick)
		e.lowerAt = e.orderAt - time.Second // the entry reads the operator's records once a second
		s.entries = append(s.entries, e)
	}
	end := l.duration + rollback + 3*time.Second
	for t := time.Duration(0); t < end; t += tick {
		s.step(t)
	}
	s.result.state = s.state
	return s.result
}

func (s *simulation) step(t time.Duration) {
	if s.writerDies && t == (s.duration*7/10).Truncate(tick) {
		s.entries[0].dead = true
	}
	if s.restarts && t == (s.duration/2).Truncate(tick) {
		for i, e := range s.entries {
			e.r, e.reports, e.statusAt, e.readAt = s.newRollout(e, t, false), map[string]rollout.Received{}, -time.Hour, -time.Hour
			if own, ok := s.stored[s.name(i)]; ok {
				e.r.Restore(own.report, s.wall(t), s.wall(t))
			}
		}
	}
	s.endRequests(t)
	for i, e := range s.entries {
		if !e.dead && t >= e.orderAt {
			s.runEntry(i, e, t)
		}
	}
	s.arrive(t)
}

func (s *simulation) runEntry(i int, e *simEntry, t time.Duration) {
	if e.r == nil {
		e.r = s.newRollout(e, t, true)
	}
	reachable := !s.down(t) && (i >= s.blind || t < s.duration/2)
	phase := t + e.offset
	if phase%readTime == 0 && reachable {
		for name, stored := range s.stored {
			if name != s.name(i) && s.wall(stored.at) != e.reports[name].At {
				e.reports[name] = rollout.Received{Report: stored.report, At: s.wall(stored.at)}
			}
		}
		e.readAt = t
	}
	if phase%readTime == readTime/2 && reachable {
		e.statusAt = t
		e.r.ReadStatus("v2", s.state)
	}
	if phase%updateTime == 0 || e.readAt == t {
		targets := s.servers
		if s.targets != nil {
			targets = s.targets(t)
		}
		e.r.Update(rollout.View{
			Now: s.wall(t), Reports: e.reports, Fresh: t-e.readAt < 2*time.Second && t-e.statusAt < 2*time.Second, Targets: targets, Others: s.servers,
			OldInFlight: e.inFlight, Entries: len(s.entries), Rank: s.rank(i, t),
		})
	}
	if (phase%reportTime == 0 || e.urgent && t-e.storedAt >= 100*time.Millisecond) && !s.down(t) && !e.r.State().Final() {
		e.urgent, e.storedAt = false, t
		s.stored[s.name(i)] = storedReport{e.r.Report(s.wall(t), s.wall(t)), t}
	}
	if phase%(100*time.Millisecond) == 0 && !s.down(t) {
		if wanted := e.r.Wanted(s.wall(t)); wanted != rollout.StateNone {
			e.r.ReadStatus("v2", s.state) // the writer reads the status first
			if wanted = e.r.Wanted(s.wall(t)); wanted != rollout.StateNone {
				s.write(wanted, t)
				e.r.ReadStatus("v2", s.state)
			}
		}
	}
}

func (s *simulation) write(state rollout.State, t time.Duration) {
	s.state = state
	s.result.writes = append(s.result.writes, state)
	if state.Final() {
		s.result.at = t
	}
	if state == rollout.StateCompleted {
		for _, q := range s.inFlight {
			if q.side == rollout.SideOld {
				s.result.cut++
			}
		}
	}
}

func (s *simulation) endRequests(t time.Duration) {
	kept := s.inFlight[:0]
	for _, q := range s.inFlight {
		e := s.entries[q.entry]
		if !q.firstDone && t >= q.first && e.r != nil {
			q.firstDone = true
			if !q.fails {
				e.urgent = e.r.FirstByte(q.side, q.route, q.server, q.first-q.sentAt, 1) || e.urgent
			}
			if q.side == rollout.SideNew && (q.fails || q.first-q.sentAt > 150*time.Millisecond) {
				s.result.badAnswers++
				if s.result.badAnswers == 50 {
					s.fiftieth = t
				}
			}
		}
		if t < q.end {
			kept = append(kept, q)
			continue
		}
		if q.side == rollout.SideOld {
			e.inFlight--
		}
		if e.r != nil && q.fails {
			e.r.Ended(q.side, q.route, q.server, 1, 1)
			e.urgent = e.urgent || q.side == rollout.SideNew
		} else if e.r != nil {
			e.r.Ended(q.side, q.route, q.server, 0, 0)
		}
	}
	s.inFlight = kept
}

// arrive sends the requests of one tick.
func (s *simulation) arrive(t time.Duration) {
	n := 0
	for p := s.random.Float64(); p > math.Exp(-s.rate*tick.Seconds()); p *= s.random.Float64() {
		n++
	}
	for range n {
		i := s.random.IntN(len(s.entries))
		e := s.entries[i]
		if e.dead {
			continue
		}
		side := rollout.SideOld
		if e.r != nil {
			side = e.r.Preference(false)[0]
			if side == rollout.SideNew && s.targets != nil && s.targets(t) == 0 {
				side = rollout.SideOld
			}
			if s.alike {
				side = rollout.Side(s.random.IntN(2))
			}
			e.r.Sent(side, 1)
		}
		s.send(i, side, t)
	}
}

func (s *simulation) send(i int, side rollout.Side, t time.Duration) {
	route := []string{"a", "b", "c"}[s.random.IntN(3)]
	number := s.random.IntN(s.servers)
	took := 50 * time.Millisecond * time.Duration(600+s.random.IntN(1000)) / 1000
	q := &request{entry: i, side: side, route: route, server: fmt.Sprintf("s%d", number), sentAt: t}
	if side == rollout.SideNew {
		s.sentNew = append(s.sentNew, t)
		for len(s.sentNew) > 0 && s.sentNew[0] < t-loadWindow {
			s.sentNew = s.sentNew[1:]
		}
		a := s.version(s.random, t, float64(len(s.sentNew))/loadWindow.Seconds()/s.rate, route)
		q.fails = a.fails || s.brokenServer && number == 0
		took = time.Duration(float64(took) * a.factor)
	} else {
		q.fails = s.random.Float64() < s.oldFails
		s.entries[i].inFlight++
	}
	q.first, q.end = t+took, t+took
	if !q.fails {
		q.end += s.stream
	}
	s.inFlight = append(s.inFlight, q)
	if t <= s.duration {
		s.result.requests++
		if side == rollout.SideNew {
			s.result.exposed++
		}
	}
	if side == rollout.SideNew && s.fiftieth > 0 && t > s.fiftieth+rollback {
		s.result.lateSends++
	}
}

func always(time.Duration, float64, string) bool { return true }

// TestRollout replays roll-outs with the views of 30 and of 100 entries. It guards against a
// bad version that gets too much, is completed or is left in place, and against a good one
// that is not completed in time.
func TestRollout(t *testing.T) {
	after := func(d time.Duration) func(time.Duration, float64, string) bool {
		return func(since time.Duration, _ float64, _ string) bool { return since > d }
	}
	underLoad := func(least float64) func(time.Duration, float64, string) bool {
		return func(_ time.Duration, load float64, _ string) bool { return load >= least }
	}
	onRoute := func(_ time.Duration, _ float64, route string) bool { return route == "b" }
	slowing := func(factor float64, when func(time.Duration, float64, string) bool) version {
		return func(_ *rand.Rand, since time.Duration, load float64, route string) answer {
			if when(since, load, route) {
				return answer{factor: factor}
			}
			return answer{factor: 1}
		}
	}
	tests := []struct {
		desc string
		load load
	}{
		{"good", load{version: sound}},
		{"good, with streams", load{version: sound, stream: 1500 * time.Millisecond}},
		{"good, while the old one fails at times", load{version: failing(0.05, always), oldFails: 0.05}},
		{"good, with one broken server", load{version: sound, brokenServer: true}},
		{"good, with the writer lost", load{version: sound, writerDies: true}},
		{"good, with all entries restarted", load{version: sound, restarts: true}},
		{"good, with five entries that can't read", load{version: sound, blind: 5}},
		{"good, with the store away early", load{version: sound, storeDown: func(t time.Duration) bool { return t > 2*time.Second && t < 5*time.Second }}},
		{"fails at once", load{version: failing(0.3, always), bad: true}},
		{"fails at once, all of it", load{version: failing(1, always), bad: true}},
		{"fails seldom", load{version: failing(0.12, always), bad: true}},
		{"fails later", load{version: failing(0.4, after(5*time.Second)), bad: true}},
		{"fails late", load{version: failing(0.4, after(9*time.Second)), bad: true}},
		{"fails under half of the load", load{version: failing(0.4, underLoad(0.35)), bad: true}},
		{"fails under most of the load", load{version: failing(0.4, underLoad(0.65)), bad: true}},
		{"fails on one route", load{version: failing(0.5, onRoute), bad: true}},
		{"is slow", load{version: slowing(4, always), bad: true}},
		{"is slow on one route", load{version: slowing(5, onRoute), bad: true}},
		{"is slow under load", load{version: slowing(5, underLoad(0.35)), bad: true}},
		{"fails, with the writer lost", load{version: failing(0.4, after(8*time.Second)), writerDies: true, bad: true}},
		{"fails, with all entries restarted", load{version: failing(0.4, after(8*time.Second)), restarts: true, bad: true}},
		{"fails later, with the store away", load{version: failing(0.4, after(4*time.Second)), bad: true, storeDown: func(t time.Duration) bool { return t > 3*time.Second && t < 8*time.Second }}},
		{"has no servers", load{version: sound, bad: true, targets: func(time.Duration) int { return 0 }}},
		{"loses its servers", load{version: sound, bad: true, targets: func(t time.Duration) int {
			if t > 6*time.Second {
				return 0
			}
			return 6
		}}},
	}
	fleets := []struct {
		entries int
		rate    float64
		seeds   uint64
	}{{30, 30, 3}, {30, 120, 3}, {100, 120, 1}}
	for _, fleet := range fleets {
		for _, tt := range tests {
			t.Run(fmt.Sprintf("%s/%d entries/%.0f per s", tt.desc, fleet.entries, fleet.rate), func(t *testing.T) {
				t.Parallel()
				for seed := range fleet.seeds * seedFactor() {
					l := tt.load
					l.entries, l.rate, l.duration, l.servers = fleet.entries, fleet.rate, 12*time.Second, 6
					r := run(l, seed)
					t.Logf("seed %d: %s", seed, r)
					check(t, l, r)
				}
			})
		}
	}
}

// seedFactor returns by how much more seeds than usual are played: ROLLOUT_SEEDS, or 1.
func seedFactor() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("ROLLOUT_SEEDS"), 10, 16); err == nil && n > 0 {
		return n
	}
	return 1
}

// TestExposure compares what a version that fails from the start gets without and with the
// decision.
func TestExposure(t *testing.T) {
	c := qt.New(t)
	l := load{version: failing(0.3, always), entries: 30, rate: 120, duration: 12 * time.Second, servers: 6, alike: true}
	without := run(l, 1)
	l.alike = false
	with := run(l, 1)
	t.Logf("without: %d of %d; with: %d of %d, allowed %.0f", without.exposed, without.requests, with.exposed, with.requests, with.allowed())
	c.Assert(float64(without.exposed) > without.allowed(), qt.IsTrue)
	c.Assert(float64(with.exposed) < with.allowed()/4, qt.IsTrue)
}

func check(t *testing.T, l load, r result) {
	t.Helper()
	c := qt.New(t)
	want := rollout.StateCompleted
	if l.bad {
		want = rollout.StateRolledBack
		c.Check(float64(r.exposed) <= r.allowed(), qt.IsTrue, qt.Commentf("%s", r))
		c.Check(r.lateSends, qt.Equals, 0, qt.Commentf("%s", r))
	} else {
		c.Check(r.at <= l.duration, qt.IsTrue, qt.Commentf("%s", r))
	}
	c.Check(r.state, qt.Equals, want, qt.Commentf("%s", r))
	final := 0
	for _, state := range r.writes {
		if state.Final() {
			final++
		}
	}
	c.Check(final, qt.Equals, 1, qt.Commentf("%s", r))
}

// At completed the old servers stop without draining, so no request may go there while the new
// ones are full.
func TestCompletedOrderUsesNewServersAlone(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	r := rollout.New(rollout.Options{Entry: "e", Target: "v2", Duration: 12 * time.Second, Bounds: rollout.Bounds{Share: 0.1, Slack: 50}, StartedAt: start, StartKnown: true})
	r.ReadStatus("v2", rollout.StateCompleted)
	update := func(after time.Duration, targets int) {
		r.Update(rollout.View{Now: start.Add(after), Fresh: true, Targets: targets, Others: 3, Entries: 1})
	}
	update(time.Second, 2)
	c.Assert(r.Preference(false), qt.DeepEquals, []rollout.Side{rollout.SideNew})
	c.Assert(r.Preference(true), qt.DeepEquals, []rollout.Side{rollout.SideNew})
	update(2*time.Second, 0) // the new servers are lost
	c.Assert(r.Preference(false), qt.DeepEquals, []rollout.Side{rollout.SideNew, rollout.SideOld})
	update(time.Minute, 2) // a later version without an order
	c.Assert(r.Preference(false), qt.DeepEquals, []rollout.Side{rollout.SideNew, rollout.SideOld})
}
