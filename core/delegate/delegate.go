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
	"sequoialead/core/frame"
	"sequoialead/core/groups"
	"sequoialead/core/members"
	"sequoialead/core/plan"
)

// Siblings sends messages to other entries.
type Siblings interface {
	// Update sets the entries that exist.
	Update(entries []members.Entry)
	// Reach reports whether an entry can be asked now. If there is no connection
	// to it yet, it starts to connect.
	Reach(name string) bool
	// Lost reports whether an entry was asked before and can't be reached now.
	Lost(name string) bool
	// Order has an order made by an entry, and calls read once its inputs have
	// been read, if that is known before the results arrive. It reports false if
	// the entry can't be reached, or is lost before it answers.
	Order(ctx context.Context, name string, order frame.Order, read func()) (frame.Made, bool)
	// Drop asks an entry to free results that it had made. It reports false if
	// the entry can't be reached.
	Drop(name string, results []frame.Result) bool
}

// Options configures a delegate. Entry and Domain are the name and the failure
// domain of this entry.
type Options struct {
	Entry    string
	Domain   string
	Batcher  *batch.Batcher
	Siblings Siblings
	Log      klog.Logger
	// Changed is called when an order could not be made by its leader, before
	// the next leader is chosen.
	Changed func()
	Now     func() time.Time
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
	backlog    frame.Backlog
	receivedAt time.Time
}

// Delegate has orders made by the leaders of groups of backend servers.
type Delegate struct {
	opts Options

	mu sync.Mutex
	// leaving is set once this entry no longer leads any group.
	leaving bool
	groups  map[string]*groups.Groups
	// backlogs holds the latest report of each leader, by pool and leader.
	backlogs map[[2]string]backlogReport
}

// New returns a delegate of an entry that leads nothing yet.
func New(opts Options) *Delegate {
	return &Delegate{opts: opts, groups: map[string]*groups.Groups{}, backlogs: map[[2]string]backlogReport{}}
}

// Update sets the entries and a pool's backend servers, and returns the IDs of
// the backend servers that this entry leads.
func (d *Delegate) Update(pool string, entries []members.Entry, servers []sequoialead.Server) map[string]bool {
	reachable := make([]members.Entry, 0, len(entries))
	undivided := len(servers) <= groups.Most
	for _, e := range entries {
		needed := undivided || e.Domain == d.opts.Domain
		self := e.Name == d.opts.Entry
		switch {
		case self && d.isLeaving():
		case self, needed && d.opts.Siblings.Reach(e.Name), !needed && !d.opts.Siblings.Lost(e.Name):
			reachable = append(reachable, e)
		}
	}
	g := groups.New(pool, reachable, servers)
	for _, leader := range g.Leaders() {
		if leader != d.opts.Entry {
			d.opts.Siblings.Reach(leader) // starts to connect, also to leaders in other failure domains
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.groups[pool] = g
	return g.Own(d.opts.Entry)
}

// Leave makes this entry give up the groups that it leads. Waiting orders are
// failed with ReasonLeaving, so that their entries send them to the next
// leader.
func (d *Delegate) Leave() {
	d.mu.Lock()
	d.leaving = true
	d.mu.Unlock()
	d.opts.Batcher.Leave()
}

func (d *Delegate) isLeaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaving
}

// leader returns the leader to ask for a request that is best served in a
// failure domain; empty for this entry.
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
	request := order.Pieces[0].Request
	own := d.leader(order.Pool, request, order.Domain)
	if order.Conf == nil || order.Conf.Pieces == nil {
		return own
	}
	ownEstimate := d.estimate(order.Conf, own, order.Rank, len(order.Pieces))
	if !d.opts.Now().Add(ownEstimate).After(order.Due) {
		return own
	}
	d.mu.Lock()
	name := ""
	if g := d.groups[order.Pool]; g != nil {
		name = g.Other(cmp.Or(order.Domain, d.opts.Domain), request)
	}
	d.mu.Unlock()
	other := d.remoteName(name)
	if name == "" || other == own || other != "" && !d.opts.Siblings.Reach(other) {
		return own
	}
	if d.estimate(order.Conf, other, order.Rank, len(order.Pieces))+minOverflowGain < ownEstimate {
		return other
	}
	return own
}

// maxLeaders bounds the leaders that are tried for one order.
const maxLeaders = 3

// Make has an order made by its leader, or by this entry's batcher if no leader
// can be reached.
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
		d.opts.Changed()
	}
	return d.opts.Batcher.Make(ctx, order)
}

// orderFrom has an order made by a leader. It reports false if another leader
// should be tried.
func (d *Delegate) orderFrom(ctx context.Context, leader string, order batch.Order) ([]batch.Result, sequoialead.Reason, bool) {
	now := d.opts.Now()
	made, ok := d.opts.Siblings.Order(ctx, leader, frame.Order{
		Pool: order.Pool, Rank: order.Rank, Pieces: order.Pieces, Due: order.Due.Sub(now), Until: order.Until.Sub(now), Domain: order.Domain,
		Moved: order.Moved,
	}, order.Read)
	if ctx.Err() != nil {
		return nil, sequoialead.ReasonCancelled, true
	}
	if !ok || made.Reason == sequoialead.ReasonLeaving {
		return nil, "", false
	}
	d.recordBacklog(order.Pool, leader, made.Backlog)
	if made.Reason != "" {
		return nil, made.Reason, true
	}
	results := make([]batch.Result, len(made.Results))
	for i, r := range made.Results {
		results[i] = fromFrame(r)
		results[i].By = leader
	}
	return results, "", true
}

