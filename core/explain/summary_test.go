package explain_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead/core/explain"
)

// lines returns log lines of one request; each of the events is "AT NAME key=value...".
func lines(id string, events ...string) string {
	var text strings.Builder
	for _, e := range events {
		at, rest, _ := strings.Cut(e, " ")
		name, pairs, _ := strings.Cut(rest, " ")
		text.WriteString("noise time=2026-01-02T03:04:05Z severity=info event=" + name + " instance=e-1 id=" + id + " at=" + at + " " + pairs + "\n")
	}
	return text.String()
}

// Requests that ended alike count as one cause, whatever servers and times they name.
func TestSummaryCounts(t *testing.T) {
	c := qt.New(t)
	arrive := "1ms arrive route=r pool=p"
	log := lines("a1", arrive, "2ms estimate stages=3s aim=2s", "2ms refuse status=503 reason=late") +
		lines("a2", arrive, "2ms estimate stages=4s aim=2s", "2ms refuse status=503 reason=late") +
		lines("b1", arrive, "1200ms stage stage=0 pool=q reason=cancelled", "1200ms hopeless remaining=2s left=1s", "1200ms end outcome=not-run status=503 reason=late") +
		lines("c1", arrive, "10ms send try=1 server=i-1", "4s end outcome=failed status=504 reason=timeout") +
		lines("d1", arrive, "300ms stage stage=0 pool=q reason=", "1s stage stage=1 pool=q reason=", "1100ms send try=1 server=i-1", "1300ms end outcome=late first=1250ms aim=1s predicted=800ms") +
		lines("e1", arrive, "10ms send try=1 server=i-1", "50ms end outcome=done first=40ms aim=1s predicted=60ms") +
		lines("f1", arrive, "10ms estimate probe=true", "20ms send-lost server=i-1 unsent=true", "30ms send try=1 server=i-2", "50ms end outcome=failed status=502 reason=backend") +
		lines("g1", arrive) +
		"time=2026-01-02T03:04:05Z event=crash-suspect id=h1 server=i-1\n"
	s := explain.NewSummary()
	c.Assert(s.ReadLog(strings.NewReader(log)), qt.IsNil)
	c.Assert(s.Requests(), qt.Equals, 8)
	c.Assert(s.Causes(), qt.DeepEquals, []explain.Cause{
		{Outcome: "refused", Reason: "late", Text: "its path would have taken too long behind the work that was queued", Count: 2, Example: "a1"},
		{Outcome: "failed", Reason: "backend", Text: "a server could not be reached", Count: 1, Example: "f1"},
		{Outcome: "failed", Reason: "timeout", Text: "the server that it was sent to did not answer in time", Count: 1, Example: "c1"},
		{Outcome: "late", Text: "the longest wait was from stage 0 (pool q) to stage 1 (pool q)", Count: 1, Example: "d1"},
		{Outcome: "not-run", Reason: "late", Text: "the rest of its path did not fit before the deadline", Count: 1, Example: "b1"},
		{Outcome: "unknown", Text: "the logs do not show how the request ended", Count: 1, Example: "g1"},
	})
	c.Assert(s.Predictions(), qt.DeepEquals, []explain.Prediction{{
		Pool: "p", Route: "r", Count: 2, PredictedP50: 800 * time.Millisecond, PredictedP90: 800 * time.Millisecond, ActualP50: 1250 * time.Millisecond, ActualP90: 1250 * time.Millisecond,
	}})
}
