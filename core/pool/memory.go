package pool

import (
	"time"

	"sequoialead"
	"sequoialead/core/enginememory"
)

// limitsMemory reports whether requests are kept within the memory of model engines.
func (p *Pool) limitsMemory() bool { return p.opts.Limits.Outlier && p.conf.MemoryTokens > 0 }

// fitsMemory reports whether a request fits into the memory of a model engine beside what this
// entry has there. Engines that share their machines crash if their memory is exceeded, so an
// estimate of what others have there counts too: the number of their requests, at the mean size
// of this entry's. Engines that have not reported lately have as many of them as the mean.
func (p *Pool) fitsMemory(m *member, prompt sequoialead.Prompt, meanOthers float64, now time.Time) bool {
	if !p.sharesMachines {
		return m.memory.Used()+m.memory.Need(prompt) <= p.conf.MemoryTokens
	}
	return m.memory.Fits(prompt, p.conf.MemoryTokens, p.meanNeed, p.needVariance, meanOthers, now)
}

// meanOthers returns the mean number of other entries' requests at the engines that have
// reported lately.
func (p *Pool) meanOthers(now time.Time) float64 {
	sum, n := 0, 0
	for _, m := range p.members {
		if others, known := m.memory.Others(now); known {
			sum += others
			n++
		}
	}
	return float64(sum) / float64(max(n, 1))
}

// addMemory records that the request of a place is sent.
func (p *Pool) addMemory(place *Place, prompt sequoialead.Prompt) {
	need := float64(place.member.memory.Need(prompt))
	if p.needs == 0 {
		p.needs, p.meanNeed = priorNeeds, float64(p.conf.MemoryTokens)/float64(p.conf.Slots)
		p.needVariance = p.meanNeed * p.meanNeed
	}
	p.needs++
	weight := max(1/float64(p.needs), minNeedWeight)
	difference := need - p.meanNeed
	p.meanNeed += weight * difference
	p.needVariance += weight * (difference*difference - p.needVariance)
	place.prompt, place.inMemory = prompt, true
	place.member.memory.Add(prompt)
}

// Oversized reports whether a request is larger than the whole memory of a model engine.
func (p *Pool) Oversized(prompt sequoialead.Prompt) bool {
	return p.limitsMemory() && enginememory.Size(prompt) > p.conf.MemoryTokens
}

// minNeedWeight is the least weight of the newest request in the mean size of requests. Sizes
// differ by a hundred times, so that some hundreds make a mean.
const minNeedWeight = 0.005

// priorNeeds is the weight, in requests, of the size that the configuration suggests: the memory
// of an engine by its slots. Of few requests, a single large one would make the mean.
const priorNeeds = 20
