package requestlog_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead/common/logfmt"
	"sequoialead/common/requestlog"
)

func TestTrailsAreLoggedCompletelyOrNotAtAll(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	now := time.Unix(1000, 0)
	r := requestlog.NewRecorder(logfmt.New(&out, 0, time.Now), func() time.Time { return now })
	for i := range 400 {
		now = now.Add(time.Second)
		tr := r.New(fmt.Sprintf("r%d", i), now)
		tr.Add("route")
		tr.Add("send", "server", "s")
		tr.Finish(i%10 == 0)
	}
	n := map[string]int{}
	for _, l := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		for _, field := range strings.Fields(l) {
			if id, ok := strings.CutPrefix(field, "id="); ok {
				n[id]++
			}
		}
	}
	failed := 0
	for id, lines := range n {
		c.Assert(lines, qt.Equals, 2, qt.Commentf("%s", id))
		if strings.HasSuffix(id, "0") {
			failed++
		}
	}
	c.Assert(failed, qt.Equals, 40)
	c.Assert(len(n) > 42 && len(n) < 80, qt.IsTrue, qt.Commentf("%d", len(n)))
}

// A trail with more events than fit still logs its first and last events, and
// counts those that were dropped.
func TestLongTrailKeepsFirstAndLastEvents(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	r := requestlog.NewRecorder(logfmt.New(&out, 0, time.Now), time.Now)
	tr := r.New("r", time.Now())
	tr.Add("arrive")
	for range 200 {
		tr.Add("step")
	}
	tr.Add("end")
	tr.Finish(true)
	c.Assert(out.String(), qt.Contains, "event=arrive")
	c.Assert(out.String(), qt.Contains, "event=end")
	c.Assert(out.String(), qt.Contains, "events=138") // dropped: 202 were added and 64 are kept
}

func TestFailedTrailsAreRateLimited(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	now := time.Unix(1000, 0)
	r := requestlog.NewRecorder(logfmt.New(&out, 0, time.Now), func() time.Time { return now })
	for i := range 5000 {
		tr := r.New(fmt.Sprint("f", i), now)
		for range 100 {
			tr.Add("step")
		}
		tr.Finish(true)
	}
	c.Assert(strings.Count(out.String(), "trail-cut"), qt.Equals, 200)
	c.Assert(strings.Count(out.String(), "event=step"), qt.Equals, 200*64)
}
