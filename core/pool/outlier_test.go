package pool_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/core/pool"
	"sequoialead/core/proxyconfig"
	"sequoialead/core/retries"
	"sequoialead/core/serverset"
)

// fleet plays requests of many entries, each with its own pool, against plain servers on a
// virtual clock.
type fleet struct {
	random  *rand.Rand
	entries []*pool.Pool
	members []serverset.Member
	prompt  sequoialead.Prompt
	// behave returns how a server handles a request of a caller: the time that it takes and
	// the end.
	behave func(server, caller int, at time.Duration) (time.Duration, pool.End)
	// report returns the pace that a server reports; it may be nil.
	report func(server int, at time.Duration) int
	// running is the number of requests at each server.
	running [fleetServers]int
	events  eventQueue
	now     time.Duration

	attempts, failed, lost, answered int
	// failedLate counts the failed attempts that were sent after lateFrom.
	failedLate int
	// answeredBy counts the answers by server.
	answeredBy [fleetServers]int
	// times holds the times of the requests that were answered.
	times []time.Duration
}

type event struct {
	at  time.Duration
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	fleetServers = 12
	fleetSlots   = 8
	// refreshPeriod is how often each entry updates its pools. Entries do so more often, which
	// takes most of the tests' time.
	refreshPeriod = time.Second
	fleetCallers  = 40
	serviceTime   = 50 * time.Millisecond
	faultFrom     = 2 * time.Second
	lateFrom      = 8 * time.Second
)

func newFleet(entries int, outlier bool) *fleet {
	return newFleetOf(proxyconfig.Pool{Name: "p", MaxConns: 100 * entries}, entries, outlier)
}

func newFleetOf(conf proxyconfig.Pool, entries int, outlier bool) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(7, uint64(entries)))}
	var members []serverset.Member
	for i := range fleetServers {
		members = append(members, serverset.Member{Server: sequoialead.Server{ID: fmt.Sprintf("s%02d", i), Pool: "p", Domain: "a", Slots: fleetSlots}})
	}
	for i := range entries {
		p := pool.New(pool.Options{
			Name: "p", Domain: "a", Random: rand.New(rand.NewPCG(9, uint64(i))),
			Limits: pool.Limits{Retries: retries.Options{Window: time.Second}, Outlier: outlier},
		})
		p.Update(pool.View{Conf: &conf, Usable: members, Entries: entries}, start())
		f.entries = append(f.entries, p)
	}
	f.members = members
	return f
}

func start() time.Time { return time.Unix(1000, 0) }

func (f *fleet) after(d time.Duration, run func()) {
	heap.Push(&f.events, event{at: f.now + d, run: run})
}

