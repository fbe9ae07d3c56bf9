package explain

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"sequoialead"
)

// Cause is a cause of refusals or failures, with the number of requests that it decided.
type Cause struct {
	// Outcome and Reason are those that the process logged.
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	// Text says what decided the outcome. Unlike Timeline.Cause it names no server and no
	// time, so that it is the same for requests that ended alike.
	Text  string `json:"cause"`
	Count int    `json:"count"`
	// Example is the ID of one of the requests.
	Example string `json:"example"`
}

// Prediction compares predicted with actual times to the first byte of an answer.
type Prediction struct {
	Pool         string        `json:"pool"`
	Route        string        `json:"route"`
	Count        int           `json:"count"`
	PredictedP50 time.Duration `json:"predicted_p50_ns"`
	PredictedP90 time.Duration `json:"predicted_p90_ns"`
	ActualP50    time.Duration `json:"actual_p50_ns"`
	ActualP90    time.Duration `json:"actual_p90_ns"`
}

// Summary collects the log events of all requests. It is not safe for concurrent use.
type Summary struct {
	timelines map[string]*Timeline
}

// NewSummary returns an empty summary.
func NewSummary() *Summary { return &Summary{timelines: map[string]*Timeline{}} }

// ReadLog adds the events of one log. Lines that do not consist of key=value pairs, or that
// belong to no request, are skipped.
func (s *Summary) ReadLog(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if !strings.Contains(scanner.Text(), " id=") {
			continue
		}
		fields := parse(scanner.Text())
		id := fields["id"]
		if id == "" || fields["at"] == "" { // events outside of a request's trail have no "at"
			continue
		}
		if s.timelines[id] == nil {
			s.timelines[id] = New(id)
		}
		s.timelines[id].add(fields)
	}
	if err := scanner.Err(); err != nil {
		return sequoialead.ErrInvalid.Wrap(err, "a log cannot be read to its end")
	}
	return nil
}

// Requests returns the number of requests of which there are events.
func (s *Summary) Requests() int { return len(s.timelines) }

// Causes returns the causes of all outcomes other than an answer in time, the most frequent
// first.
func (s *Summary) Causes() []Cause {
	causes := map[Cause]*Cause{}
	for _, id := range s.ids() {
		key, ok := s.timelines[id].kind()
		if !ok {
			continue
		}
		if causes[key] == nil {
			found := key
			found.Example = id
			causes[key] = &found
		}
		causes[key].Count++
	}
	list := make([]Cause, 0, len(causes))
	for _, c := range causes {
		list = append(list, *c)
	}
	slices.SortFunc(list, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Text, b.Text))
	})
	return list
}

// ids returns the IDs in order, so that the examples are the same for the same logs.
func (s *Summary) ids() []string {
	ids := make([]string, 0, len(s.timelines))
	for id := range s.timelines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Predictions returns the predicted and actual times of the requests whose time was predicted, by
// pool and route. Of requests that were in time, logs hold a sample only.
func (s *Summary) Predictions() []Prediction {
	type key struct{ pool, route string }
	predicted, actual := map[key][]time.Duration{}, map[key][]time.Duration{}
	for _, t := range s.timelines {
		arrive, end := t.find("arrive"), t.find("end")
		if arrive == nil || end == nil {
			continue
		}
		expected, err := time.ParseDuration(end.Fields["predicted"])
		first, err2 := time.ParseDuration(end.Fields["first"])
		if err != nil || err2 != nil || expected <= 0 || first <= 0 {
			continue
		}
		k := key{arrive.Fields["pool"], arrive.Fields["route"]}
		predicted[k], actual[k] = append(predicted[k], expected), append(actual[k], first)
	}
	list := make([]Prediction, 0, len(predicted))
	for k, times := range predicted {
		slices.Sort(times)
		slices.Sort(actual[k])
		list = append(list, Prediction{
			Pool: k.pool, Route: k.route, Count: len(times), PredictedP50: quantile(times, 50), PredictedP90: quantile(times, 90),
			ActualP50: quantile(actual[k], 50), ActualP90: quantile(actual[k], 90),
		})
	}
	slices.SortFunc(list, func(a, b Prediction) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Route, b.Route))
	})
	return list
}