// Free frees results through the entries that had them made, or directly if
// these can't be reached.
func (d *Delegate) Free(results []batch.Result) {
	byEntry := map[string][]batch.Result{}
	for _, r := range results {
		byEntry[r.By] = append(byEntry[r.By], r)
	}
	for name, list := range byEntry {
		if name == "" || !d.opts.Siblings.Drop(name, toFrames(list)) {
			d.opts.Batcher.Free(list)
		}
	}
}

// Estimate returns how long a number of pieces would take for a request with
// the given rank. It is zero if the pool has no configuration of pieces.
func (d *Delegate) Estimate(conf *plan.Pool, request string, rank, pieces int) time.Duration {
	if conf == nil || conf.Pieces == nil {
		return 0
	}
	return d.estimate(conf, d.leader(conf.Name, request, ""), rank, pieces)
}

func (d *Delegate) estimate(conf *plan.Pool, leader string, rank, pieces int) time.Duration {
	return batch.Estimate(conf.Pieces, d.backlog(conf.Name, leader), rank, pieces)
}

// backlog returns the backlog of a leader; empty if there is no recent report.
func (d *Delegate) backlog(pool, leader string) frame.Backlog {
	if leader == "" {
		return d.opts.Batcher.Backlog(pool)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	report := d.backlogs[[2]string{pool, leader}]
	if d.opts.Now().Sub(report.receivedAt) > backlogMaxAge {
		return frame.Backlog{}
	}
	return report.backlog
}

// scarceRoomShare is the part of the room for results above which results that
// were read are freed before it is certain that they are not needed again.
// Below it, a whole call still fits beside the results that are held.
const scarceRoomShare = 0.5

// Scarce reports whether the makers of results are so short of room that these
// should be freed early.
func (d *Delegate) Scarce(pool string, results []batch.Result) bool {
	return len(results) > 0 && d.backlog(pool, results[0].By).Held > scarceRoomShare
}

// Backlogs returns the backlogs of the pools in which this entry leads backend
// servers, by pool.
func (d *Delegate) Backlogs() map[string]frame.Backlog {
	d.mu.Lock()
	ledPools := make([]string, 0, len(d.groups))
	for pool, g := range d.groups {
		if len(g.Own(d.opts.Entry)) > 0 {
			ledPools = append(ledPools, pool)
		}
	}
	d.mu.Unlock()
	backlogs := make(map[string]frame.Backlog, len(ledPools))
	for _, pool := range ledPools {
		backlogs[pool] = d.opts.Batcher.Backlog(pool)
	}
	return backlogs
}

// Heard records the backlogs that another entry reported, by pool.
func (d *Delegate) Heard(entry string, backlogs map[string]frame.Backlog) {
	for pool, backlog := range backlogs {
		d.recordBacklog(pool, entry, backlog)
	}
}

func (d *Delegate) recordBacklog(pool, leader string, backlog frame.Backlog) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.backlogs[[2]string{pool, leader}] = backlogReport{backlog: backlog, receivedAt: d.opts.Now()}
}

// Serve has an order of another entry made by this entry's batcher, and calls
// read once its inputs have been read.
func (d *Delegate) Serve(ctx context.Context, order frame.Order, read func()) frame.Made {
	now := d.opts.Now()
	results, reason := d.opts.Batcher.Make(ctx, batch.Order{
		Pool: order.Pool, Rank: order.Rank, Pieces: order.Pieces, Due: now.Add(order.Due), Until: now.Add(order.Until), Domain: order.Domain,
		Moved: order.Moved, Read: read,
	})
	return frame.Made{ID: order.ID, Results: toFrames(results), Reason: reason, Backlog: d.opts.Batcher.Backlog(order.Pool)}
}

// Dropped frees results that this entry had made for another entry.
func (d *Delegate) Dropped(results []frame.Result) {
	list := make([]batch.Result, len(results))
	for i, r := range results {
		list[i] = fromFrame(r)
	}
	d.opts.Batcher.Free(list)
}

func fromFrame(r frame.Result) batch.Result {
	return batch.Result{Handle: r.Handle, Bytes: r.Bytes, Maker: sequoialead.Server{ID: r.Maker, Addr: r.Addr, Domain: r.Domain}}
}

func toFrames(results []batch.Result) []frame.Result {
	frames := make([]frame.Result, len(results))
	for i, r := range results {
		frames[i] = frame.Result{Handle: r.Handle, Maker: r.Maker.ID, Addr: r.Maker.Addr, Domain: r.Maker.Domain, Bytes: r.Bytes}
	}
	return frames
}
