package rollout

import (
	"maps"
	"math"
	"time"
)

// Side is the part of a service's backend servers that a request is sent to: those with
// the order's target version, or the others.
type Side int

// The sides.
const (
	SideOld Side = iota
	SideNew
)

// Counts are numbers of answers of one side on one route. Failed and slow ones are among
// Answers.
type Counts struct {
	Answers uint32 `cbor:"1,keyasint,omitempty"`
	Failed  uint32 `cbor:"2,keyasint,omitempty"`
	Slow    uint32 `cbor:"3,keyasint,omitempty"`
}

// Route holds the counts of one route. Times is a histogram of the old side's times to
// the first byte, from which all entries derive above which time an answer is slow.
type Route struct {
	Old   Counts           `cbor:"1,keyasint"`
	New   Counts           `cbor:"2,keyasint"`
	Times map[uint8]uint32 `cbor:"3,keyasint,omitempty"`
}

// Report is what one entry tells the others about an order. All numbers count from the
// order on and never decrease.
type Report struct {
	Target string `cbor:"1,keyasint"`
	// Age is the time since the order at most, and WrittenAt the time of day in Unix
	// milliseconds, when the report was made. Only the entry itself uses WrittenAt, after
	// a restart, because the clocks of different machines differ.
	Age       time.Duration `cbor:"2,keyasint"`
	WrittenAt int64         `cbor:"3,keyasint"`
	Step      Step          `cbor:"4,keyasint"`
	// StartKnown is set if Age comes from this entry's own reads. Ages that were derived from
	// other reports are not passed on, since they would grow with each pass.
	StartKnown bool `cbor:"11,keyasint,omitempty"`
	// OldInFlight is the number of requests in flight at the old servers.
	OldInFlight int               `cbor:"5,keyasint,omitempty"`
	SentOld     uint32            `cbor:"6,keyasint,omitempty"`
	SentNew     uint32            `cbor:"7,keyasint,omitempty"`
	Routes      map[string]*Route `cbor:"8,keyasint,omitempty"`
	// FailedBy and SlowBy hold the numbers of failed and slow answers of the target's
	// servers by a hash of the server's ID.
	FailedBy map[uint32]uint32 `cbor:"9,keyasint,omitempty"`
	SlowBy   map[uint32]uint32 `cbor:"10,keyasint,omitempty"`
}

func newReport(target string) *Report {
	return &Report{Target: target, Routes: map[string]*Route{}, FailedBy: map[uint32]uint32{}, SlowBy: map[uint32]uint32{}}
}

// add adds the numbers of another report.
func (r *Report) add(o *Report) {
	r.SentOld += o.SentOld
	r.SentNew += o.SentNew
	for name, route := range o.Routes {
		if route != nil {
			r.route(name).combine(route, 1)
		}
	}
	for server, n := range o.FailedBy {
		r.FailedBy[server] += n
	}
	for server, n := range o.SlowBy {
		r.SlowBy[server] += n
	}
}

// since returns the numbers that were added after an earlier sum.
func (r *Report) since(earlier *Report) *Report {
	diff := r.clone()
	diff.SentOld = less(diff.SentOld, earlier.SentOld)
	diff.SentNew = less(diff.SentNew, earlier.SentNew)
	for name, route := range earlier.Routes {
		diff.route(name).combine(route, -1)
	}
	for server, n := range earlier.FailedBy {
		diff.FailedBy[server] = less(diff.FailedBy[server], n)
	}
	for server, n := range earlier.SlowBy {
		diff.SlowBy[server] = less(diff.SlowBy[server], n)
	}
	return diff
}

func (r *Report) clone() *Report {
	c := newReport(r.Target)
	c.Age, c.WrittenAt, c.Step, c.OldInFlight = r.Age, r.WrittenAt, r.Step, r.OldInFlight
	c.add(r)
	return c
}

func (r *Report) route(name string) *Route {
	route := r.Routes[name]
	if route == nil {
		route = &Route{Times: map[uint8]uint32{}}
		r.Routes[name] = route
	}
	return route
}

// less subtracts without passing below zero, which a report that went back would cause.
func less(a, b uint32) uint32 { return a - min(a, b) }

func (r *Route) combine(o *Route, sign int) {
	change := func(a, b uint32) uint32 {
		if sign < 0 {
			return less(a, b)
		}
		return a + b
	}
	counts := func(a, b Counts) Counts {
		return Counts{Answers: change(a.Answers, b.Answers), Failed: change(a.Failed, b.Failed), Slow: change(a.Slow, b.Slow)}
	}
	r.Old, r.New = counts(r.Old, o.Old), counts(r.New, o.New)
	for bucket, n := range o.Times {
		r.Times[bucket] = change(r.Times[bucket], n)
	}
}

func (r *Route) counts(side Side) *Counts {
	if side == SideNew {
		return &r.New
	}
	return &r.Old
}

// totals returns the counts of all routes together.
func (r *Report) totals() *Route {
	all := &Route{Times: map[uint8]uint32{}}
	for _, route := range r.Routes {
		all.combine(route, 1)
	}
	return all
}

// largest returns the largest of the numbers, which is the worst server's.
func largest(by map[uint32]uint32) uint32 {
	most := uint32(0)
	for n := range maps.Values(by) {
		most = max(most, n)
	}
	return most
}

// Buckets of times to the first byte: each is wider than the one before it by the square
// root of two.
const (
	firstBucket = 4 * time.Millisecond
	maxBucket   = 30
	// minSlowBucket is the least bucket of a slow answer, from 22.6 ms on: below it a busy
	// entry's own delays are as long as the answers.
	minSlowBucket = 5
)

func bucketOf(took time.Duration) uint8 {
	if took <= firstBucket {
		return 0
	}
	return uint8(min(2*math.Log2(float64(took)/float64(firstBucket)), maxBucket))
}

// median returns the bucket of the median. It reports false if there are too few times.
func median(times map[uint8]uint32) (uint8, bool) {
	total := uint32(0)
	for n := range maps.Values(times) {
		total += n
	}
	if total < minOldTimes {
		return 0, false
	}
	below := uint32(0)
	for bucket := range uint8(maxBucket + 1) {
		below += times[bucket]
		if 2*below >= total {
			return bucket, true
		}
	}
	return maxBucket, true
}
