// Package versions applies the operator's roll-out orders to this entry's requests: it
// keeps a rollout.Rollout for each order and connects it with the pools, the records of
// the other entries and the status. The decisions are in core/rollout.
package versions

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"
	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"sequoialead"
	"sequoialead/core/membership"
	"sequoialead/core/pool"
	"sequoialead/core/rollout"
	"sequoialead/core/serverset"
)

const (
	// freshPeriod is the age up to which the others' reports and the status allow a step up.
	freshPeriod = 2 * time.Second
	// electionPeriod is the time after an order in which all known entries count for the
	// choice of the writer. Afterwards only those count whose reports are recent.
	electionPeriod = 1500 * time.Millisecond
	// maxRank bounds the number of entries that are told apart by their rank.
	maxRank = 4
	// maxPools and maxRoutes bound what is taken over from another entry's record, which
	// any writer may have written.
	maxPools   = 64
	maxRoutes  = 256
	maxServers = 1024
	// versionMemory is how long a version without servers is remembered.
	versionMemory = time.Minute
)

// Options configures the versions.
type Options struct {
	// Entry is the name of this entry.
	Entry  string
	Bounds rollout.Bounds
	Log    klog.Logger
	// Metrics receives counters.
	Metrics *metrics.Set
	// Now is a clock that also runs while the machine is suspended. Wall is the time of
	// day.
	Now  func() time.Time
	Wall func() time.Time
	// Random returns a number from 0 to 1.
	Random func() float64
}

// status is the newest state that was read for a pool.
type status struct{ target, state string }

// seen is what is known of a version of a pool's servers.
type seen struct {
	since     time.Time
	last      time.Time
	confirmed bool
}

// Versions is the state of all orders. It is safe for concurrent use.
type Versions struct {
	opts    Options
	changed chan struct{}

	mu       sync.Mutex
	rollouts map[string]*rollout.Rollout
	// readAt is when each order was first read.
	readAt   map[string]time.Time
	statuses map[string]status
	// reports holds the newest report of each entry by pool and entry.
	reports map[string]map[string]rollout.Received
	// earlier holds the reports of this entry's earlier process.
	earlier map[string]*rollout.Report
	// published is set once this process has a record of its own.
	published bool
	// statusAt and reportsAt are when the topics were last read.
	statusAt  time.Time
	reportsAt time.Time
	// inFlight counts this entry's requests by pool and version.
	inFlight map[string]map[string]int
	// known holds the versions of the servers by pool, and unconfirmed the filter of pools
	// with a version for which an order may be on its way.
	known       map[string]map[string]*seen
	unconfirmed map[string]func(version string) bool
	// banned holds the versions that were rolled back by pool, as long as the pool has an
	// order. Their servers leave only some seconds later, when there may be a new order.
	banned map[string]map[string]bool
}

var _ pool.Versions = (*Versions)(nil)

// New returns the state without orders.
func New(opts Options) *Versions {
	return &Versions{
		opts: opts, changed: make(chan struct{}, 1), rollouts: map[string]*rollout.Rollout{}, readAt: map[string]time.Time{},
		statuses: map[string]status{}, reports: map[string]map[string]rollout.Received{}, inFlight: map[string]map[string]int{},
		known: map[string]map[string]*seen{}, unconfirmed: map[string]func(string) bool{},
		banned: map[string]map[string]bool{},
	}
}

// ApplyOrder applies the newest order for a pool; nil if there is none any more. The time
// since is not after the order, if known is set. An order with the same target as the one
// before is the same order.
func (v *Versions) ApplyOrder(name string, order *sequoialead.RolloutOrder, since time.Time, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	current := v.rollouts[name]
	if order == nil {
		if current != nil {
			delete(v.rollouts, name)
			delete(v.banned, name)
			v.opts.Log.Info("rollout-order-gone", "pool", name, "target", current.Target())
		}
		return
	}
	if current != nil && current.Target() == order.Target {
		return
	}
	now := v.opts.Now()
	if !known {
		since = now
	}
	r := rollout.New(rollout.Options{
		Entry: v.opts.Entry, Target: order.Target, Duration: order.Duration, Bounds: v.opts.Bounds, StartedAt: since, StartKnown: known, Phase: v.opts.Random(),
	})
	v.rollouts[name], v.readAt[name] = r, now
	delete(v.banned[name], order.Target)
	if report := v.earlier[name]; report != nil {
		r.Restore(report, now, v.opts.Wall())
	}
	v.opts.Log.Info("rollout-order", "pool", name, "target", order.Target, "duration", order.Duration, "age", now.Sub(since), "known", known)
	v.markChanged()
}

