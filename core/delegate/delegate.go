// Package delegate sends orders for pieces to the entries that lead groups of
// backend servers, and has them made by this entry's own batcher if no leader
// can be reached.
package delegate

import (
	"cmp"
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"sequoialead"
	"sequoialead/core/batch"
	"sequoialead/core/groups"
	"sequoialead/core/membership"
	"sequoialead/core/protocol"
	"sequoialead/core/proxyconfig"
)

// Siblings sends messages to other entries.
type Siblings interface {
	// SetEntries sets the entries that exist.
	SetEntries(entries []membership.Member)
	// EnsureConnected reports whether orders can be sent to an entry now. If there
	// is no connection to it yet, it starts to connect.
	EnsureConnected(name string) bool
	// Unavailable reports whether an entry that EnsureConnected was called for is
	// leaving or can't be reached.
	Unavailable(name string) bool
	// Order sends an order to an entry and returns its result. It calls onRead once
	// the inputs have been read, if that is known before the results arrive. It
	// reports false if the entry can't be reached, or the connection to it is lost
	// before it answers.
	Order(ctx context.Context, name string, order protocol.Order, onRead func()) (protocol.OrderResult, bool)
	// ReleaseResults asks an entry to free results that its batcher requested. It
	// reports false if the entry can't be reached.
	ReleaseResults(name string, results []protocol.Result) bool
}

// Options configures a delegate. Entry and Domain are the name and the failure
// domain of this entry.
type Options struct {
	Entry    string
	Domain   string
	Batcher  *batch.Batcher
	Siblings Siblings
	Log      klog.Logger
	// OnLeaderLost is called when the leader of an order can't be reached or hands
	// over, before the next leader is chosen.
	OnLeaderLost func()
	Now          func() time.Time
	// Balance is set if orders leave the group of their failure domain whenever they are
	// made sooner elsewhere, not only if they would be late.
	Balance bool
}

// backlogMaxAge is how long a leader's report of its backlog is used: as long
// as an entry that sends nothing still counts as reachable.
const backlogMaxAge = 900 * time.Millisecond

// minOverflowGain is how much sooner an order must be made at another group's
// leader to be sent there, since the report of that leader's backlog may be
// outdated.
const minOverflowGain = 100 * time.Millisecond

// backlogReport is the latest backlog that a leader reported.
type backlogReport struct {
	backlog    protocol.Backlog
	receivedAt time.Time
}

// Delegate sends orders to the leaders of groups of backend servers.
type Delegate struct {
	opts Options

	mu sync.Mutex
	// leaving is set once this entry no longer leads any group.
	leaving bool
	groups  map[string]*groups.Groups
	// backlogs holds the latest report of each leader, by pool and leader.
	backlogs map[[2]string]backlogReport
	// sent holds the pieces that this entry has sent to a leader since its latest report,
	// by urgency.
	sent map[[2]string][]int
}

// New returns a delegate of an entry that leads nothing yet.
func New(opts Options) *Delegate {
	return &Delegate{opts: opts, groups: map[string]*groups.Groups{}, backlogs: map[[2]string]backlogReport{}, sent: map[[2]string][]int{}}
}

