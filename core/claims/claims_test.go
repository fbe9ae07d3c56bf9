package claims_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"sequoialead"
	"sequoialead/core/claims"
	"sequoialead/core/entry"
	"sequoialead/core/seal"
)

const patience = 5 * time.Second

// log is a small fake of the platform's log.
type log struct {
	mu      sync.Mutex
	records map[string][]sequoialead.Record
	down    bool
}

func (l *log) Append(_ context.Context, stream string, data []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, sequoialead.ErrPlatform.New("down")
	}
	offset := uint64(len(l.records[stream]))
	l.records[stream] = append(l.records[stream], sequoialead.Record{Offset: offset, Time: time.Now(), Data: data})
	return offset, nil
}

func (l *log) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (sequoialead.Batch, error) {
	for end := time.Now().Add(wait); ; time.Sleep(time.Millisecond) {
		l.mu.Lock()
		all, down := l.records[stream], l.down
		l.mu.Unlock()
		if down {
			return sequoialead.Batch{}, sequoialead.ErrPlatform.New("down")
		}
		if uint64(len(all)) > from || !time.Now().Before(end) || ctx.Err() != nil {
			return sequoialead.Batch{Records: all[min(from, uint64(len(all))):], Next: uint64(len(all))}, ctx.Err()
		}
	}
}

func (l *log) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func newClaimer(c *qt.C, l *log) *claims.Claimer {
	sealer, err := seal.New("a fleet key for tests")
	c.Assert(err, qt.IsNil)
	claimer := claims.New(claims.Options{Log: l, Sealer: sealer})
	c.Assert(claimer.Start(context.Background()), qt.IsNil)
	c.Cleanup(func() { c.Check(claimer.Close(), qt.IsNil) })
	return claimer
}

func newLog(c *qt.C) *log {
	leaks := goleak.IgnoreCurrent()
	c.Cleanup(func() { c.Check(goleak.Find(leaks), qt.IsNil) })
	return &log{records: map[string][]sequoialead.Record{}}
}

func request(key, text string) sequoialead.Request {
	return sequoialead.Request{Pipeline: "p", Customer: "c", Key: key, Text: text}
}

func claim(claimer *claims.Claimer, wait time.Duration, r sequoialead.Request) (entry.Held, *sequoialead.Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return claimer.Claim(ctx, r)
}

// Of many claims through two entries at once exactly one wins, and the others
// get the recorded answer.
func TestOneOfManyWins(t *testing.T) {
	c := qt.New(t)
	l := newLog(c)
	claimers := []*claims.Claimer{newClaimer(c, l), newClaimer(c, l)}
	var mu sync.Mutex
	won, repeats := 0, 0
	var wait sync.WaitGroup
	for i := range 20 {
		wait.Go(func() {
			held, known := claim(claimers[i%2], patience, request("k", "t"))
			mu.Lock()
			defer mu.Unlock()
			if held != nil {
				won++
				held.End(sequoialead.Answer{Outcome: sequoialead.OutcomeDone, Text: "whole"})
			} else if known.Repeat && known.Text == "whole" {
				repeats++
			}
		})
	}
	wait.Wait()
	c.Assert(won, qt.Equals, 1)
	c.Assert(repeats, qt.Equals, 19)
}

func TestKeyOfAnotherRequestIsRefused(t *testing.T) {
	c := qt.New(t)
	claimer := newClaimer(c, newLog(c))
	held, _ := claim(claimer, patience, request("k", "t"))
	c.Assert(held, qt.IsNotNil)
	_, known := claim(claimer, patience, request("k", "other"))
	c.Assert(known.Outcome, qt.Equals, sequoialead.OutcomeNotRun)
	c.Assert(known.Reason, qt.Equals, sequoialead.ReasonRepeat)
}

func TestUnendedRequestIsUnknown(t *testing.T) {
	c := qt.New(t)
	l := newLog(c)
	held, _ := claim(newClaimer(c, l), patience, request("k", "t"))
	c.Assert(held, qt.IsNotNil)
	_, known := claim(newClaimer(c, l), 100*time.Millisecond, request("k", "t"))
	c.Assert(known.Outcome, qt.Equals, sequoialead.OutcomeUnknown)
}

func TestReleasedKeyIsUsableAgain(t *testing.T) {
	c := qt.New(t)
	l := newLog(c)
	first, second := newClaimer(c, l), newClaimer(c, l)
	held, _ := claim(first, patience, request("k", "t"))
	held.End(sequoialead.Answer{Outcome: sequoialead.OutcomeNotRun})
	for end := time.Now().Add(patience); time.Now().Before(end); {
		if held, _ = claim(second, patience, request("k", "t")); held != nil {
			break
		}
	}
	c.Assert(held, qt.IsNotNil)
}

// While the log is down claims are refused, what waits for it is bounded, and
// the keys are usable once it is back.
func TestOutageIsBounded(t *testing.T) {
	c := qt.New(t)
	l := newLog(c)
	claimer := newClaimer(c, l)
	for i := range 400 {
		held, _ := claim(claimer, patience, request(fmt.Sprint("warm", i), "t"))
		c.Assert(held, qt.IsNotNil)
	}
	l.setDown(true)
	const most = claims.Shards * (claims.QueueItems + 2)
	var wait sync.WaitGroup
	for w := range 8 {
		wait.Go(func() {
			for i := range most / 8 {
				held, known := claim(claimer, 0, request(fmt.Sprint("k", w, "-", i), "t"))
				if held != nil || known.Outcome != sequoialead.OutcomeNotRun {
					t.Error("a claim was won without the log")
					return
				}
			}
		})
	}
	wait.Wait()
	c.Assert(claimer.Queued() <= most, qt.IsTrue, qt.Commentf("%d items", claimer.Queued()))
	l.setDown(false)
	for end := time.Now().Add(patience); claimer.Queued() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	c.Assert(claimer.Queued(), qt.Equals, 0)
	held, _ := claim(claimer, patience, request("k0-0", "t"))
	c.Assert(held, qt.IsNotNil)
}
