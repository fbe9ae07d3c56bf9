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
	"sequoialead/core/proxyconfig"
)

// stagedRoute returns a route with an independent stage 0, and a stage 2 that
// follows stage 1.
func stagedRoute() proxyconfig.Route {
	return proxyconfig.Route{
		Kind: proxyconfig.KindStream, Resumable: true, Pools: []proxyconfig.WeightedPool{{Pool: "draft", Weight: 1}},
		Stages: []proxyconfig.Stage{{Pool: "encode", Bytes: 10}, {Pool: "encode", Bytes: 10}, {Pool: "encode", After: []int{1}, Bytes: 10}},
	}
}

func TestStagesRunInDependencyOrder(t *testing.T) {
	c := qt.New(t)
	w := newFakePlatform()
	w.setRoute(stagedRoute())
	w.script = []string{"events"}
	p := newProxyRequest(w)
	p.Pieces, p.PieceKey = []int{1, 2, 3}, "k"
	v := w.newForwarder(t).Serve(context.Background(), p, &recordingSink{})
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
	c.Assert(w.attempts[0].Inputs, qt.HasLen, 4) // the results of stages 0 and 2, which no other stage follows
	for _, input := range w.attempts[0].Inputs {
		c.Assert(strings.Contains(input, "r1-1-"), qt.IsFalse)
	}
	w.eventually(t, func() bool { return w.freedCount == len(w.made) })
}

// eventually waits for a condition. Results are freed concurrently with the request.
func (w *fakePlatform) eventually(t *testing.T, done func() bool) {
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
	t.Fatalf("%d of %d results were freed", w.freedCount, len(w.made))
}

func TestStageWithoutPiecesIsSkipped(t *testing.T) {
	c := qt.New(t)
	w := newFakePlatform()
	w.setRoute(stagedRoute())
	w.script = []string{"events"}
	p := newProxyRequest(w)
	p.Pieces, p.PieceKey = []int{0, 1, 1}, "k"
	c.Assert(w.newForwarder(t).Serve(context.Background(), p, &recordingSink{}).Status, qt.Equals, 0)
	c.Assert(w.made, qt.HasLen, 2)
	c.Assert(w.attempts[0].Inputs, qt.HasLen, 1)
}

func TestLostMakeCallIsRetried(t *testing.T) {
	c := qt.New(t)
	w := newFakePlatform()
	w.setRoute(stagedRoute())
	w.script = []string{"events"}
	w.callsToLose = 1
	p := newProxyRequest(w)
	p.Pieces, p.PieceKey = []int{1, 0, 0}, "k"
	c.Assert(w.newForwarder(t).Serve(context.Background(), p, &recordingSink{}).Status, qt.Equals, 0)
	c.Assert(w.made, qt.HasLen, 1)
}