// quantile returns a percentile of sorted times, of which there is at least one.
func quantile(sorted []time.Duration, percent int) time.Duration {
	return sorted[min(len(sorted)*percent/100, len(sorted)-1)]
}

// find returns the last event of a name; nil if there is none.
func (t *Timeline) find(name string) *Step {
	for i, s := range slices.Backward(t.steps) {
		if s.Event == name {
			return &t.steps[i]
		}
	}
	return nil
}

// kind returns the cause of the request's outcome, without count and example. It returns false
// if the request was answered in time.
func (t *Timeline) kind() (Cause, bool) {
	steps := t.Steps()
	for _, s := range slices.Backward(steps) {
		reason := sequoialead.Reason(s.Fields["reason"])
		switch {
		case s.Event == "refuse":
			return Cause{Outcome: "refused", Reason: s.Fields["reason"], Text: decisive(steps, reason, "refused on arrival")}, true
		case s.Event == "end" && s.Fields["outcome"] == "done":
			return Cause{}, false
		case s.Event == "end" && s.Fields["outcome"] == "late":
			return Cause{Outcome: "late", Text: slowest(steps)}, true
		case s.Event == "end":
			return Cause{Outcome: s.Fields["outcome"], Reason: s.Fields["reason"], Text: decisive(steps, reason, "no event tells more")}, true
		}
	}
	return Cause{Outcome: "unknown", Text: "the logs do not show how the request ended"}, true
}

// decisive describes the last event that explains an outcome, or returns other.
func decisive(steps []Step, reason sequoialead.Reason, other string) string {
	for _, s := range slices.Backward(steps) {
		f := s.Fields
		switch s.Event {
		case "quarantined":
			return "its prompt has parts that have crashed backend servers"
		case "hopeless":
			return "the rest of its path did not fit before the deadline"
		case "send-refused":
			return "a server refused it without running it"
		case "send-lost":
			if f["unsent"] == "true" {
				return "a server could not be reached"
			}
			return "the answer was lost; it may have run"
		case "answer-odd":
			return "an answer was not acceptable"
		case "answer-failed":
			return "a server ran it and answered with status " + f["status"]
		case "answer-cut", "stream-cut":
			return "an answer was cut off"
		case "piece-failed":
			return fmt.Sprintf("a piece of stage %s failed: %s", f["stage"], f["reason"])
		case "stage":
			if f["reason"] == string(sequoialead.ReasonCancelled) && reason == sequoialead.ReasonTimeout {
				return fmt.Sprintf("stage %s (pool %s) was not done in time", f["stage"], f["pool"])
			}
			if f["reason"] != "" && f["reason"] != string(sequoialead.ReasonCancelled) {
				return fmt.Sprintf("stage %s (pool %s) failed: %s", f["stage"], f["pool"], f["reason"])
			}
		case "send":
			if reason == sequoialead.ReasonTimeout {
				return "the server that it was sent to did not answer in time"
			}
		case "estimate":
			if f["probe"] != "true" && reason != sequoialead.ReasonGone { // a second estimate follows the loss of results
				return "its path would have taken too long behind the work that was queued"
			}
		case "wait":
			return fmt.Sprintf("no place in pool %s: %s", f["pool"], f["reason"])
		}
	}
	return other
}

// slowest describes the longest time between two events of a request that was answered late.
func slowest(steps []Step) string {
	text, longest, previous, before := "no event tells more", time.Duration(0), time.Duration(0), "arrival"
	for _, s := range steps {
		at, err := time.ParseDuration(s.At)
		if err != nil {
			continue
		}
		if gap := at - previous; gap > longest && s.Event != "end" {
			longest, text = gap, fmt.Sprintf("the longest wait was from %s to %s", before, eventName(s))
		} else if gap > longest {
			longest, text = gap, "the longest wait was after "+before
		}
		previous, before = max(previous, at), eventName(s)
	}
	return text
}

// eventName names an event and what it is about.
func eventName(s Step) string {
	switch s.Event {
	case "stage":
		return fmt.Sprintf("stage %s (pool %s)", s.Fields["stage"], s.Fields["pool"])
	case "arrive":
		return "arrival"
	}
	return s.Event
}