// Ordered returns the pools with an order.
func (v *Versions) Ordered() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Collect(maps.Keys(v.rollouts))
}

// Active reports whether there is an order that has not ended, or whose final state may be
// missing in the store.
func (v *Versions) Active() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.active()
}

func (v *Versions) active() bool {
	for _, r := range v.rollouts {
		if !r.Settled() {
			return true
		}
	}
	return false
}

// ApplyStatus applies the state that was read for a pool.
func (v *Versions) ApplyStatus(name, target, state string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.statuses[name] = status{target: target, state: state}
}

// StatusLost records that the store may have lost states of orders.
func (v *Versions) StatusLost() {
	v.mu.Lock()
	defer v.mu.Unlock()
	clear(v.statuses)
	for _, r := range v.rollouts {
		r.StatusLost(v.opts.Now())
	}
}

// StatusRead records that all states that were read have been applied.
func (v *Versions) StatusRead() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.statusAt = v.opts.Now()
	for name, r := range v.rollouts {
		before := r.State()
		s := v.statuses[name]
		r.ReadStatus(s.target, rollout.State(s.state))
		if r.State() == rollout.StateRolledBack && before != rollout.StateRolledBack {
			if v.banned[name] == nil {
				v.banned[name] = map[string]bool{}
			}
			v.banned[name][r.Target()] = true
		}
		if r.State() != before {
			v.opts.Log.Info("rollout-state", "pool", name, "target", r.Target(), "state", r.State())
		}
	}
}

