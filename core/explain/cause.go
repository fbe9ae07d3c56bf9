package explain

import (
	"fmt"
	"time"
)

// Cause returns a sentence that says what decided the outcome of the request.
func (t *Timeline) Cause() string {
	steps := t.Steps()
	for i := len(steps) - 1; i >= 0; i-- {
		s := steps[i]
		switch s.Event {
		case "refuse":
			return t.refusalCause(s)
		case "end":
			return t.endCause(s)
		}
	}
	return "the logs do not show how the request ended; the process may have stopped before that"
}

func (t *Timeline) refusalCause(s Step) string {
	for _, e := range t.steps {
		if e.Event == "quarantined" {
			return e.Text + "; refused truthfully, not run"
		}
		if e.Event == "estimate" {
			return fmt.Sprintf("too much waited for its stages: they would have taken %s of an objective of %s; refused truthfully, not run", roundDuration(e.Fields["stages"]), e.Fields["aim"])
		}
	}
	return fmt.Sprintf("refused before it was sent to any backend server (%s); not run", s.Fields["reason"])
}

func (t *Timeline) endCause(s Step) string {
	switch s.Fields["outcome"] {
	case "done":
		return "none: it was answered in time"
	case "late":
		return t.lateCause(s)
	case "caller-left":
		return "the caller disconnected before the answer was complete; " + t.longestWait()
	}
	for i := len(t.steps) - 1; i >= 0; i-- {
		e := t.steps[i]
		switch e.Event {
		case "estimate":
			if e.Fields["service"] != "" {
				return fmt.Sprintf("%s (%s); refused truthfully, not run", e.Text, s.Fields["reason"])
			}
		case "quarantined":
			return e.Text
		case "hopeless":
			return fmt.Sprintf("%s (%s); refused truthfully, not run", e.Text, s.Fields["reason"])
		case "send-refused":
			if s.Fields["sends"] == "" {
				return fmt.Sprintf("%s, and no other agent took it in time (%s)", e.Text, s.Fields["reason"])
			}
		case "send-lost", "answer-odd", "answer-failed", "answer-cut", "stream-cut":
			advice := "and the request must not be sent again"
			if s.Fields["sends"] != "1" && e.Fields["again"] != "false" {
				advice = "and no further attempt was allowed or possible"
			}
			return fmt.Sprintf("%s, %s", e.Text, advice)
		case "piece-failed":
			return e.Text
		}
	}
	return fmt.Sprintf("%s: %s", s.Fields["outcome"], s.Fields["reason"])
}

// lateCause describes an answer whose first byte came later than the objective
// allows.
func (t *Timeline) lateCause(s Step) string {
	return fmt.Sprintf("the first byte came after %s, the objective is %s; %s", roundDuration(s.Fields["first"]), s.Fields["aim"], t.longestWait())
}

// longestWait describes the longest time between two consecutive steps and names
// the earlier of the two.
func (t *Timeline) longestWait() string {
	text, maxGap := "the logs show no wait between its steps", time.Duration(0)
	previous, previousText := time.Duration(0), "its arrival"
	for _, e := range t.steps {
		at, err := time.ParseDuration(e.At)
		if err != nil {
			continue
		}
		if gap := at - previous; gap > maxGap {
			maxGap = gap
			text = fmt.Sprintf("the longest wait, %s, was after %q", roundDuration(gap.String()), previousText)
		}
		previous, previousText = max(previous, at), e.Text
	}
	return text
}
