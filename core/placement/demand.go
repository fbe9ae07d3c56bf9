package placement

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxParts is the number of parts whose demand is remembered. It bounds the memory.
	maxParts = 4096
	// demandPeriod is the time over which demand is averaged.
	demandPeriod = 10 * time.Second
	// MaxHomes is the maximum number of engines that one part is assigned to.
	MaxHomes = 3
	// maxHomeUse is the part of an engine's time that the requests for one part may take
	// before the part gets a further home. The rest is for other parts.
	maxHomeUse = 0.5
	// dropShare is the part of the demand that gave a part its homes below which it loses
	// the last one, so that the number doesn't follow each change.
	dropShare = 0.6
	// repeatWeight is the weight of a new observation of the repeat share, and initialRepeat
	// the value before any.
	repeatWeight  = 0.02
	initialRepeat = 0.05
	// maxRepeat keeps the logarithm of the rest finite.
	maxRepeat = 0.98
)

// part is the demand of this entry's callers for one part.
type part struct {
	// count is the number of requests, decayed over demandPeriod, and work their mean time
	// of reading at an engine that holds the part.
	count float64
	work  float64
	at    time.Time
	homes int
}

// Demand measures how often parts are asked for. It is not safe for concurrent use.
type Demand struct {
	parts *simplelru.LRU[uint64, *part]
	// repeats is the moving average of whether a part was also asked for within
	// demandPeriod before.
	repeats float64
}

// NewDemand returns a demand without records.
func NewDemand() *Demand {
	parts, err := simplelru.NewLRU[uint64, *part](maxParts, nil)
	if err != nil {
		panic(err) // fails only for a size below one
	}
	return &Demand{parts: parts, repeats: initialRepeat}
}

// Record records a request for a part, and the time that its other tokens take to read.
func (d *Demand) Record(id uint64, work float64, now time.Time) {
	p, ok := d.parts.Get(id)
	if !ok {
		p = &part{homes: 1, work: work}
		d.parts.Add(id, p)
	}
	repeated := 0.0
	if ok && now.Sub(p.at) < demandPeriod {
		repeated = 1
	}
	d.repeats = min(d.repeats+repeatWeight*(repeated-d.repeats), maxRepeat)
	p.count = p.decayed(now) + 1
	p.work += 0.2 * (work - p.work)
	p.at = now
}

// decayed returns the count of recent requests.
func (p *part) decayed(now time.Time) float64 {
	return p.count * math.Exp(-float64(now.Sub(p.at))/float64(demandPeriod))
}

// Homes returns the number of engines that a part is assigned to: as many as its demand
// needs. The demand of all entries follows from this entry's, less its standard deviation, so
// that few requests don't make a second home. The limit is the number of requests per second
// that one home may get for the part; 0 for none.
func (d *Demand) Homes(id uint64, entries int, limit float64, now time.Time) int {
	p, ok := d.parts.Get(id)
	if !ok {
		return 1
	}
	count := p.decayed(now)
	rate := max(count-math.Sqrt(count), 0) * float64(entries) / demandPeriod.Seconds()
	need := rate * p.work / maxHomeUse
	if limit > 0 {
		need = max(need, rate/limit)
	}
	if need > float64(p.homes) {
		p.homes = min(int(math.Ceil(need)), MaxHomes)
	}
	for p.homes > 1 && need < dropShare*float64(p.homes-1) {
		p.homes--
	}
	return p.homes
}

// Uses returns the expected number of requests of other entries for a part within the given
// time: by the demand for the part as far as this entry has seen it, or by how often parts
// are asked for again in general, whichever is more.
func (d *Demand) Uses(id uint64, others float64, within time.Duration, now time.Time) float64 {
	uses := -math.Log1p(-d.repeats)
	if p, ok := d.parts.Peek(id); ok {
		uses = max(uses, p.decayed(now)-1)
	}
	return uses * others * float64(within) / float64(demandPeriod)
}