// ApplyReport takes over the record of an entry. The error says what is wrong with it.
func (v *Versions) ApplyReport(entry string, raw []byte) error {
	var record map[string]*rollout.Report
	if len(raw) > 0 {
		if err := cbor.Unmarshal(raw, &record); err != nil {
			return err
		}
	}
	if len(record) > maxPools {
		return sequoialead.ErrProtocol.New("a record of %d pools; it is ignored", len(record))
	}
	for name, report := range record {
		if report == nil || len(report.Routes) > maxRoutes || len(report.FailedBy) > maxServers || len(report.SlowBy) > maxServers || report.Age < 0 {
			return sequoialead.ErrProtocol.New("the report on %q is not valid; it is ignored", name)
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.opts.Now()
	if entry == v.opts.Entry {
		v.restore(record, now)
		return nil
	}
	for name, report := range record {
		if v.reports[name] == nil {
			v.reports[name] = map[string]rollout.Received{}
		}
		v.reports[name][entry] = rollout.Received{Report: report, At: now}
	}
	return nil
}

// restore takes over the reports of this entry's earlier process.
func (v *Versions) restore(record map[string]*rollout.Report, now time.Time) {
	if v.published || v.earlier != nil {
		return
	}
	v.earlier = record
	for name, report := range record {
		if r := v.rollouts[name]; r != nil {
			r.Restore(report, now, v.opts.Wall())
		}
	}
}

// ReportsRead records that all records that were read have been applied.
func (v *Versions) ReportsRead() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.reportsAt = v.opts.Now()
}

// Record returns what the other entries should know, encoded; empty if there is nothing.
func (v *Versions) Record() ([]byte, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.published = true
	record := map[string]*rollout.Report{}
	for name, r := range v.rollouts {
		if !r.State().Final() {
			record[name] = r.Report(v.opts.Now(), v.opts.Wall())
		}
	}
	if len(record) == 0 {
		return nil, nil
	}
	return cbor.Marshal(record)
}

// Changed returns a channel that has a value after something happened that the others
// should know at once.
func (v *Versions) Changed() <-chan struct{} { return v.changed }

func (v *Versions) markChanged() {
	select {
	case v.changed <- struct{}{}:
	default:
	}
}

// Wanted returns the states that this entry should write now, by pool.
func (v *Versions) Wanted() map[string][2]string {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.opts.Now()
	wanted := map[string][2]string{}
	for name, r := range v.rollouts {
		if state := r.Wanted(now); state != rollout.StateNone {
			wanted[name] = [2]string{r.Target(), string(state)}
		}
	}
	return wanted
}

// View is the input of Update.
type View struct {
	// Servers holds the usable servers by pool.
	Servers map[string][]serverset.Member
	// Members holds the entries that are known, this one included.
	Members []membership.Member
	// OperatorReadAt is when the newest read of the operator's records began.
	OperatorReadAt time.Time
}

// Update updates the steps of all orders.
func (v *Versions) Update(view View) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.opts.Now()
	for name, servers := range view.Servers {
		v.confirm(name, servers, view.OperatorReadAt, now)
	}
	for name, r := range v.rollouts {
		if r.State().Final() {
			delete(v.reports, name)
		}
		targets, others := 0, 0
		for _, s := range view.Servers[name] {
			switch {
			case s.Server.Version == r.Target():
				targets++
			case !v.banned[name][s.Server.Version]:
				others++
			}
		}
		atOld := 0
		for version, n := range v.inFlight[name] {
			if version != r.Target() {
				atOld += n
			}
		}
		step := r.Step()
		_, wasBad := r.Bad()
		r.Update(rollout.View{
			Now: now, Reports: v.reports[name], Fresh: now.Sub(v.statusAt) < freshPeriod && now.Sub(v.reportsAt) < freshPeriod,
			Targets: targets, Others: others, OldInFlight: atOld, Entries: len(view.Members), Rank: v.rank(name, view.Members, now),
		})
		if r.Step() != step {
			v.opts.Log.Info("rollout-step", "pool", name, "target", r.Target(), "step", r.Step(), "left", r.Deadline().Sub(now))
			v.markChanged()
		}
		if cause, bad := r.Bad(); bad && !wasBad {
			v.opts.Log.Info("rollout-bad", "pool", name, "target", r.Target(), "step", r.Step(), "cause", cause)
			v.markChanged()
		}
	}
}

// rank returns the number of entries that write the status of a pool before this one: by
// rendezvous hashing over the strong ones of those that work on the order.
func (v *Versions) rank(name string, members []membership.Member, now time.Time) int {
	candidates := slices.Clone(members)
	if now.Sub(v.readAt[name]) > electionPeriod {
		candidates = slices.DeleteFunc(candidates, func(m membership.Member) bool {
			return m.Name != v.opts.Entry && now.Sub(v.reports[name][m.Name].At) > freshPeriod
		})
	}
	for rank := range maxRank {
		var names []string
		for _, m := range membership.Strong(candidates) {
			names = append(names, m.Name)
		}
		if len(names) == 0 {
			break
		}
		best := rendezvous.New(names, xxhash.Sum64String).Lookup("rollout/" + name)
		if best == v.opts.Entry {
			return rank
		}
		candidates = slices.DeleteFunc(candidates, func(m membership.Member) bool { return m.Name == best })
	}
	return maxRank
}

// confirm keeps requests from servers of a version that has just appeared beside another
// one, until the operator's records were read once more. The servers of a roll-out may be
// known before its order, and without the order they would get as much as the old ones.
func (v *Versions) confirm(name string, servers []serverset.Member, operatorReadAt, now time.Time) {
	versions := v.known[name]
	first := versions == nil
	if first {
		versions = map[string]*seen{}
		v.known[name] = versions
	}
	established := false
	for _, s := range servers {
		k := versions[s.Server.Version]
		if k == nil {
			k = &seen{since: now, confirmed: first}
			versions[s.Server.Version] = k
		}
		k.last = now
		k.confirmed = k.confirmed || operatorReadAt.After(k.since)
		established = established || k.confirmed
	}
	waiting := map[string]bool{}
	for version, k := range versions {
		if now.Sub(k.last) > versionMemory {
			delete(versions, version)
		} else if !k.confirmed {
			waiting[version] = true
		}
	}
	delete(v.unconfirmed, name)
	if established && len(waiting) > 0 {
		v.unconfirmed[name] = func(version string) bool { return !waiting[version] }
	}
}

