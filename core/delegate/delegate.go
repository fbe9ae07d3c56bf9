// Package delegate hands orders for pieces to the entries that lead the groups
// of backend servers, and has them made here where that fails. Besides the
// delegate it exports its options and what it needs of others.
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
	// Update takes the entries that there are.
	Update(entries []members.Entry)
	// Reach reports whether an entry can be asked now. It begins to connect to
	// one that was not asked before.
	Reach(name string) bool
	// Lost reports whether an entry was asked and cannot be reached now.
	Lost(name string) bool
	// Order has an order made by an entry, and calls the function once its inputs
	// were read, if that is known. It reports false if the entry could not be
	// reached, or was lost before it answered.
	Order(ctx context.Context, name string, order frame.Order, read func()) (frame.Made, bool)
	// Drop gives up results that an entry had made. It reports false if the
	// entry cannot be told.
	Drop(name string, results []frame.Result) bool
}

// Options configures a delegate.
type Options struct {
	Entry    string
	Domain   string
	Batcher  *batch.Batcher
	Siblings Siblings
	Log      klog.Logger
	// Changed is called when a leader was lost, before the next one is asked.
	Changed func()
	Now     func() time.Time
}

// backlogLife is how long a leader's word on its backlog counts: as long as an
// entry that is silent counts as reachable.
const backlogLife = 900 * time.Millisecond

// overflowGain is the time that an order must gain at another group's leader,
// since what is known of that may be old.
const overflowGain = 100 * time.Millisecond

type reading struct {
	backlog frame.Backlog
	at      time.Time
}

// Delegate has orders made.
type Delegate struct {
	opts Options

	mu sync.Mutex
	// leaving is set once this entry leads nothing any more.
	leaving bool
	groups  map[string]*groups.Groups
	// backlogs holds what leaders last said, by pool and leader.
	backlogs map[[2]string]reading
}

// New returns a delegate that leads nothing.
func New(opts Options) *Delegate {
	return &Delegate{opts: opts, groups: map[string]*groups.Groups{}, backlogs: map[[2]string]reading{}}
}