// Update sets the entries and a pool's backend servers, and returns the IDs of
// the backend servers that this entry leads.
func (d *Delegate) Update(pool string, entries []membership.Member, servers []sequoialead.Server) map[string]bool {
	reachable := make([]membership.Member, 0, len(entries))
	undivided := len(servers) <= groups.MaxUndivided
	likely := likelyLeaders(entries)
	for _, e := range entries {
		needed := likely[e.Name] && (undivided || e.Domain == d.opts.Domain)
		self := e.Name == d.opts.Entry
		switch {
		case self && d.isLeaving():
		case self, needed && d.opts.Siblings.EnsureConnected(e.Name), !needed && !d.opts.Siblings.Unavailable(e.Name):
			reachable = append(reachable, e)
		}
	}
	g := groups.New(pool, reachable, servers)
	for _, leader := range g.Leaders() {
		if leader != d.opts.Entry {
			d.opts.Siblings.EnsureConnected(leader) // starts to connect, including to leaders in other failure domains
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.groups[pool] = g
	return g.Servers(d.opts.Entry)
}

// likelyLeaders returns the names of the entries that lead groups as long as they can be
// reached. Connections to all the others would cost each entry a part of its processor
// time that grows with their number.
func likelyLeaders(entries []membership.Member) map[string]bool {
	byDomain := map[string][]membership.Member{}
	for _, e := range entries {
		byDomain[e.Domain] = append(byDomain[e.Domain], e)
	}
	likely := map[string]bool{}
	for _, local := range byDomain {
		for _, e := range membership.Strong(local) {
			likely[e.Name] = true
		}
	}
	return likely
}

// HandOver stops this entry from leading groups. Queued orders fail with
// ReasonLeaving, so that the entries that they came from send them to the next
// leader.
func (d *Delegate) HandOver() {
	d.mu.Lock()
	d.leaving = true
	d.mu.Unlock()
	d.opts.Batcher.HandOver()
}

func (d *Delegate) isLeaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaving
}

// leader returns the leader for those orders of a request that prefer the given
// failure domain; if domain is empty, that of this entry. The result is empty if
// this entry's own batcher makes the orders.
func (d *Delegate) leader(pool, request, domain string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.groups[pool]
	if g == nil {
		return ""
	}
	return d.remoteName(g.Leader(cmp.Or(domain, d.opts.Domain), request))
}

// remoteName returns the name of another entry, or an empty string for this
// one.
func (d *Delegate) remoteName(name string) string {
	if name == d.opts.Entry {
		return ""
	}
	return name
}

// chooseLeader returns the entry to send an order to, empty for this one: the
// leader of its own group, or that of another group if the order would be late
// at its own and made sooner there.
func (d *Delegate) chooseLeader(order batch.Order) string {
	if d.opts.Balance && order.Conf != nil && order.Conf.Pieces != nil {
		return d.balancedLeader(order)
	}
	request := order.Pieces[0].Request
	ownLeader := d.leader(order.Pool, request, order.Domain)
	if order.Conf == nil || order.Conf.Pieces == nil {
		return ownLeader
	}
	ownEstimate := d.estimate(order.Conf, ownLeader, order.Urgency, len(order.Pieces))
	if !d.opts.Now().Add(ownEstimate).After(order.DueAt) {
		return ownLeader
	}
	d.mu.Lock()
	name := ""
	if g := d.groups[order.Pool]; g != nil {
		name = g.OverflowLeader(cmp.Or(order.Domain, d.opts.Domain), request)
	}
	d.mu.Unlock()
	other := d.remoteName(name)
	if name == "" || other == ownLeader || other != "" && !d.opts.Siblings.EnsureConnected(other) {
		return ownLeader
	}
	if d.estimate(order.Conf, other, order.Urgency, len(order.Pieces))+minOverflowGain < ownEstimate {
		return other
	}
	return ownLeader
}

// maxLeaders bounds the leaders that are tried for one order.
const maxLeaders = 3

// Make sends an order to its leader and returns the results. If no leader can be
// reached, this entry's own batcher makes the pieces.
func (d *Delegate) Make(ctx context.Context, order batch.Order) ([]batch.Result, sequoialead.Reason) {
	for range maxLeaders {
		leader := d.chooseLeader(order)
		if leader == "" {
			if results, reason := d.opts.Batcher.Make(ctx, order); reason != sequoialead.ReasonLeaving {
				return results, reason
			}
		} else if results, reason, ok := d.orderFrom(ctx, leader, order); ok {
			return results, reason
		}
		d.opts.Log.Info("leader-lost", "id", order.Pieces[0].Request, "pool", order.Pool, "leader", leader)
		d.opts.OnLeaderLost()
	}
	return d.opts.Batcher.Make(ctx, order)
}

// orderFrom sends an order to a leader and returns the results. It reports false if
// another leader should be tried.
func (d *Delegate) orderFrom(ctx context.Context, leader string, order batch.Order) ([]batch.Result, sequoialead.Reason, bool) {
	now := d.opts.Now()
	d.recordSent(order.Pool, leader, order.Urgency, len(order.Pieces))
	result, ok := d.opts.Siblings.Order(ctx, leader, protocol.Order{
		Pool: order.Pool, Urgency: order.Urgency, Pieces: order.Pieces, DueIn: order.DueAt.Sub(now), ExpiresIn: order.ExpiresAt.Sub(now), Domain: order.Domain,
		MovedBytes: order.MovedBytes,
	}, order.OnInputsRead)
	if ctx.Err() != nil {
		return nil, sequoialead.ReasonCancelled, true
	}
	if !ok || result.Reason == sequoialead.ReasonLeaving {
		return nil, "", false
	}
	d.updateBacklog(order.Pool, leader, result.Backlog)
	if result.Reason != "" {
		return nil, result.Reason, true
	}
	results := make([]batch.Result, len(result.Results))
	for i, r := range result.Results {
		results[i] = fromProtocolResult(r)
		results[i].Entry = leader
	}
	return results, "", true
}

// Free frees results through the entries whose batchers requested them, or directly
// if these entries can't be reached.
func (d *Delegate) Free(results []batch.Result) {
	byEntry := map[string][]batch.Result{}
	for _, r := range results {
		byEntry[r.Entry] = append(byEntry[r.Entry], r)
	}
	for name, list := range byEntry {
		if name == "" || !d.opts.Siblings.ReleaseResults(name, toProtocolResults(list)) {
			d.opts.Batcher.Free(list)
		}
	}
}

// Estimate returns how long a number of pieces would take for a request with
// the given urgency. It is zero if the pool is not configured to make pieces.
func (d *Delegate) Estimate(conf *proxyconfig.Pool, request string, urgency, pieces int) time.Duration {
	if conf == nil || conf.Pieces == nil {
		return 0
	}
	if d.opts.Balance {
		return d.expected(conf, request, urgency, pieces)
	}
	return d.estimate(conf, d.leader(conf.Name, request, ""), urgency, pieces)
}

func (d *Delegate) estimate(conf *proxyconfig.Pool, leader string, urgency, pieces int) time.Duration {
	return batch.Estimate(conf.Pieces, d.backlog(conf.Name, leader), urgency, pieces)
}

// backlog returns the backlog of a leader; empty if there is no recent report.
func (d *Delegate) backlog(pool, leader string) protocol.Backlog {
	if leader == "" {
		return d.opts.Batcher.Backlog(pool)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	report := d.backlogs[[2]string{pool, leader}]
	if d.opts.Now().Sub(report.receivedAt) > backlogMaxAge {
		return protocol.Backlog{}
	}
	return addSent(report.backlog, d.sent[[2]string{pool, leader}])
}

// scarceRoomShare is the part of the room for results above which results that
// were read are freed before it is certain that they are not needed again.
// Below it, a full batch still fits beside the results that are held.
const scarceRoomShare = 0.5

// RoomScarce reports whether the backend servers that hold the results are so short
// of room that the results should be freed early. It uses the backlog of the entry
// that requested the first result.
func (d *Delegate) RoomScarce(pool string, results []batch.Result) bool {
	return len(results) > 0 && d.backlog(pool, results[0].Entry).RoomUsed > scarceRoomShare
}

// Backlogs returns the backlogs of the pools in which this entry leads backend
// servers, by pool.
func (d *Delegate) Backlogs() map[string]protocol.Backlog {
	d.mu.Lock()
	ledPools := make([]string, 0, len(d.groups))
	for pool, g := range d.groups {
		if len(g.Servers(d.opts.Entry)) > 0 {
			ledPools = append(ledPools, pool)
		}
	}
	d.mu.Unlock()
	backlogs := make(map[string]protocol.Backlog, len(ledPools))
	for _, pool := range ledPools {
		backlogs[pool] = d.opts.Batcher.Backlog(pool)
	}
	return backlogs
}

// UpdateBacklogs records the newest backlogs that another entry reported, by pool.
func (d *Delegate) UpdateBacklogs(entry string, backlogs map[string]protocol.Backlog) {
	for pool, backlog := range backlogs {
		d.updateBacklog(pool, entry, backlog)
	}
}

func (d *Delegate) updateBacklog(pool, leader string, backlog protocol.Backlog) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.sent, [2]string{pool, leader})
	d.backlogs[[2]string{pool, leader}] = backlogReport{backlog: backlog, receivedAt: d.opts.Now()}
}

