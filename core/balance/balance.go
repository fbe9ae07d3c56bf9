// Package balance chooses the group of backend servers that makes an order for pieces.
//
// It answers the load pattern of uneven demand: each failure domain's demand varies with its
// own phase and has bursts, while the servers of other domains are idle. If orders leave
// their domain only when they would be late there, most of an objective is spent waiting. If
// all entries send their orders to the group with the shortest backlog, they herd: reports of
// backlogs are up to 0.3 s old, and all entries have the same ones.
//
// So an order leaves its home group with a probability that grows with the time gained, and
// goes to any of the better groups, by what each of them gains.
package balance

import (
	"slices"
	"time"
)

const (
	// fullGain is the gain from which on all orders leave their home group. In the replay
	// of this package (load 0.7, 30 entries), 13.0% of the orders are late with it, 19.6%
	// with 150 ms, since the groups' backlogs swing when reports are old, and 14.4% with
	// 700 ms, which leaves more of the wait.
	fullGain = 400 * time.Millisecond
	// minGain is the gain below which no order moves: predictions differ by about as much
	// from what then happens.
	minGain = 30 * time.Millisecond
	// crossing is the time that an order and its results take to another failure domain,
	// and bytesPerMillisecond what else is moved between domains in a millisecond. It
	// prices the load on the links, not only the time: 60 KB of each of four inputs for
	// six pieces cost about as much as a whole call.
	crossing            = 5 * time.Millisecond
	bytesPerMillisecond = 5000
	// followingShare is the part of the following stage's predicted time that counts,
	// because the backlogs will have changed by then.
	followingShare = 0.5
)

// Group is a group of backend servers that may make an order.
type Group struct {
	// End is the predicted time until the order's results are complete, with the orders
	// that this entry has sent since the group's last report.
	End time.Duration
	// Moved is the number of bytes, of inputs and results, that cross failure domains if
	// the group makes the order.
	Moved int
	// Following is the predicted time that the following stage takes if its inputs are at
	// this group, the time for moving them included; zero if there is none.
	Following time.Duration
	// Remote is set if the group is in another failure domain than the order's entry.
	Remote bool
}

// MoveTime returns the cost of moving a number of bytes between failure domains.
func MoveTime(bytes int) time.Duration {
	if bytes <= 0 {
		return 0
	}
	return time.Duration(bytes/bytesPerMillisecond) * time.Millisecond
}

// cost returns the time by which groups are compared.
func (g Group) cost() time.Duration {
	c := g.End + MoveTime(g.Moved) + time.Duration(followingShare*float64(g.Following))
	if g.Remote {
		c += crossing
	}
	return c
}

// Choose returns the index of the group that makes an order; random is a number from 0 up
// to 1.
func Choose(groups []Group, home int, random float64) int {
	weights, total := gains(groups, home)
	if total == 0 {
		return home
	}
	leaving := leavingShare(weights)
	if random >= leaving {
		return home
	}
	point := time.Duration(random / leaving * float64(total))
	for i, gain := range weights {
		if point < gain {
			return i
		}
		point -= gain
	}
	return home
}

// leavingShare returns the share of orders that leave their home group.
func leavingShare(gains []time.Duration) float64 {
	return min(float64(slices.Max(gains))/float64(fullGain), 1)
}

// gains returns the time gained at each group over the home group; zero at those that gain
// too little.
func gains(groups []Group, home int) (list []time.Duration, total time.Duration) {
	list = make([]time.Duration, len(groups))
	own := groups[home].cost()
	for i, g := range groups {
		if gain := own - g.cost(); i != home && gain >= minGain {
			list[i] = gain
			total += gain
		}
	}
	return list, total
}

// Expected returns the mean predicted time until the results of an order are complete, over
// the groups that Choose may return.
func Expected(groups []Group, home int) time.Duration {
	weights, total := gains(groups, home)
	if total == 0 {
		return groups[home].End
	}
	elsewhere := 0.0
	for i, gain := range weights {
		elsewhere += float64(gain) / float64(total) * float64(groups[i].End)
	}
	leaving := leavingShare(weights)
	return time.Duration((1-leaving)*float64(groups[home].End) + leaving*elsewhere)
}
