package explain

import (
	"fmt"
	"time"
)

// Cause names what decided the end of the request.
func (a *Account) Cause() string {
	steps := a.Steps()
	for i := len(steps) - 1; i >= 0; i-- {
		s := steps[i]
		switch s.Event {
		case "refuse":
			return a.refusal(s)
		case "end":
			return a.end(s)
		}
	}
	return "the logs do not tell its end; the process may have stopped before it"
}

func (a *Account) refusal(s Step) string {
	for _, e := range a.steps {
		if e.Event == "estimate" {
			return fmt.Sprintf("too much waited for its stages: they would have taken %s of an objective of %s; refused truthfully, not run", round(e.Fields["stages"]), e.Fields["aim"])
		}
	}
	return fmt.Sprintf("refused before anything was sent (%s); not run", s.Fields["reason"])
}

func (a *Account) end(s Step) string {
	switch s.Fields["outcome"] {
	case "done":
		return "none: it was answered in time"
	case "late":
		return a.late(s)
	case "caller-left":
		return "the caller left before the answer was whole; " + a.longest()
	}
	for i := len(a.steps) - 1; i >= 0; i-- {
		e := a.steps[i]
		switch e.Event {
		case "estimate":
			if e.Fields["service"] != "" {
				return fmt.Sprintf("%s (%s); refused truthfully, not run", e.Text, s.Fields["reason"])
			}
		case "send-refused":
			if s.Fields["sends"] == "" {
				return fmt.Sprintf("%s, and no other agent took it in time (%s)", e.Text, s.Fields["reason"])
			}
		case "send-lost", "answer-odd", "answer-failed", "answer-cut", "stream-cut":
			again := "and the request must not be sent again"
			if s.Fields["sends"] != "1" && e.Fields["again"] != "false" {
				again = "and no further try was allowed or possible"
			}
			return fmt.Sprintf("%s, %s", e.Text, again)
		case "piece-failed":
			return e.Text
		}
	}
	return fmt.Sprintf("%s: %s", s.Fields["outcome"], s.Fields["reason"])
}

// late names the longest part of the time to the first byte.
func (a *Account) late(s Step) string {
	return fmt.Sprintf("the first byte came after %s, the objective is %s; %s", round(s.Fields["first"]), s.Fields["aim"], a.longest())
}

// longest names the longest time between two steps and what it followed.
func (a *Account) longest() string {
	text, longest := "no step took long", time.Duration(0)
	last, before := time.Duration(0), "its arrival"
	for _, e := range a.steps {
		at, err := time.ParseDuration(e.At)
		if err != nil {
			continue
		}
		if took := at - last; took > longest {
			longest = took
			text = fmt.Sprintf("the longest wait, %s, was after %q", round(took.String()), before)
		}
		last, before = max(last, at), e.Text
	}
	return text
}