// play sends requests at a rate for a time.
func (f *fleet) play(perSecond float64, length time.Duration) {
	var arrive func()
	arrive = func() {
		if f.now > length {
			return
		}
		f.send(f.entries[f.random.IntN(len(f.entries))], f.random.IntN(fleetCallers), f.now, map[string]bool{})
		f.after(time.Duration(f.random.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	f.drain(arrive, length)
}

// drain runs all events from the first one on, and updates the entries' pools for a time.
func (f *fleet) drain(first func(), length time.Duration) {
	first()
	var refresh func()
	refresh = func() {
		if f.now > length {
			return
		}
		for _, p := range f.entries {
			p.Update(pool.View{Usable: f.members, Entries: len(f.entries)}, start().Add(f.now))
		}
		f.after(refreshPeriod, refresh)
	}
	refresh()
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
}

// send makes an attempt at a request, and another one elsewhere if it fails.
func (f *fleet) send(p *pool.Pool, caller int, arrivedAt time.Duration, tried map[string]bool) {
	place, _ := p.Acquire(pool.Request{Exclude: tried, Prompt: f.prompt}, start().Add(f.now))
	if place == nil {
		f.lost++
		return
	}
	f.attempts++
	tried[place.Server.ID] = true
	place.Source = uint64(caller + 1)
	server, sentAt := 0, f.now
	_, _ = fmt.Sscanf(place.Server.ID, "s%d", &server)
	took, end := f.behave(server, caller, f.now)
	f.running[server]++
	f.after(took, func() {
		f.running[server]--
		now := start().Add(f.now)
		load := sequoialead.ServerLoad{Running: f.running[server], Slots: fleetSlots}
		if f.report != nil {
			load.Pace = f.report(server, f.now)
		}
		if end == pool.EndDone {
			place.Reported = &load
			p.RecordFirstByte(place, now)
			f.answered++
			f.answeredBy[server]++
			f.times = append(f.times, f.now-arrivedAt)
		}
		p.Release(place, end, &load, now)
		if end == pool.EndDone {
			return
		}
		f.failed++
		if sentAt > lateFrom {
			f.failedLate++
		}
		if len(tried) < 2 {
			f.send(p, caller, arrivedAt, tried)
			return
		}
		f.lost++
	})
}

func (f *fleet) ejected() int {
	n := 0
	for _, p := range f.entries {
		n += p.Ejected(start().Add(f.now))
	}
	return n
}

// Two of twelve plain servers fail everything. Each entry finds out by itself. Servers that
// fail at once are avoided for their penalty alone while others have room; those that don't
// answer look idle.
func TestFailingServersAreEjected(t *testing.T) {
	kinds := []struct {
		desc string
		took time.Duration
		end  pool.End
		// maxFailed bounds the failed attempts, given those without ejection.
		maxFailed func(without, entries int) int
	}{
		// The penalty for failures suffices while others have room. As it lapses, each entry
		// fails at most one more request at each bad server.
		{"resets", 2 * time.Millisecond, pool.EndFailed, func(without, entries int) int { return without + 2*entries }},
		{"no answer", 2 * time.Second, pool.EndSilent, func(without, _ int) int { return without * 3 / 4 }},
	}
	for _, kind := range kinds {
		for _, entries := range []int{30, 100} {
			t.Run(fmt.Sprintf("%s, %d entries", kind.desc, entries), func(t *testing.T) {
				play := func(outlier bool) *fleet {
					f := newFleet(entries, outlier)
					f.behave = func(server, _ int, at time.Duration) (time.Duration, pool.End) {
						if server < 2 && at > faultFrom {
							return kind.took, kind.end
						}
						return serviceTime, pool.EndDone
					}
					f.play(1400, 14*time.Second)
					return f
				}
				without, with := play(false), play(true)
				t.Logf("without: %d of %d attempts failed (%d late), %d requests lost; with: %d of %d (%d late), %d lost",
					without.failed, without.attempts, without.failedLate, without.lost, with.failed, with.attempts, with.failedLate, with.lost)
				c := qt.New(t)
				c.Check(with.failed <= kind.maxFailed(without.failed, entries), qt.IsTrue)
				c.Check(with.lost <= max(without.lost, with.attempts/1000), qt.IsTrue)
				// Each entry sends at most two probes to each bad server in the last six seconds.
				c.Check(with.failedLate <= 2*entries*2, qt.IsTrue)
			})
		}
	}
}

// No sound server is ejected for long because of its callers or of a fault of all servers.
func TestSoundServersStay(t *testing.T) {
	kinds := []struct {
		desc   string
		behave func(server, caller int, at time.Duration) (time.Duration, pool.End)
	}{
		{"all servers fail for two seconds", func(_, _ int, at time.Duration) (time.Duration, pool.End) {
			if at > 2*time.Second && at < 4*time.Second {
				return 2 * time.Millisecond, pool.EndFailed
			}
			return serviceTime, pool.EndDone
		}},
		{"one caller's requests fail everywhere", func(_, caller int, _ time.Duration) (time.Duration, pool.End) {
			if caller == 0 {
				return 2 * time.Millisecond, pool.EndFailed
			}
			return serviceTime, pool.EndDone
		}},
		{"callers leave before the answer", func(_, caller int, _ time.Duration) (time.Duration, pool.End) {
			if caller < fleetCallers/2 {
				return 2 * time.Millisecond, pool.EndAbandoned
			}
			return serviceTime, pool.EndDone
		}},
		{"all servers refuse half of the requests", func(_, caller int, _ time.Duration) (time.Duration, pool.End) {
			if caller < fleetCallers/2 {
				return 2 * time.Millisecond, pool.EndRefused
			}
			return serviceTime, pool.EndDone
		}},
		{"one request of a hundred fails", func(_, caller int, at time.Duration) (time.Duration, pool.End) {
			if at%100 == 0 {
				return 2 * time.Millisecond, pool.EndFailed
			}
			return serviceTime, pool.EndDone
		}},
	}
	for _, kind := range kinds {
		for _, entries := range []int{30, 100} {
			t.Run(fmt.Sprintf("%s, %d entries", kind.desc, entries), func(t *testing.T) {
				play := func(outlier bool) *fleet {
					f := newFleet(entries, outlier)
					f.behave = kind.behave
					f.play(750, 7*time.Second)
					return f
				}
				without, with := play(false), play(true)
				least, most := fleetServers*with.answered, 0
				for _, n := range with.answeredBy {
					least, most = min(least, n), max(most, n)
				}
				t.Logf("without: %d answered, %d lost; with: %d answered, %d lost, %d to %d by one server, %d ejected at the end",
					without.answered, without.lost, with.answered, with.lost, least, most, with.ejected())
				c := qt.New(t)
				c.Check(with.ejected()*50 <= fleetServers*entries, qt.IsTrue)
				c.Check(float64(with.answered) >= 0.99*float64(without.answered), qt.IsTrue)
			})
		}
	}
}
