package delegate

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoialead/core/balance"
	"sequoialead/core/batch"
	"sequoialead/core/groups"
	"sequoialead/core/protocol"
	"sequoialead/core/proxyconfig"
)

// balancedLeader returns the entry to send an order to, empty for this one: the leader of the
// group that core/balance chooses among those whose backlogs are known.
func (d *Delegate) balancedLeader(order batch.Order) string {
	request := order.Pieces[0].Request
	home := cmp.Or(order.Domain, d.opts.Domain)
	ownLeader := d.leader(order.Pool, request, order.Domain)
	list, own := d.groupList(order.Pool, home, ownLeader)
	if len(list) < 2 {
		return ownLeader
	}
	candidates := make([]balance.Group, len(list))
	for i, g := range list {
		candidates[i] = balance.Group{End: d.estimate(order.Conf, g.Leader, order.Urgency, len(order.Pieces)), Following: d.following(order.Following, request, g.Domain, order.Urgency), Remote: g.Domain != d.opts.Domain}
		if order.Domain != "" && g.Domain != order.Domain {
			candidates[i].Moved += order.MovedBytes
		}
		if order.ResultDomain != "" && g.Domain != order.ResultDomain {
			candidates[i].Moved += order.ResultBytes
		}
	}
	chosen := list[balance.Choose(candidates, own, share(request, order.Pool))].Leader
	if chosen != ownLeader && chosen != "" && !d.opts.Siblings.EnsureConnected(chosen) {
		return ownLeader
	}
	if chosen != ownLeader {
		d.opts.Log.V(1).Info("order-moved", "id", request, "pool", order.Pool, "from", ownLeader, "to", chosen, "pieces", len(order.Pieces))
	}
	return chosen
}

// expected returns the mean predicted time of an order without inputs.
func (d *Delegate) expected(conf *proxyconfig.Pool, request string, urgency, pieces int) time.Duration {
	ownLeader := d.leader(conf.Name, request, "")
	list, own := d.groupList(conf.Name, d.opts.Domain, ownLeader)
	candidates := make([]balance.Group, len(list))
	for i, g := range list {
		candidates[i] = balance.Group{End: d.estimate(conf, g.Leader, urgency, pieces), Remote: g.Domain != d.opts.Domain}
	}
	return balance.Expected(candidates, own)
}

// groupList returns the groups of a pool that an order may go to, with an empty leader for
// this entry, and the index of the order's own group. Groups of whose backlog there is no
// recent report are left out, as they would look idle.
func (d *Delegate) groupList(pool, home, ownLeader string) (list []groups.Group, own int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	own = -1
	if g := d.groups[pool]; g != nil {
		for _, group := range g.List() {
			group.Leader = d.remoteName(group.Leader)
			known := group.Leader == "" || d.opts.Now().Sub(d.backlogs[[2]string{pool, group.Leader}].receivedAt) <= backlogMaxAge
			isOwn := group.Leader == ownLeader && (own < 0 || group.Domain == home)
			if !isOwn && !known {
				continue
			}
			if isOwn {
				own = len(list)
			}
			list = append(list, group)
		}
	}
	if own < 0 {
		return append(list, groups.Group{Leader: ownLeader}), len(list)
	}
	return list, own
}

// following returns the predicted time of the longest of the stages that follow an order, if
// its results are in a failure domain: the least over their groups, with the time for moving
// the inputs.
func (d *Delegate) following(stages []batch.Following, request, domain string, urgency int) time.Duration {
	longest := time.Duration(0)
	for _, s := range stages {
		if s.Conf == nil || s.Conf.Pieces == nil {
			continue
		}
		list, _ := d.groupList(s.Conf.Name, domain, d.leader(s.Conf.Name, request, domain))
		least := time.Duration(0)
		for i, g := range list {
			end := d.estimate(s.Conf, g.Leader, urgency, s.Pieces)
			if g.Domain != "" && g.Domain != domain {
				end += balance.MoveTime(s.MovedBytes)
			}
			if i == 0 || end < least {
				least = end
			}
		}
		longest = max(longest, least)
	}
	return longest
}

// share returns a number from 0 up to 1 for the orders of a request to a pool, which is evenly
// distributed over requests.
func share(request, pool string) float64 {
	const bits = 53 // of a float64's significand
	return float64(xxhash.Sum64String(request+"/"+pool)>>(64-bits)) / (1 << bits)
}

// recordSent counts the pieces that are sent to a leader.
func (d *Delegate) recordSent(pool, leader string, urgency, pieces int) {
	if !d.opts.Balance {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	key := [2]string{pool, leader}
	sent := d.sent[key]
	if missing := max(urgency, 0) + 1 - len(sent); missing > 0 {
		sent = append(sent, make([]int, missing)...)
	}
	sent[max(urgency, 0)] += pieces
	d.sent[key] = sent
}

// addSent returns a backlog with further pieces, by urgency.
func addSent(b protocol.Backlog, sent []int) protocol.Backlog {
	if len(sent) == 0 {
		return b
	}
	b.Pieces = slices.Clone(b.Pieces)
	if missing := len(sent) - len(b.Pieces); missing > 0 {
		b.Pieces = append(b.Pieces, make([]int, missing)...)
	}
	for i, n := range sent {
		b.Pieces[i] += n
	}
	return b
}