// Preference returns filters of versions for the next request, the preferred one first;
// none if all servers may get it.
func (v *Versions) Preference(name string, again bool) []func(version string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	r := v.rollouts[name]
	if r == nil {
		if filter := v.unconfirmed[name]; filter != nil {
			return []func(string) bool{filter}
		}
		return nil
	}
	sides := r.Preference(again)
	filters := make([]func(string) bool, len(sides))
	for i, side := range sides {
		filters[i] = v.filter(name, r, side)
	}
	return filters
}

// filter returns the filter of the versions of one side of an order. Versions that were
// rolled back before, or for which an order may be on its way, belong to neither.
func (v *Versions) filter(name string, r *rollout.Rollout, side rollout.Side) func(version string) bool {
	target, banned, confirmed := r.Target(), maps.Clone(v.banned[name]), v.unconfirmed[name]
	return func(version string) bool {
		if version == target {
			return side == rollout.SideNew
		}
		return side == rollout.SideOld && !banned[version] && (confirmed == nil || confirmed(version))
	}
}

// Leading returns the filter of the versions that get most of a pool's requests; nil for
// all.
func (v *Versions) Leading(name string) func(version string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if r := v.rollouts[name]; r != nil {
		return v.filter(name, r, r.Leading())
	}
	return v.unconfirmed[name]
}

func sideOf(r *rollout.Rollout, server sequoialead.Server) rollout.Side {
	if server.Version == r.Target() {
		return rollout.SideNew
	}
	return rollout.SideOld
}

// running returns the order of a pool that has not ended; nil if there is none.
func (v *Versions) running(name string) *rollout.Rollout {
	if r := v.rollouts[name]; r != nil && !r.State().Final() {
		return r
	}
	return nil
}

// Sent records that a request is sent to a server.
func (v *Versions) Sent(name string, server sequoialead.Server) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.inFlight[name] == nil {
		v.inFlight[name] = map[string]int{}
	}
	v.inFlight[name][server.Version]++
	if r := v.running(name); r != nil {
		side := sideOf(r, server)
		r.Sent(side, 1)
		v.count("sent", name, side, 1)
	}
}

// FirstByte records the first byte of an answer.
func (v *Versions) FirstByte(name, route string, server sequoialead.Server, took time.Duration, units int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if r := v.running(name); r != nil {
		if r.FirstByte(sideOf(r, server), route, server.ID, took, units) {
			v.markChanged()
		}
	}
}

// Ended records that a request has ended; without units, that it did not reach the server.
func (v *Versions) Ended(name, route string, server sequoialead.Server, units, answers, failures int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if n := v.inFlight[name][server.Version]; n > 1 {
		v.inFlight[name][server.Version] = n - 1
	} else {
		delete(v.inFlight[name], server.Version)
	}
	r := v.running(name)
	if r == nil {
		return
	}
	side := sideOf(r, server)
	if units == 0 {
		r.Unsent(side)
		if failures > 0 && side == rollout.SideNew {
			r.Ended(side, route, server.ID, failures, failures) // it was not reached
			v.markChanged()
		}
		return
	}
	r.AddUnits(side, units-1)
	r.Ended(side, route, server.ID, answers, failures)
	if side == rollout.SideNew && failures > 0 {
		v.markChanged()
	}
	v.count("sent", name, side, units-1)
	v.count("failed", name, side, failures)
}

// count counts requests and pieces during orders. The labels' values are bounded: kinds,
// sides, and pools with an order.
func (v *Versions) count(kind, name string, side rollout.Side, n int) {
	if n <= 0 {
		return
	}
	label := "old"
	if side == rollout.SideNew {
		label = "new"
	}
	v.opts.Metrics.GetOrCreateCounter(fmt.Sprintf(`sequoialead_rollout_requests_total{pool=%q,side=%q,kind=%q}`, name, label, kind)).Add(n)
}
