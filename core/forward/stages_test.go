package forward_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/core/forward"
	"sequoialead/core/plan"
)

// chain is a route with one stage beside a chain of two.
func chain() plan.Route {
	return plan.Route{
		Kind: plan.KindStream, Resumable: true, Shares: []plan.Share{{Pool: "draft", Weight: 1}},
		Stages: []plan.Stage{{Pool: "encode", Bytes: 10}, {Pool: "encode", Bytes: 10}, {Pool: "encode", After: []int{1}, Bytes: 10}},
	}
}

func TestStagesFollowEachOther(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	w.route(chain())
	w.script = []string{"events"}
	p := passage(w)
	p.Pieces, p.PieceKey = []int{1, 2, 3}, "k"
	v := w.forwarder(t).Pass(context.Background(), p, &caller{})
	c.Assert(v.Status, qt.Equals, 0)
	stages := map[int]int{}
	for _, piece := range w.made {
		stages[piece.Stage]++
		if piece.Stage == 2 {
			c.Assert(piece.Key, qt.Equals, "")
			c.Assert(piece.Inputs, qt.HasLen, 2)
			for _, input := range piece.Inputs {
				c.Assert(strings.Contains(input, "r1-1-"), qt.IsTrue)
			}
			continue
		}
		c.Assert(piece.Key, qt.Equals, "k")
		c.Assert(piece.Inputs, qt.HasLen, 0)
	}
	c.Assert(stages, qt.DeepEquals, map[int]int{0: 1, 1: 2, 2: 3})
	c.Assert(w.sends[0].Inputs, qt.HasLen, 4) // the stages that no other follows
	for _, input := range w.sends[0].Inputs {
		c.Assert(strings.Contains(input, "r1-1-"), qt.IsFalse)
	}
	w.eventually(t, func() bool { return w.freed == len(w.made) })
}

// eventually waits for results to be given up, which happens beside the request.
func (w *world) eventually(t *testing.T, done func() bool) {
	t.Helper()
	for range 500 {
		w.mu.Lock()
		ok := done()
		w.mu.Unlock()
		if ok {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	t.Fatalf("%d of %d results were given up", w.freed, len(w.made))
}

func TestStageThatIsLeftOut(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	w.route(chain())
	w.script = []string{"events"}
	p := passage(w)
	p.Pieces, p.PieceKey = []int{0, 1, 1}, "k"
	c.Assert(w.forwarder(t).Pass(context.Background(), p, &caller{}).Status, qt.Equals, 0)
	c.Assert(w.made, qt.HasLen, 2)
	c.Assert(w.sends[0].Inputs, qt.HasLen, 1)
}

func TestLostCallIsMadeAgain(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	w.route(chain())
	w.script = []string{"events"}
	w.lose = 1
	p := passage(w)
	p.Pieces, p.PieceKey = []int{1, 0, 0}, "k"
	c.Assert(w.forwarder(t).Pass(context.Background(), p, &caller{}).Status, qt.Equals, 0)
	c.Assert(w.made, qt.HasLen, 1)
}

func TestStageThatFailsIsRefusedTruthfully(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	w.route(chain())
	w.lose = 1000
	p := passage(w)
	p.Pieces, p.PieceKey = []int{1, 1, 1}, "k"
	v := w.forwarder(t).Pass(context.Background(), p, &caller{})
	c.Assert(v.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(w.sends, qt.HasLen, 0)
	w.eventually(t, func() bool { return w.freed == len(w.made) })
}

// An input that its maker no longer holds, and a stream that goes on after its
// inputs were given up, have the stages made anew.
func TestInputsAreMadeAnew(t *testing.T) {
	for _, script := range []string{"gone events", "broken events"} {
		t.Run(script, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld()
			w.route(chain())
			w.script = strings.Fields(script)
			p := passage(w)
			p.Pieces, p.PieceKey = []int{1, 0, 0}, "k"
			v := w.forwarder(t).Pass(context.Background(), p, &caller{})
			c.Assert(v.Status == 0 && !v.Cut, qt.IsTrue)
			c.Assert(w.sends, qt.HasLen, 2)
			c.Assert(w.made, qt.HasLen, 2)
			c.Assert(w.sends[1].Inputs[0] != w.sends[0].Inputs[0], qt.IsTrue)
		})
	}
}

// A request whose stages cannot end in time is refused before they begin.
func TestLateStagesAreNotBegun(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	r := chain()
	r.Aim = 200 * time.Millisecond
	w.route(r)
	w.plan.Pools["encode"].Pieces.Call = 300 * time.Millisecond
	p := passage(w)
	p.Pieces, p.PieceKey = []int{1, 1, 1}, "k"
	v := w.forwarder(t).Pass(context.Background(), p, &caller{})
	c.Assert(v.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(w.made, qt.HasLen, 0)
}

// A key that is taken away while stages are made is not served any more.
func TestKeyIsLookedUpAgainBeforeTheSend(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	w.route(chain())
	w.making = func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		without := *w.plan
		without.Customers = map[string]*plan.Customer{"other": {Name: "other", Priority: -1}}
		w.plan = &without
	}
	p := passage(w)
	p.Pieces, p.PieceKey = []int{1, 1, 1}, "k"
	v := w.forwarder(t).Pass(context.Background(), p, &caller{})
	c.Assert(v.Status, qt.Equals, http.StatusUnauthorized)
	c.Assert(v.Reason, qt.Equals, sequoialead.ReasonKey)
	c.Assert(w.sends, qt.HasLen, 0)
}

// An entry that ends refuses the requests that are still in their stages, so that
// none is left without an answer.
func TestEntryThatEndsRefusesWhatWasNotSent(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	w.route(chain())
	began, let := make(chan struct{}, 9), make(chan struct{})
	w.making = func() {
		began <- struct{}{}
		<-let
	}
	f := w.forwarder(t)
	p := passage(w)
	p.Pieces, p.PieceKey = []int{1, 1, 1}, "k"
	ended := make(chan forward.Verdict, 1)
	go func() { ended <- f.Pass(context.Background(), p, &caller{}) }()
	<-began
	f.Leave()
	f.GiveUp()
	v := <-ended
	close(let)
	c.Assert(v.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(v.Reason, qt.Equals, sequoialead.ReasonLeaving)
	c.Assert(w.sends, qt.HasLen, 0)
}
