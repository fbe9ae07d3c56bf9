package admission

import "time"

// Stage is one stage on the path of a request.
type Stage struct {
	// After holds the indexes of the stages whose results this one needs. They are
	// smaller than its own.
	After []int
	// Estimate is the predicted time from the order for the stage to its results, wait
	// included; zero if the request omits the stage. Of a stage that has started it is the
	// prediction at its start.
	Estimate time.Duration
	// Started and Done tell how far the stage is, and Elapsed is the time since its start.
	Started bool
	Done    bool
	Elapsed time.Duration
}

// Path is what a request still has before it until its first event.
type Path struct {
	Stages []Stage
	// Wait is the predicted wait for a place at a backend server, and FirstEvent the
	// predicted time from there to the first event.
	Wait       time.Duration
	FirstEvent time.Duration
}

// Remaining returns the predicted time to the first event. A stage that takes longer than
// was predicted counts as about to end.
func (p Path) Remaining() time.Duration {
	ends := make([]time.Duration, len(p.Stages))
	last := time.Duration(0)
	for i, s := range p.Stages {
		switch {
		case s.Done:
		case s.Started:
			ends[i] = max(s.Estimate-s.Elapsed, 0)
		default:
			for _, a := range s.After {
				ends[i] = max(ends[i], ends[a])
			}
			ends[i] += s.Estimate
		}
		last = max(last, ends[i])
	}
	return last + p.Wait + p.FirstEvent
}

// Worked reports whether a stage of the request is done, so that ending the request throws its
// results away.
func (p Path) Worked() bool {
	for _, s := range p.Stages {
		if s.Started && s.Done {
			return true
		}
	}
	return false
}

// Queues reports whether the request has to wait for others: in stages or for a place.
func (p Path) Queues() bool {
	for _, s := range p.Stages {
		if s.Estimate > 0 {
			return true
		}
	}
	return p.Wait > 0
}