// Serve passes an order of another entry to this entry's batcher and returns the
// result. It calls onRead once the inputs have been read.
func (d *Delegate) Serve(ctx context.Context, order protocol.Order, onRead func()) protocol.OrderResult {
	now := d.opts.Now()
	results, reason := d.opts.Batcher.Make(ctx, batch.Order{
		Pool: order.Pool, Urgency: order.Urgency, Pieces: order.Pieces, DueAt: now.Add(order.DueIn), ExpiresAt: now.Add(order.ExpiresIn), Domain: order.Domain,
		MovedBytes: order.MovedBytes, OnInputsRead: onRead,
	})
	return protocol.OrderResult{ID: order.ID, Results: toProtocolResults(results), Reason: reason, Backlog: d.opts.Batcher.Backlog(order.Pool)}
}

// ReleaseResults frees results that this entry's batcher requested for another entry.
func (d *Delegate) ReleaseResults(results []protocol.Result) {
	list := make([]batch.Result, len(results))
	for i, r := range results {
		list[i] = fromProtocolResult(r)
	}
	d.opts.Batcher.Free(list)
}

func fromProtocolResult(r protocol.Result) batch.Result {
	return batch.Result{Handle: r.Handle, Bytes: r.Bytes, Server: sequoialead.Server{ID: r.Server, Addr: r.Addr, Domain: r.Domain}}
}

func toProtocolResults(results []batch.Result) []protocol.Result {
	list := make([]protocol.Result, len(results))
	for i, r := range results {
		list[i] = protocol.Result{Handle: r.Handle, Server: r.Server.ID, Addr: r.Server.Addr, Domain: r.Server.Domain, Bytes: r.Bytes}
	}
	return list
}