func TestFailedStageIsReportedAsNotRun(t *testing.T) {
	c := qt.New(t)
	w := newFakePlatform()
	w.setRoute(stagedRoute())
	w.callsToLose = 1000
	p := newProxyRequest(w)
	p.Pieces, p.PieceKey = []int{1, 1, 1}, "k"
	v := w.newForwarder(t).Serve(context.Background(), p, &recordingSink{})
	c.Assert(v.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(w.attempts, qt.HasLen, 0)
	w.eventually(t, func() bool { return w.freedCount == len(w.made) })
}

// The stages run again if the backend server no longer holds an input, or if a
// stream has to be resumed after its inputs were freed.
func TestLostInputsAreMadeAgain(t *testing.T) {
	for _, script := range []string{"gone events", "broken events"} {
		t.Run(script, func(t *testing.T) {
			c := qt.New(t)
			w := newFakePlatform()
			w.setRoute(stagedRoute())
			w.script = strings.Fields(script)
			p := newProxyRequest(w)
			p.Pieces, p.PieceKey = []int{1, 0, 0}, "k"
			v := w.newForwarder(t).Serve(context.Background(), p, &recordingSink{})
			c.Assert(v.Status == 0 && !v.Truncated, qt.IsTrue)
			c.Assert(w.attempts, qt.HasLen, 2)
			c.Assert(w.made, qt.HasLen, 2)
			c.Assert(w.attempts[1].Inputs[0] != w.attempts[0].Inputs[0], qt.IsTrue)
		})
	}
}

// A request whose stages are estimated to end too late is refused before they start.
func TestRequestWithLateEstimateIsRefused(t *testing.T) {
	c := qt.New(t)
	w := newFakePlatform()
	r := stagedRoute()
	r.Objective = 200 * time.Millisecond
	w.setRoute(r)
	w.config.Pools["encode"].Pieces.CallTime = 300 * time.Millisecond
	p := newProxyRequest(w)
	p.Pieces, p.PieceKey = []int{1, 1, 1}, "k"
	v := w.newForwarder(t).Serve(context.Background(), p, &recordingSink{})
	c.Assert(v.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(w.made, qt.HasLen, 0)
}

// A request is refused if its key is revoked, or keys are required, while its stages run.
func TestRevokedKeyIsRefusedBeforeSend(t *testing.T) {
	other := map[string]*proxyconfig.Customer{"other": {Name: "other", Priority: -1}}
	tests := []struct {
		desc   string
		public bool
		before map[string]*proxyconfig.Customer
		after  map[string]*proxyconfig.Customer
		status int
	}{
		{"other keys remain", false, newFakePlatform().config.Customers, other, http.StatusUnauthorized},
		{"no key remains", false, newFakePlatform().config.Customers, map[string]*proxyconfig.Customer{}, http.StatusUnauthorized},
		{"no customers were configured", false, nil, other, http.StatusUnauthorized},
		{"no customers are configured any more", false, newFakePlatform().config.Customers, nil, http.StatusUnauthorized},
		{"a public route", true, newFakePlatform().config.Customers, other, 0},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			w := newFakePlatform()
			route := stagedRoute()
			route.Public = test.public
			w.setRoute(route)
			w.config.Customers = test.before
			w.script = []string{"events"}
			w.onMake = func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				changed := *w.config
				changed.Customers = test.after
				w.config = &changed
			}
			p := newProxyRequest(w)
			p.Pieces, p.PieceKey = []int{1, 1, 1}, "k"
			v := w.newForwarder(t).Serve(context.Background(), p, &recordingSink{})
			c.Assert(v.Status, qt.Equals, test.status)
			if test.status == 0 {
				c.Assert(w.attempts, qt.HasLen, 1)
				return
			}
			c.Assert(v.Reason, qt.Equals, sequoialead.ReasonKey)
			c.Assert(w.attempts, qt.HasLen, 0)
		})
	}
}

// The backend server is told the customer that holds the key when the request is sent, not the
// one that held it when the request arrived.
func TestKeyThatChangesHandsBeforeSend(t *testing.T) {
	c := qt.New(t)
	w := newFakePlatform()
	w.setRoute(stagedRoute())
	w.script = []string{"events"}
	w.onMake = func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		changed := *w.config
		changed.Customers = map[string]*proxyconfig.Customer{"key": {Name: "rata", Priority: -1}}
		w.config = &changed
	}
	p := newProxyRequest(w)
	p.Pieces, p.PieceKey = []int{1, 1, 1}, "k"
	v := w.newForwarder(t).Serve(context.Background(), p, &recordingSink{})
	c.Assert(v.Status, qt.Equals, 0)
	c.Assert(w.attempts, qt.HasLen, 1)
	c.Assert(w.attempts[0].Customer, qt.Equals, "rata")
}

// An entry that exits refuses the requests whose stages are still running, so that
// every caller gets an answer.
func TestExitingEntryRefusesUnsentRequests(t *testing.T) {
	c := qt.New(t)
	w := newFakePlatform()
	w.setRoute(stagedRoute())
	makeStarted, unblock := make(chan struct{}, 9), make(chan struct{})
	w.onMake = func() {
		makeStarted <- struct{}{}
		<-unblock
	}
	f := w.newForwarder(t)
	p := newProxyRequest(w)
	p.Pieces, p.PieceKey = []int{1, 1, 1}, "k"
	ended := make(chan forward.Result, 1)
	go func() { ended <- f.Serve(context.Background(), p, &recordingSink{}) }()
	<-makeStarted
	f.Drain(w.now.Add(time.Minute))
	f.AbortUnsent()
	v := <-ended
	close(unblock)
	c.Assert(v.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(v.Reason, qt.Equals, sequoialead.ReasonLeaving)
	c.Assert(w.attempts, qt.HasLen, 0)
}
