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
	"sequoialead/core/mac"
)

const testTimeout = 5 * time.Second

// fakeLog is an in-memory log of the platform that can be made unavailable.
type fakeLog struct {
	mu      sync.Mutex
	records map[string][]sequoialead.Record
	down    bool
}

func (l *fakeLog) Append(_ context.Context, stream string, data []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, sequoialead.ErrPlatform.New("down")
	}
	offset := uint64(len(l.records[stream]))
	l.records[stream] = append(l.records[stream], sequoialead.Record{Offset: offset, Time: time.Now(), Data: data})
	return offset, nil
}

func (l *fakeLog) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (sequoialead.Batch, error) {
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

func (l *fakeLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func newClaimer(c *qt.C, l *fakeLog) *claims.Claimer {
	signer, err := mac.New("a fleet key for tests")
	c.Assert(err, qt.IsNil)
	claimer := claims.New(claims.Options{Log: l, Signer: signer})
	c.Assert(claimer.Start(context.Background()), qt.IsNil)
	c.Cleanup(func() { c.Check(claimer.Close(), qt.IsNil) })
	return claimer
}

func newFakeLog(c *qt.C) *fakeLog {
	leaks := goleak.IgnoreCurrent()
	c.Cleanup(func() { c.Check(goleak.Find(leaks), qt.IsNil) })
	return &fakeLog{records: map[string][]sequoialead.Record{}}
}

func request(key, text string) sequoialead.Request {
	return sequoialead.Request{Pipeline: "p", Customer: "c", Key: key, Text: text}
}

func claim(claimer *claims.Claimer, wait time.Duration, r sequoialead.Request) (entry.Claim, *sequoialead.Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return claimer.Claim(ctx, r)
}

// Of concurrent claims of one key through two entries exactly one wins, and the
// others get the recorded answer.
func TestOneOfConcurrentClaimsWins(t *testing.T) {
	c := qt.New(t)
	l := newFakeLog(c)
	claimers := []*claims.Claimer{newClaimer(c, l), newClaimer(c, l)}
	var mu sync.Mutex
	won, repeats := 0, 0
	var wait sync.WaitGroup
	for i := range 20 {
		wait.Go(func() {
			claimed, answer := claim(claimers[i%2], testTimeout, request("k", "t"))
			mu.Lock()
			defer mu.Unlock()
			if claimed != nil {
				won++
				claimed.Finish(sequoialead.Answer{Outcome: sequoialead.OutcomeDone, Text: "whole"})
			} else if answer.Repeat && answer.Text == "whole" {
				repeats++
			}
		})
	}
	wait.Wait()
	c.Assert(won, qt.Equals, 1)
	c.Assert(repeats, qt.Equals, 19)
}

func TestKeyReusedForOtherRequestIsRefused(t *testing.T) {
	c := qt.New(t)
	claimer := newClaimer(c, newFakeLog(c))
	claimed, _ := claim(claimer, testTimeout, request("k", "t"))
	c.Assert(claimed, qt.IsNotNil)
	_, answer := claim(claimer, testTimeout, request("k", "other"))
	c.Assert(answer.Outcome, qt.Equals, sequoialead.OutcomeNotRun)
	c.Assert(answer.Reason, qt.Equals, sequoialead.ReasonRepeat)
}

func TestRepeatOfRunningRequestIsUnknown(t *testing.T) {
	c := qt.New(t)
	l := newFakeLog(c)
	claimed, _ := claim(newClaimer(c, l), testTimeout, request("k", "t"))
	c.Assert(claimed, qt.IsNotNil)
	_, answer := claim(newClaimer(c, l), 100*time.Millisecond, request("k", "t"))
	c.Assert(answer.Outcome, qt.Equals, sequoialead.OutcomeUnknown)
}

func TestReleasedKeyCanBeClaimed(t *testing.T) {
	c := qt.New(t)
	l := newFakeLog(c)
	first, second := newClaimer(c, l), newClaimer(c, l)
	claimed, _ := claim(first, testTimeout, request("k", "t"))
	claimed.Finish(sequoialead.Answer{Outcome: sequoialead.OutcomeNotRun})
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		if claimed, _ = claim(second, testTimeout, request("k", "t")); claimed != nil {
			break
		}
	}
	c.Assert(claimed, qt.IsNotNil)
}

// While the log is unavailable, claims are refused and the queue of items is
// bounded. Once the log is available, the keys can be claimed.
func TestQueueIsBoundedDuringLogOutage(t *testing.T) {
	c := qt.New(t)
	l := newFakeLog(c)
	claimer := newClaimer(c, l)
	for i := range 400 {
		claimed, _ := claim(claimer, testTimeout, request(fmt.Sprint("warm", i), "t"))
		c.Assert(claimed, qt.IsNotNil)
	}
	l.setDown(true)
	const maxQueued = claims.Shards * (claims.MaxQueueItems + 2)
	var wait sync.WaitGroup
	for w := range 8 {
		wait.Go(func() {
			for i := range maxQueued / 8 {
				claimed, answer := claim(claimer, 0, request(fmt.Sprint("k", w, "-", i), "t"))
				if claimed != nil || answer.Outcome != sequoialead.OutcomeNotRun {
					t.Error("a claim was won without the log")
					return
				}
			}
		})
	}
	wait.Wait()
	c.Assert(claimer.Queued() <= maxQueued, qt.IsTrue, qt.Commentf("%d items", claimer.Queued()))
	l.setDown(false)
	for end := time.Now().Add(testTimeout); claimer.Queued() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	c.Assert(claimer.Queued(), qt.Equals, 0)
	claimed, _ := claim(claimer, testTimeout, request("k0-0", "t"))
	c.Assert(claimed, qt.IsNotNil)
}