// Update takes the entries and a pool's backend servers, and returns those that
// this entry leads.
func (d *Delegate) Update(pool string, entries []members.Entry, servers []sequoialead.Server) map[string]bool {
	reachable := make([]members.Entry, 0, len(entries))
	whole := len(servers) <= groups.Most
	for _, e := range entries {
		asked := whole || e.Domain == d.opts.Domain
		self := e.Name == d.opts.Entry
		switch {
		case self && d.left():
		case self, asked && d.opts.Siblings.Reach(e.Name), !asked && !d.opts.Siblings.Lost(e.Name):
			reachable = append(reachable, e)
		}
	}
	g := groups.New(pool, reachable, servers)
	for _, leader := range g.Leaders() {
		if leader != d.opts.Entry {
			d.opts.Siblings.Reach(leader) // connects, also to those of other failure domains
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.groups[pool] = g
	return g.Own(d.opts.Entry)
}

// Leave stops this entry from leading.
func (d *Delegate) Leave() {
	d.mu.Lock()
	d.leaving = true
	d.mu.Unlock()
	d.opts.Batcher.Leave()
}

func (d *Delegate) left() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaving
}

// leader returns the entry to ask for a request that is best served in a failure
// domain; empty for this one.
func (d *Delegate) leader(pool, request, domain string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.groups[pool]
	if g == nil {
		return ""
	}
	return d.other(g.Leader(cmp.Or(domain, d.opts.Domain), request))
}

// other returns an entry's name, or nothing for this one.
func (d *Delegate) other(name string) string {
	if name == d.opts.Entry {
		return ""
	}
	return name
}

// overflow returns the entry to ask for an order: that of another group if the
// order would be late at its own and sooner there.
func (d *Delegate) overflow(order batch.Order) string {
	request := order.Pieces[0].Request
	own := d.leader(order.Pool, request, order.Domain)
	if order.Conf == nil || order.Conf.Pieces == nil {
		return own
	}
	took := d.estimate(order.Conf, own, order.Rank, len(order.Pieces))
	if !d.opts.Now().Add(took).After(order.Due) {
		return own
	}
	d.mu.Lock()
	name := ""
	if g := d.groups[order.Pool]; g != nil {
		name = g.Other(cmp.Or(order.Domain, d.opts.Domain), request)
	}
	d.mu.Unlock()
	other := d.other(name)
	if name == "" || other == own || other != "" && !d.opts.Siblings.Reach(other) {
		return own
	}
	if d.estimate(order.Conf, other, order.Rank, len(order.Pieces))+overflowGain < took {
		return other
	}
	return own
}

// mostLeaders bounds the leaders that an order is sent to.
const mostLeaders = 3

// Make has an order made, by the leader if it can be reached, else here.
func (d *Delegate) Make(ctx context.Context, order batch.Order) ([]batch.Result, sequoialead.Reason) {
	for range mostLeaders {
		leader := d.overflow(order)
		if leader == "" {
			if results, reason := d.opts.Batcher.Make(ctx, order); reason != sequoialead.ReasonLeaving {
				return results, reason
			}
		} else if results, reason, ok := d.ask(ctx, leader, order); ok {
			return results, reason
		}
		d.opts.Log.Info("leader-lost", "id", order.Pieces[0].Request, "pool", order.Pool, "leader", leader)
		d.opts.Changed()
	}
	return d.opts.Batcher.Make(ctx, order)
}

// ask has an order made by a leader. It reports false if another is to be asked.
func (d *Delegate) ask(ctx context.Context, leader string, order batch.Order) ([]batch.Result, sequoialead.Reason, bool) {
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
	d.heard(order.Pool, leader, made.Backlog)
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

// Free gives up results, at the entry that had them made if it can be told.
func (d *Delegate) Free(results []batch.Result) {
	by := map[string][]batch.Result{}
	for _, r := range results {
		by[r.By] = append(by[r.By], r)
	}
	for name, list := range by {
		if name == "" || !d.opts.Siblings.Drop(name, toFrames(list)) {
			d.opts.Batcher.Free(list)
		}
	}
}

// Estimate returns how long pieces of a request of a rank would take.
func (d *Delegate) Estimate(conf *plan.Pool, request string, rank, pieces int) time.Duration {
	if conf == nil || conf.Pieces == nil {
		return 0
	}
	return d.estimate(conf, d.leader(conf.Name, request, ""), rank, pieces)
}

func (d *Delegate) estimate(conf *plan.Pool, leader string, rank, pieces int) time.Duration {
	return batch.Estimate(conf.Pieces, d.backlog(conf.Name, leader), rank, pieces)
}

// backlog returns what waits at a leader; nothing if it is not known.
func (d *Delegate) backlog(pool, leader string) frame.Backlog {
	if leader == "" {
		return d.opts.Batcher.Backlog(pool)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.backlogs[[2]string{pool, leader}]
	if d.opts.Now().Sub(r.at) > backlogLife {
		return frame.Backlog{}
	}
	return r.backlog
}

// scarceShare is the part of the room for results above which those that were read
// are given up before it is certain that they are not needed again: with less
// taken, a whole call still fits beside those that are held.
const scarceShare = 0.5

// Scarce reports whether the makers of a pool's results need their room back.
func (d *Delegate) Scarce(pool string, results []batch.Result) bool {
	return len(results) > 0 && d.backlog(pool, results[0].By).Held > scarceShare
}

// Backlogs returns what waits here for the backend servers that this entry leads,
// by pool.
func (d *Delegate) Backlogs() map[string]frame.Backlog {
	d.mu.Lock()
	led := make([]string, 0, len(d.groups))
	for pool, g := range d.groups {
		if len(g.Own(d.opts.Entry)) > 0 {
			led = append(led, pool)
		}
	}
	d.mu.Unlock()
	backlogs := make(map[string]frame.Backlog, len(led))
	for _, pool := range led {
		backlogs[pool] = d.opts.Batcher.Backlog(pool)
	}
	return backlogs
}

// Heard takes what another entry says of what waits there.
func (d *Delegate) Heard(entry string, backlogs map[string]frame.Backlog) {
	for pool, backlog := range backlogs {
		d.heard(pool, entry, backlog)
	}
}

func (d *Delegate) heard(pool, leader string, backlog frame.Backlog) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.backlogs[[2]string{pool, leader}] = reading{backlog: backlog, at: d.opts.Now()}
}

// Serve has an order of another entry made here, and calls the function once its
// inputs were read.
func (d *Delegate) Serve(ctx context.Context, order frame.Order, read func()) frame.Made {
	now := d.opts.Now()
	results, reason := d.opts.Batcher.Make(ctx, batch.Order{
		Pool: order.Pool, Rank: order.Rank, Pieces: order.Pieces, Due: now.Add(order.Due), Until: now.Add(order.Until), Domain: order.Domain,
		Moved: order.Moved, Read: read,
	})
	return frame.Made{ID: order.ID, Results: toFrames(results), Reason: reason, Backlog: d.opts.Batcher.Backlog(order.Pool)}
}

// Dropped gives up results that were made here for another entry.
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
